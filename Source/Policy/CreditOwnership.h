#pragma once

#include "Core/Ids.h"
#include "Policy/CreditMessages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Identifies one shared limit.
struct CreditKey
{
  CreditKind mKind = CreditKind::kTargetMemory;
  std::string mName;

  bool operator==(const CreditKey&) const = default;
};

/// \brief Hash for maps keyed by CreditKey.
struct CreditKeyHash
{
  std::size_t operator()(const CreditKey& aKey) const noexcept;
};

/// \brief Static and dynamic parts of one limit. Every host computes the same
/// split.
struct CreditSplit
{
  std::uint64_t mCap = 0;
  /// Amount that each listed host may always use.
  std::uint64_t mStaticPerHost = 0;
  /// Amount that the owner may grant: the cap minus all static shares.
  std::uint64_t mDynamic = 0;

  bool operator==(const CreditSplit&) const = default;
};

/// Team limits from the table are hard; engine limits only guide placement.
constexpr bool
IsHardLimit(CreditKind aKind)
{
  return aKind == CreditKind::kTeamStreams ||
         aKind == CreditKind::kTeamTokenRate;
}

/// Splits a cap over aHosts listed hosts.
CreditSplit
SplitCap(CreditKind aKind, std::uint64_t aCap, std::size_t aHosts);

/// The owner of a target's or a team's limits: the host with the highest
/// rendezvous hash. Empty without hosts.
HostId
CreditOwnerOf(const std::string& aName, const std::vector<HostId>& aHosts);

/// Lifetime of a grant. Long enough to tolerate some lost messages, short
/// enough that a new owner can grant soon.
constexpr std::int64_t kCreditLifetimeMicros = 1'500'000;

} // namespace ragwortdeck
