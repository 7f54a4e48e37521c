#pragma once

#include "Entry/EntryContext.h"
#include "Entry/SiteFeed.h"
#include "Serving/DeparturePlanner.h"

#include <set>

namespace ragwortdeck {

/// \brief Moves streams off leaving engines, in coordination with the other
/// hosts.
///
/// Each host sends the list of its streams on the engine to one host that is
/// chosen by a hash. That host, the planner, plans all moves and sends the plan
/// to the hosts concerned. The planner is no single point of failure: a host
/// that receives no plan in time plans the moves of its own streams.
class Departures
{
public:
  /// How long the planner collects the hosts' lists of streams: it covers a few
  /// network delays and a scheduling delay on a small host. Lists that arrive
  /// later are collected for as long again.
  static constexpr Milliseconds kCollectTime{ 25 };
  /// How long a host waits for a plan after the notice of leaving.
  static constexpr Milliseconds kPlanTimeout{ 90 };
  /// Shortest time that an engine still runs when its notice reaches a host:
  /// the platform gives 1.5 s of notice, and the target list is read every
  /// 150 ms.
  static constexpr Milliseconds kMinNotice{ 1400 };

  Departures(EntryContext& aContext, SiteFeed& aFeed);

  /// Starts moving this host's streams off aEngines. aLeavesIn is the time
  /// until the engines end, if known.
  void Begin(const std::vector<std::string>& aEngines,
             std::optional<Milliseconds> aLeavesIn);
  /// Takes streams, of this or another host, whose moves this host must plan.
  void AddDeparting(const std::vector<DepartingRun>& aRuns);
  /// Takes streams, of a plan of this host, whose first copy is done or was
  /// given up.
  void HandleCopied(const std::vector<DepartingRun>& aRuns);
  /// Carries out this host's part of the plan of aPlanner.
  void HandlePlan(const std::string& aPlanner,
                  const std::vector<PlannedCopy>& aPlan);
  /// The first copies of the plans of aPlanner are done.
  void HandleAllCopied(const std::string& aPlanner);

private:
  Task<void> PlanAfterCollecting();
  Task<void> PlanOwnAfterTimeout(std::vector<DepartingRun> aOwn);
  std::vector<PlannedCopy> Plan();
  const std::string& Self() const;
  /// Whether streams that aPlanner planned may stop for their last copies.
  bool MayStop(const std::string& aPlanner) const;
  void MoveOwn(const std::string& aPlanner, const PlannedCopy& aCopy);
  /// Tells aPlanner that the first copy of a stream is done or was given up.
  void ReportCopied(const std::string& aPlanner, const DepartingRun& aRun);
  Task<void> ReportUntilHeard(std::string aPlanner, DepartingRun aRun);

  EntryContext& mContext;
  SiteFeed& mFeed;
  DeparturePlanner mPlanner;
  bool mPlanning = false;
  /// Streams of this host that a received plan covers, and when it arrived.
  std::map<DepartingKey, MonotonicTime> mPlanned;
  CopyBarrier mBarrier;
  /// Until when the last copies of this host's streams wait for the first
  /// copies of others, by planner: the copies share links and destinations.
  std::map<std::string, MonotonicTime> mHeldUntil;
};

} // namespace ragwortdeck
