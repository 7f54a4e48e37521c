#pragma once

#include "Core/Result.h"

#include <QByteArray>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

/// \brief One shared secret and its public name.
struct SharedKey
{
  std::string mId;
  std::string mSecret;
};

/// \brief Signs and verifies with HMAC-SHA-256.
///
/// The first key signs; all keys verify. Keys rotate without downtime: add the
/// new key last everywhere, move it to the front everywhere, then remove the
/// old one.
class KeyRing
{
public:
  /// Fails when the list is empty, an id repeats or a secret is shorter than
  /// 16 bytes.
  static Result<KeyRing> Create(std::vector<SharedKey> aKeys);

  const std::string& SigningKeyId() const { return mKeys.front().mId; }
  /// HMAC with the signing key; 32 bytes.
  QByteArray Sign(std::string_view aPurpose, std::string_view aData) const;
  /// Checks in constant time; an unknown key id fails.
  bool Verify(std::string_view aKeyId,
              std::string_view aPurpose,
              std::string_view aData,
              const QByteArray& aSignature) const;

  /// Bearer token of a team: "<team>.<key id>.<signature in base64url>".
  std::string IssueTeamToken(std::string_view aTeam) const;
  /// The team that the token was issued for.
  Result<std::string> VerifyTeamToken(std::string_view aToken) const;

private:
  explicit KeyRing(std::vector<SharedKey> aKeys)
    : mKeys(std::move(aKeys))
  {
  }
  std::vector<SharedKey> mKeys;
};

} // namespace ragwortdeck
