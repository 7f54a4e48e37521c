#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A host that may be in the host list of the store.
struct ListingCandidate
{
  std::string mName;
  /// Empty when not known.
  std::string mFailureDomain;
  int mLinkMbps = 0;
  bool operator==(const ListingCandidate&) const = default;
};

/// Whether aSelf belongs in the host list, given the others that it has heard
/// from lately.
///
/// Starting hosts read the list to find the fleet, and whoever they find there
/// introduces them to all others. So a few hosts of each failure domain
/// suffice, and the store is called as often for three hundred hosts as for
/// thirty, also when all of them start at once.
bool
ShouldBeListed(const ListingCandidate& aSelf,
               const std::vector<ListingCandidate>& aOthers);

/// How long a starting host searches for others before it enters itself in the
/// host list, in case all that it knows of are gone. Listed hosts that do not
/// answer may have stopped together with this one and will be back.
constexpr Duration kLongestSearch = std::chrono::milliseconds(3000);

/// Upper bound of FirstListingDelay().
constexpr Duration kMaxFirstListingDelay = std::chrono::milliseconds(3000);

/// Returns how long a host that finds an empty host list waits before it enters
/// itself. An empty list means that the fleet starts for the first time.
///
/// Covers the start of hundreds of hosts at once: most of them draw a time near
/// the maximum, and by then find those few that drew a short one.
Duration
FirstListingDelay(RandomSource& aRandom);

/// Whether a host asks another one, which hears from aTheirLive hosts, to
/// introduce it. aOwnLive is the number that the host hears from itself, and
/// aSinceLast the time since it last asked.
///
/// Covers introductions that were lost, and hosts that started while others
/// were being introduced.
bool
NeedsIntroduction(std::size_t aOwnLive,
                  std::size_t aTheirLive,
                  Duration aSinceLast);

} // namespace ragwortdeck
