#pragma once

#include "Serving/CopyBarrier.h"

#include <map>
#include <set>

namespace ragwortdeck {

/// \brief Plans copies from leaving engines as hosts report their runs.
///
/// Hosts learn of an engine's notice up to about 100 ms apart. Runs that are
/// reported first are planned immediately; later ones are queued behind them on
/// the links and destinations that the earlier copies use.
class DeparturePlanner
{
public:
  /// Time from the start of a planned copy until the load of its destination
  /// includes it: the start of the call and one message between hosts.
  static constexpr Duration kLoadReportDelay = std::chrono::milliseconds(300);

  /// Adds the runs that were not reported before.
  void AddRuns(const std::vector<DepartingRun>& aRuns, MonotonicTime aNow);
  bool HasUnplanned() const { return !mUnplanned.empty(); }
  /// Engines of the runs that are not planned yet.
  std::set<std::string> Engines() const;

  /// Plans the unplanned runs on the engines in aDomains, which maps each
  /// engine to its failure domain. Runs that cannot be copied in time get an
  /// entry with an empty destination.
  std::vector<PlannedCopy> Plan(
    const std::map<std::string, std::string>& aDomains,
    std::vector<Destination> aDestinations,
    double aMsPerToken,
    MonotonicTime aNow);

private:
  /// Capacity of a destination that a planned copy will use.
  struct Reservation
  {
    std::string mEngine;
    std::int64_t mTokens = 0;
    MonotonicTime mExpiresAt;
  };
  double LinkBusyMs(const std::string& aEngine, MonotonicTime aNow) const;
  void ForgetOld(MonotonicTime aNow);

  std::vector<DepartingRun> mUnplanned;
  /// When each run was first reported.
  std::map<DepartingKey, MonotonicTime> mFirstReportedAt;
  std::map<std::string, MonotonicTime> mEndsAt;
  std::map<std::string, MonotonicTime> mLinkFreeAt;
  std::vector<Reservation> mReservations;
};

} // namespace ragwortdeck
