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
  mContext.mLog.Write(
    "departures_told",
    { { "engines", aEngines },
      { "list_revision", mContext.mTargets.Version().mRevision },
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
  std::map<std::string, std::vector<PlannedCopy>> byHost;
  std::set<std::string> engines;
  std::size_t copies = 0;
  for (const auto& copy : plan) {
    byHost[copy.mHost].push_back(copy);
    engines.insert(copy.mEngine);
    copies += copy.mDestination.empty() ? 0 : 1;
  }
  mContext.mLog.Write(
    "departure_planned",
    { { "engines", engines },
      { "list_revision", mContext.mTargets.Version().mRevision },
      { "hosts", byHost.size() },
      { "streams", plan.size() },
      { "copies", copies } });
  mBarrier.Await(plan, mContext.Now());
  for (const auto& [host, part] : byHost) {
    if (host == Self()) {
      HandlePlan(host, part);
    } else {
      mFeed.Exchange().Send(
        host, [&part = part](HostMessage& aMessage) { aMessage.mPlan = part; });
    }
  }
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

const std::string&
Departures::Self() const
{
  return mContext.mSettings.mPeers.mAddress;
}

void
Departures::HandleCopied(const std::vector<DepartingRun>& aRuns)
{
  const auto hosts = mBarrier.OnCopied(aRuns, mContext.Now());
  if (!hosts.empty()) {
    mContext.mLog.Write(
      "departures_copied",
      { { "hosts", hosts.size() }, { "last_engine", aRuns.back().mEngine } });
  }
  for (const auto& host : hosts) {
    if (host == Self()) {
      HandleAllCopied(host);
    } else {
      mFeed.Exchange().Send(
        host, [](HostMessage& aMessage) { aMessage.mAllCopied = true; });
    }
  }
}

void
Departures::HandleAllCopied(const std::string& aPlanner)
{
  mHeldUntil.erase(aPlanner);
}

bool
Departures::MayStop(const std::string& aPlanner) const
{
  const auto it = mHeldUntil.find(aPlanner);
  return it == mHeldUntil.end() || it->second <= mContext.Now();
}

void
Departures::HandlePlan(const std::string& aPlanner,
                       const std::vector<PlannedCopy>& aPlan)
{
  const auto now = mContext.Now();
  std::erase_if(mHeldUntil,
                [&](const auto& aItem) { return aItem.second <= now; });
  for (const auto& copy : aPlan) {
    if (copy.mHost == Self()) {
      mPlanned.emplace(KeyOf(copy), now);
    }
    if (!copy.mDestination.empty()) {
      auto& until = mHeldUntil[aPlanner];
      until = std::max(until, now + Duration(Milliseconds(copy.mLatestStopMs)));
    }
  }
  for (const auto& copy : aPlan) {
    if (copy.mHost == Self()) {
      MoveOwn(aPlanner, copy);
    }
  }
}

void
Departures::ReportCopied(const std::string& aPlanner, const DepartingRun& aRun)
{
  if (aPlanner == Self()) {
    HandleCopied({ aRun });
    return;
  }
  mContext.Spawn("report_copied", ReportUntilHeard(aPlanner, aRun));
}

Task<void>
Departures::ReportUntilHeard(std::string aPlanner, DepartingRun aRun)
{
  // All last copies wait for each report, so a lost one is made up for.
  constexpr int kReports = 4;
  constexpr Milliseconds kReportInterval{ 60 };
  for (int i = 0; i < kReports; ++i) {
    mFeed.Exchange().Send(
      aPlanner, [&](HostMessage& aMessage) { aMessage.mCopied = { aRun }; });
    co_await SleepFor(mContext.mIo, kReportInterval);
    if (MayStop(aPlanner)) {
      co_return;
    }
  }
}

void
Departures::MoveOwn(const std::string& aPlanner, const PlannedCopy& aCopy)
{
  DepartingRun run;
  run.mEngine = aCopy.mEngine;
  run.mHost = aCopy.mHost;
  run.mRun = aCopy.mRun;
  const auto it = mContext.mStreams.find(aCopy.mRun);
  if (it == mContext.mStreams.end() || it->second->Engine() != aCopy.mEngine) {
    if (!aCopy.mDestination.empty()) {
      ReportCopied(aPlanner, run);
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
  plan.mMayStop = [this, aPlanner] { return MayStop(aPlanner); };
  plan.mOnCopied = [this, aPlanner, run] { ReportCopied(aPlanner, run); };
  it->second->StartMove(std::move(plan));
}

} // namespace ragwortdeck
