#include "Serving/HostListing.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

/// Fast links first, then by hash, so that all hosts agree.
std::tuple<int, std::uint64_t, const std::string&>
OrderOf(const ListingCandidate& aHost)
{
  return { -aHost.mLinkMbps,
           XXH64(aHost.mName.data(), aHost.mName.size(), 0),
           aHost.mName };
}

} // namespace

bool
ShouldBeListed(const ListingCandidate& aSelf,
               const std::vector<ListingCandidate>& aOthers)
{
  // A domain stays reachable while one of its listed hosts is replaced.
  constexpr std::ptrdiff_t kListedPerDomain = 2;
  const auto before = std::count_if(
    aOthers.begin(), aOthers.end(), [&](const ListingCandidate& aItem) {
      return aItem.mFailureDomain == aSelf.mFailureDomain &&
             OrderOf(aItem) < OrderOf(aSelf);
    });
  return before < kListedPerDomain;
}

Duration
FirstListingDelay(RandomSource& aRandom)
{
  // Of n hosts the first one draws about the n-th part of 1, to this power.
  constexpr double kPower = 0.25;
  return std::chrono::duration_cast<Duration>(kMaxFirstListingDelay *
                                              std::pow(aRandom.Unit(), kPower));
}

bool
NeedsIntroduction(std::size_t aOwnLive,
                  std::size_t aTheirLive,
                  Duration aSinceLast)
{
  // While some hosts are cut off from others, the numbers differ for long.
  constexpr Duration kMinInterval = std::chrono::milliseconds(1500);
  return aTheirLive > aOwnLive && aSinceLast >= kMinInterval;
}

} // namespace ragwortdeck
