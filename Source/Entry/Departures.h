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
  /// Takes streams whose first copy is done or was given up.
  void HandleCopied(const std::vector<DepartingRun>& aRuns);
  /// Carries out this host's part of a plan.
  void HandlePlan(const std::vector<PlannedCopy>& aPlan);

private:
  /// A stream's host, its id there, and the engine that it leaves.
  using RunKey = std::tuple<std::string, std::uint64_t, std::string>;

  Task<void> PlanAfterCollecting();
  Task<void> PlanOwnAfterTimeout(std::vector<DepartingRun> aOwn);
  std::vector<PlannedCopy> Plan();
  /// Whether no first copy is awaited any more.
  bool AllCopied();
  void MoveOwn(const PlannedCopy& aCopy);
  void SendCopied(const DepartingRun& aRun);
  /// Sends to aHosts and to the hosts whose first copies are awaited.
  void SendToInvolved(std::set<std::string> aHosts,
                      const std::function<void(HostMessage&)>& aAdd);

  EntryContext& mContext;
  SiteFeed& mFeed;
  DeparturePlanner mPlanner;
  bool mPlanning = false;
  /// Streams of this host that a received plan covers, and when it arrived.
  std::map<RunKey, MonotonicTime> mPlanned;
  /// First copies that all last copies wait for, and until when they wait: the
  /// copies share links and destinations.
  std::map<RunKey, MonotonicTime> mAwaited;
};

} // namespace ragwortdeck
