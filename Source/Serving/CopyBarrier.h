#pragma once

#include "Core/Clock.h"
#include "Serving/DeparturePlan.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace ragwortdeck {

/// \brief Identifies a stream on a leaving engine: its host, its id there, and
/// the engine.
using DepartingKey = std::tuple<std::string, std::uint64_t, std::string>;

DepartingKey
KeyOf(const DepartingRun& aRun);
DepartingKey
KeyOf(const PlannedCopy& aCopy);

/// \brief At the planner of departures: tells when the first copies of all
/// planned runs are done, so that the runs may stop for their last copies.
///
/// Covers a fleet in which a sixth of the engines leaves at once: 500 streams
/// on 300 hosts. Hosts that told each other of each copy would send 150,000
/// messages; each tells the planner only, and the planner tells all once.
class CopyBarrier
{
public:
  /// Awaits the first copies of a plan. Those that are not reported until the
  /// latest time at which their runs stop are not awaited any longer.
  void Await(const std::vector<PlannedCopy>& aPlan, MonotonicTime aNow);
  /// Takes runs whose first copy is done or was given up. If no other is
  /// awaited, returns the hosts whose runs may stop now, each once.
  std::set<std::string> OnCopied(const std::vector<DepartingRun>& aRuns,
                                 MonotonicTime aNow);

private:
  std::map<DepartingKey, MonotonicTime> mAwaited;
  /// Hosts that have not been told yet.
  std::set<std::string> mHosts;
};

} // namespace ragwortdeck
