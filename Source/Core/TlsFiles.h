#pragma once

#include "Core/Result.h"
#include "Core/Settings.h"

#include <QSslConfiguration>
#include <optional>
#include <string>

namespace ragwortdeck {

/// \brief Names of PEM files; all empty when TLS is off.
struct TlsFiles
{
  std::string mCertificate;
  std::string mKey;
  /// Certificates that vouch for the other side; only for peers, which must
  /// have both this and a certificate of their own.
  std::string mAuthority;

  bool operator==(const TlsFiles&) const = default;
};

/// The name that the certificates of all peers carry. Peers are reached by
/// address and authenticate as hosts by the shared keys; the certificate only
/// shows that the other side belongs to the site.
inline constexpr const char* kPeerTlsName = "ragwort-peer";

/// Reads "certificate" and "key", which come together.
TlsFiles
ReadCallerTls(SettingsSection aSection);

/// Reads "certificate", "key" and "authority", which come together.
TlsFiles
ReadPeerTls(SettingsSection aSection);

/// Empty when TLS is off. Fails with kInvalidArgument when a file cannot be
/// read. With an authority, the other side must have a certificate of it.
Result<std::optional<QSslConfiguration>>
LoadTls(const TlsFiles& aFiles);

} // namespace ragwortdeck
