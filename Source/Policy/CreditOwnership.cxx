#include "Policy/CreditOwnership.h"

#include <algorithm>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

/// Fraction of a hard cap that is split evenly among all hosts. The rest
/// follows the demand. Half lets hosts keep working when the owner is
/// unreachable.
constexpr double kStaticFraction = 0.5;

std::uint64_t
RendezvousHash(const std::string& aName, const HostId& aHost)
{
  const auto seed = XXH3_64bits(aName.data(), aName.size());
  const auto& host = aHost.Value();
  return XXH3_64bits_withSeed(host.data(), host.size(), seed);
}

} // namespace

std::size_t
CreditKeyHash::operator()(const CreditKey& aKey) const noexcept
{
  return XXH3_64bits_withSeed(aKey.mName.data(),
                              aKey.mName.size(),
                              static_cast<std::uint64_t>(aKey.mKind));
}

CreditSplit
SplitCap(CreditKind aKind, std::uint64_t aCap, std::size_t aHosts)
{
  CreditSplit split;
  split.mCap = aCap;
  if (IsHardLimit(aKind) && aHosts > 0) {
    const auto staticTotal = static_cast<double>(aCap) * kStaticFraction;
    split.mStaticPerHost =
      static_cast<std::uint64_t>(staticTotal / static_cast<double>(aHosts));
  }
  split.mDynamic = aCap - split.mStaticPerHost * aHosts;
  return split;
}

HostId
CreditOwnerOf(const std::string& aName, const std::vector<HostId>& aHosts)
{
  const auto best = std::max_element(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return RendezvousHash(aName, aLeft) < RendezvousHash(aName, aRight);
    });
  return best == aHosts.end() ? HostId() : *best;
}

} // namespace ragwortdeck
