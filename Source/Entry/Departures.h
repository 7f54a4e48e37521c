#pragma once

#include "Entry/EntryContext.h"
#include "Entry/SiteFeed.h"
#include "Serving/DeparturePlanner.h"

#include <set>

namespace ragwortdeck {

/// \brief Moves streams off engines that leave, in step with the other hosts.
///
/// Each host tells its streams on the engine to one host, found by a hash,
/// which plans for all and tells its plan to the hosts in it. Nothing depends
/// on that host: one that hears no plan in time makes one for its own streams.
class Departures
{
public:
  /// Time in which the hosts' first lists arrive: some network delays, and a
  /// turn of a small host's processor. Later ones are planned after as long.
  static constexpr Milliseconds kCollect{ 25 };
  /// A plan is waited for this long after the notice.
  static constexpr Milliseconds kPlanWait{ 90 };
  /// Shortest time that an engine has left when its notice reaches a host: the
  /// platform gives 1.5 s, and the list is read every 150 ms.
  static constexpr Milliseconds kNotice{ 1400 };

  Departures(EntryContext& aContext, SiteFeed& aFeed);

  /// aLeavesIn is the time until the engines end, when it is known.
  void Begin(const std::vector<std::string>& aEngines,
             std::optional<Milliseconds> aLeavesIn);
  /// Streams, of this or another host, that this host is to plan.
  void Learn(const std::vector<DepartingRun>& aRuns);
  void LearnCopied(const std::vector<DepartingRun>& aRuns);
  void LearnPlan(const std::vector<PlannedCopy>& aSlots);

private:
  /// A run's host, its number there, and the engine that it leaves.
  using RunKey = std::tuple<std::string, std::uint64_t, std::string>;

  Task<void> PlanSoon();
  Task<void> PlanOwnLater(std::vector<DepartingRun> aOwn);
  std::vector<PlannedCopy> Plan();
  bool AllCopied();
  void MoveOwn(const PlannedCopy& aSlot);
  void TellCopied(const DepartingRun& aRun);
  /// Sends to aHosts and to those whose first copies are awaited.
  void Tell(std::set<std::string> aHosts,
            const std::function<void(HostMessage&)>& aAdd);

  EntryContext& mContext;
  SiteFeed& mFeed;
  DeparturePlanner mPlanner;
  bool mPlanning = false;
  /// Streams of this host that a plan was heard for, and when.
  std::map<RunKey, MonotonicTime> mPlanned;
  /// First copies that last copies wait for, until the given time: links and
  /// destinations are shared.
  std::map<RunKey, MonotonicTime> mAwaited;
};

} // namespace ragwortdeck
