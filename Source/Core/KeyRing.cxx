#include "Core/KeyRing.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <openssl/crypto.h>
#include <set>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMinSecretBytes = 16;
constexpr std::string_view kTeamPurpose = "team";

QByteArray
ComputeMac(const SharedKey& aKey,
           std::string_view aPurpose,
           std::string_view aData)
{
  QMessageAuthenticationCode mac(
    QCryptographicHash::Sha256,
    QByteArray(aKey.mSecret.data(), qsizetype(aKey.mSecret.size())));
  mac.addData(aPurpose.data(), qsizetype(aPurpose.size()));
  // Separates purpose and data, so that no pair of them shares an input.
  mac.addData("\0", 1);
  mac.addData(aData.data(), qsizetype(aData.size()));
  return mac.result();
}

bool
EqualInConstantTime(const QByteArray& aLeft, const QByteArray& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.constData(),
                       aRight.constData(),
                       std::size_t(aLeft.size())) == 0;
}

} // namespace

Result<KeyRing>
KeyRing::Create(std::vector<SharedKey> aKeys)
{
  if (aKeys.empty()) {
    return Failure(ErrorCode::kInvalidArgument, "the key ring has no key");
  }
  std::set<std::string> ids;
  for (const auto& key : aKeys) {
    if (key.mId.empty() || key.mId.find('.') != std::string::npos) {
      return Failure(ErrorCode::kInvalidArgument,
                     "a key id must be non-empty and contain no '.'");
    }
    if (!ids.insert(key.mId).second) {
      return Failure(ErrorCode::kInvalidArgument,
                     "key id '" + key.mId + "' appears twice");
    }
    if (key.mSecret.size() < kMinSecretBytes) {
      return Failure(ErrorCode::kInvalidArgument,
                     "the secret of key '" + key.mId +
                       "' is shorter than 16 bytes");
    }
  }
  return KeyRing(std::move(aKeys));
}

QByteArray
KeyRing::Sign(std::string_view aPurpose, std::string_view aData) const
{
  return ComputeMac(mKeys.front(), aPurpose, aData);
}

bool
KeyRing::Verify(std::string_view aKeyId,
                std::string_view aPurpose,
                std::string_view aData,
                const QByteArray& aSignature) const
{
  for (const auto& key : mKeys) {
    if (key.mId == aKeyId) {
      return EqualInConstantTime(ComputeMac(key, aPurpose, aData), aSignature);
    }
  }
  return false;
}

std::string
KeyRing::IssueTeamToken(std::string_view aTeam) const
{
  const auto mac =
    Sign(kTeamPurpose, aTeam)
      .toBase64(QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals);
  return std::string(aTeam) + "." + SigningKeyId() + "." + mac.toStdString();
}

Result<std::string>
KeyRing::VerifyTeamToken(std::string_view aToken) const
{
  const auto macDot = aToken.rfind('.');
  const auto keyDot = macDot == std::string_view::npos || macDot == 0
                        ? std::string_view::npos
                        : aToken.rfind('.', macDot - 1);
  if (keyDot == std::string_view::npos || keyDot == 0) {
    return Failure(ErrorCode::kUnauthenticated,
                   "the token is not of the form <team>.<key>.<signature>");
  }
  const auto team = aToken.substr(0, keyDot);
  const auto keyId = aToken.substr(keyDot + 1, macDot - keyDot - 1);
  const auto text = aToken.substr(macDot + 1);
  const auto mac =
    QByteArray::fromBase64(QByteArray(text.data(), qsizetype(text.size())),
                           QByteArray::Base64UrlEncoding);
  if (!Verify(keyId, kTeamPurpose, team, mac)) {
    return Failure(ErrorCode::kUnauthenticated,
                   "the token's signature is not valid for this site");
  }
  return std::string(team);
}

} // namespace ragwortdeck
