#pragma once

#include "Core/KeyRing.h"
#include "Core/Result.h"
#include "Filters/StreamRelay.h"

#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief What a response id names: a generation, and the team it belongs to.
struct ResponseIdentity
{
  Attempt mAttempt;
  TeamName mTeam;

  bool operator==(const ResponseIdentity&) const = default;
};

/// "resp_" and the base64url form of the msgpack array (target, engine-side
/// id, attempt, team, key id) and its HMAC.
std::string
EncodeResponseId(const ResponseIdentity& aIdentity, const KeyRing& aKeys);

/// Fails with kNotFound when the id is not of this site or belongs to another
/// team; the caller cannot tell the two apart.
Result<Attempt>
DecodeResponseId(std::string_view aId,
                 const TeamName& aTeam,
                 const KeyRing& aKeys);

} // namespace ragwortdeck
