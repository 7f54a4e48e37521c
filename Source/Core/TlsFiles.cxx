#include "Core/TlsFiles.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

namespace ragwortdeck {

static Result<QList<QSslCertificate>>
ReadCertificates(const std::string& aFile)
{
  auto chain = QSslCertificate::fromPath(QString::fromStdString(aFile));
  if (chain.isEmpty()) {
    return Failure(ErrorCode::kInvalidArgument, "no certificate in " + aFile);
  }
  return chain;
}

static Result<QSslKey>
ReadKey(const std::string& aFile)
{
  QFile file(QString::fromStdString(aFile));
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure(ErrorCode::kInvalidArgument,
                   "cannot read the key file " + aFile);
  }
  const auto text = file.readAll();
  for (const auto algorithm : { QSsl::Rsa, QSsl::Ec }) {
    const QSslKey key(text, algorithm);
    if (!key.isNull()) {
      return key;
    }
  }
  return Failure(ErrorCode::kInvalidArgument, "no RSA or EC key in " + aFile);
}

TlsFiles
ReadCallerTls(SettingsSection aSection)
{
  TlsFiles files;
  files.mCertificate = aSection.String("certificate", "");
  files.mKey = aSection.String("key", "");
  if (files.mCertificate.empty() != files.mKey.empty()) {
    aSection.Reject("key", "expected both 'certificate' and 'key', or neither");
  }
  return files;
}

TlsFiles
ReadPeerTls(SettingsSection aSection)
{
  TlsFiles files;
  files.mCertificate = aSection.String("certificate", "");
  files.mKey = aSection.String("key", "");
  files.mAuthority = aSection.String("authority", "");
  const bool isOff = files == TlsFiles();
  const bool isWhole = !files.mCertificate.empty() && !files.mKey.empty() &&
                       !files.mAuthority.empty();
  if (!isOff && !isWhole) {
    aSection.Reject(
      "key", "expected 'certificate', 'key' and 'authority', or none of them");
  }
  return files;
}

Result<std::optional<QSslConfiguration>>
LoadTls(const TlsFiles& aFiles)
{
  if (aFiles.mCertificate.empty()) {
    return std::optional<QSslConfiguration>();
  }
  const auto chain = ReadCertificates(aFiles.mCertificate);
  if (!chain) {
    return Failure(chain.error());
  }
  const auto key = ReadKey(aFiles.mKey);
  if (!key) {
    return Failure(key.error());
  }
  auto configuration = QSslConfiguration::defaultConfiguration();
  configuration.setLocalCertificateChain(chain.value());
  configuration.setPrivateKey(key.value());
  if (!aFiles.mAuthority.empty()) {
    const auto authority = ReadCertificates(aFiles.mAuthority);
    if (!authority) {
      return Failure(authority.error());
    }
    configuration.setCaCertificates(authority.value());
    configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
  }
  return std::optional<QSslConfiguration>(configuration);
}

} // namespace ragwortdeck
