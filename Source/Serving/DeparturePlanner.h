#pragma once

#include "Serving/DeparturePlan.h"

#include <map>
#include <set>
#include <tuple>

namespace ragwortdeck {

/// \brief Plans copies off leaving engines as hosts tell of their runs.
///
/// Answers the pattern "hosts learn of a notice up to some 100 ms apart": the
/// runs that are told first are planned at once, later ones are added behind
/// them on the links and destinations that the earlier copies use.
class DeparturePlanner
{
public:
  /// A planned copy is seen in its destination's load this long after its
  /// start: the start of the call, and a message between hosts.
  static constexpr Duration kUnseen = std::chrono::milliseconds(300);

  /// Takes runs that were not told before.
  void Learn(const std::vector<DepartingRun>& aRuns, MonotonicTime aNow);
  bool HasUnplanned() const { return !mUnplanned.empty(); }
  /// Engines of the runs that are to be planned.
  std::set<std::string> Engines() const;

  /// Plans the runs on the engines in aDomains that were told since the last
  /// plan; aDomains holds the failure domain of each. Runs that cannot be
  /// copied in time get a slot without a destination.
  std::vector<CopySlot> Plan(const std::map<std::string, std::string>& aDomains,
                             std::vector<Destination> aDestinations,
                             double aMsPerToken,
                             MonotonicTime aNow);

private:
  struct Room
  {
    std::string mEngine;
    std::int64_t mTokens = 0;
    MonotonicTime mUntil;
  };
  /// A run's host, its number there, and the engine that it leaves.
  using Key = std::tuple<std::string, std::uint64_t, std::string>;

  double BusyMs(const std::string& aEngine, MonotonicTime aNow) const;
  void Forget(MonotonicTime aNow);

  std::vector<DepartingRun> mUnplanned;
  std::map<Key, MonotonicTime> mKnown;
  std::map<std::string, MonotonicTime> mEndsAt;
  std::map<std::string, MonotonicTime> mLinkFreeAt;
  std::vector<Room> mRooms;
};

} // namespace ragwortdeck
