#include "Entry/Departures.h"

#include "Entry/StreamRun.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Old plans are forgotten, since a stream may return to the same engine id; a
/// notice of leaving lasts about 2 s.
constexpr Duration kForgetAfter = std::chrono::seconds(10);
/// Key by which the hosts agree on the planner.
constexpr const char* kPlannerKey = "departures";

std::tuple<std::string, std::uint64_t, std::string>
KeyOf(const DepartingRun& aRun)
{
  return { aRun.mHost, aRun.mRun, aRun.mEngine };
}

std::tuple<std::string, std::uint64_t, std::string>
KeyOf(const PlannedCopy& aCopy)
{
  return { aCopy.mHost, aCopy.mRun, aCopy.mEngine };
}

} // namespace

Departures::Departures(EntryContext& aContext, SiteFeed& aFeed)
  : mContext(aContext)
  , mFeed(aFeed)
{
}

void
Departures::Begin(const std::vector<std::string>& aEngines,
                  std::optional<Milliseconds> aLeavesIn)
{
  const std::set<std::string> leaving(aEngines.begin(), aEngines.end());
  std::vector<DepartingRun> own;
  for (const auto& [id, run] : mContext.mStreams) {
    if (leaving.contains(run->Engine())) {
      if (auto departing = run->Departing()) {
        departing->mEngineEndsMs = aLeavesIn.value_or(kMinNotice).count();
        own.push_back(std::move(*departing));
      }
    }
  }
  if (own.empty()) {
    return;
  }
  auto& exchange = mFeed.Exchange();
  const auto planner = SharedReads::FastOwnerOf(
    exchange.Self(), exchange.LiveHosts(), kPlannerKey);
  mContext.mLog.Write("departures_told",
                      { { "engines", aEngines },
                        { "list_revision", mContext.mTargets.Revision() },
                        { "planner", planner },
                        { "streams", own.size() } });
  if (planner == exchange.Self().mName) {
    AddDeparting(own);
    return;
  }
  exchange.Send(planner,
                [&](HostMessage& aMessage) { aMessage.mDeparting = own; });
  mContext.Spawn("plan_own", PlanOwnAfterTimeout(std::move(own)));
}

void
Departures::AddDeparting(const std::vector<DepartingRun>& aRuns)
{
  mPlanner.AddRuns(aRuns, mContext.Now());
  if (!mPlanning && mPlanner.HasUnplanned()) {
    mPlanning = true;
    mContext.Spawn("plan", PlanAfterCollecting());
  }
}

Task<void>
Departures::PlanOwnAfterTimeout(std::vector<DepartingRun> aOwn)
{
  co_await SleepFor(mContext.mIo, kPlanTimeout);
  std::erase_if(aOwn, [&](const DepartingRun& aRun) {
    return mPlanned.contains(KeyOf(aRun));
  });
  std::erase_if(mPlanned, [now = mContext.Now()](const auto& aItem) {
    return now - aItem.second > kForgetAfter;
  });
  for (auto& run : aOwn) {
    run.mEngineEndsMs -= kPlanTimeout.count();
  }
  if (!aOwn.empty()) {
    AddDeparting(aOwn);
  }
}

Task<void>
Departures::PlanAfterCollecting()
{
  co_await SleepFor(mContext.mIo, kCollectTime);
  mPlanning = false;
  const auto plan = Plan();
  std::set<std::string> hosts;
  std::set<std::string> engines;
  std::size_t copies = 0;
  for (const auto& copy : plan) {
    hosts.insert(copy.mHost);
    engines.insert(copy.mEngine);
    copies += copy.mDestination.empty() ? 0 : 1;
  }
  mContext.mLog.Write("departure_planned",
                      { { "engines", engines },
                        { "list_revision", mContext.mTargets.Revision() },
                        { "hosts", hosts.size() },
                        { "streams", plan.size() },
                        { "copies", copies } });
  // The hosts of earlier plans must wait for these copies too.
  SendToInvolved(std::move(hosts),
                 [&](HostMessage& aMessage) { aMessage.mPlan = plan; });
  HandlePlan(plan);
}

std::vector<PlannedCopy>
Departures::Plan()
{
  const auto table = mContext.mTable.Table();
  const auto now = mContext.Now();
  std::map<std::string, std::map<std::string, std::string>> byService;
  for (const auto& id : mPlanner.Engines()) {
    if (const auto* entry = mContext.mTargets.Find(id)) {
      byService[entry->mTarget.mService][id] = entry->mTarget.mFailureDomain;
    }
  }
  std::vector<PlannedCopy> plan;
  for (const auto& [name, domains] : byService) {
    const auto* service = table ? table->FindService(name) : nullptr;
    if (!service || !service->mEngine) {
      continue;
    }
    std::vector<Destination> destinations;
    for (const auto* entry : mContext.OpenTargets(name)) {
      const auto& target = entry->mTarget;
      if (mContext.mHealth.IsAvoided(target.mId, now)) {
        continue;
      }
      const auto load = mContext.mLoad.TotalOn(target.mId);
      destinations.push_back(
        { target.mId,
          target.mFailureDomain,
          service->mEngine->mMemoryTokens - load.mReservedTokens,
          service->mEngine->mSlots - load.mRuns });
    }
    const auto planned = mPlanner.Plan(
      domains, std::move(destinations), CopyMsPerToken(*service->mEngine), now);
    plan.insert(plan.end(), planned.begin(), planned.end());
  }
  return plan;
}

void
Departures::HandleCopied(const std::vector<DepartingRun>& aRuns)
{
  for (const auto& run : aRuns) {
    mAwaited.erase(KeyOf(run));
  }
}

bool
Departures::AllCopied()
{
  std::erase_if(mAwaited, [now = mContext.Now()](const auto& aItem) {
    return aItem.second <= now;
  });
  return mAwaited.empty();
}

void
Departures::HandlePlan(const std::vector<PlannedCopy>& aPlan)
{
  const auto now = mContext.Now();
  const auto& self = mContext.mSettings.mPeers.mAddress;
  for (const auto& copy : aPlan) {
    if (copy.mHost == self) {
      mPlanned.emplace(KeyOf(copy), now);
    }
    if (!copy.mDestination.empty()) {
      mAwaited[KeyOf(copy)] = now + Duration(Milliseconds(copy.mLatestStopMs));
    }
  }
  for (const auto& copy : aPlan) {
    if (copy.mHost == self) {
      MoveOwn(copy);
    }
  }
}

void
Departures::SendCopied(const DepartingRun& aRun)
{
  HandleCopied({ aRun });
  SendToInvolved({},
                 [&](HostMessage& aMessage) { aMessage.mCopied = { aRun }; });
}

void
Departures::SendToInvolved(std::set<std::string> aHosts,
                           const std::function<void(HostMessage&)>& aAdd)
{
  for (const auto& [key, until] : mAwaited) {
    aHosts.insert(std::get<0>(key));
  }
  auto& exchange = mFeed.Exchange();
  aHosts.erase(exchange.Self().mName);
  for (const auto& host : aHosts) {
    exchange.Send(host, aAdd);
  }
}

void
Departures::MoveOwn(const PlannedCopy& aCopy)
{
  DepartingRun run;
  run.mEngine = aCopy.mEngine;
  run.mHost = aCopy.mHost;
  run.mRun = aCopy.mRun;
  const auto it = mContext.mStreams.find(aCopy.mRun);
  if (it == mContext.mStreams.end() || it->second->Engine() != aCopy.mEngine) {
    if (!aCopy.mDestination.empty()) {
      SendCopied(run);
    }
    return;
  }
  if (aCopy.mDestination.empty()) {
    mContext.mLog.Write(
      "move_not_planned",
      { { "id", it->second->RequestId() }, { "engine", aCopy.mEngine } });
    return;
  }
  const auto now = mContext.Now();
  StreamRun::MovePlan plan;
  plan.mDestination = aCopy.mDestination;
  plan.mFirstCopyAt = now + Duration(Milliseconds(aCopy.mFirstCopyStartMs));
  plan.mLatestStop = now + Duration(Milliseconds(aCopy.mLatestStopMs));
  plan.mMayStop = [this] { return AllCopied(); };
  plan.mOnCopied = [this, run] { SendCopied(run); };
  it->second->StartMove(std::move(plan));
}

} // namespace ragwortdeck
