#include "Control/LoadSharing.h"

#include <algorithm>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

constexpr std::size_t kPollers = 2;
constexpr std::uint64_t kPollSeed = 0x706f6c6c;
// Reports that arrive within this time of each other share one message.
constexpr Duration kFlushDelay = std::chrono::milliseconds(50);

std::uint64_t
Score(const TargetId& aTarget, const HostId& aHost)
{
  const auto seed =
    XXH64(aTarget.Value().data(), aTarget.Value().size(), kPollSeed);
  return XXH64(aHost.Value().data(), aHost.Value().size(), seed);
}

} // namespace

std::vector<HostId>
LoadSharing::PollersOf(const TargetId& aTarget,
                       const std::vector<HostId>& aHosts)
{
  std::vector<std::pair<std::uint64_t, HostId>> best;
  for (const auto& host : aHosts) {
    best.emplace_back(Score(aTarget, host), host);
    std::sort(best.rbegin(), best.rend());
    if (best.size() > kPollers) {
      best.pop_back();
    }
  }
  std::vector<HostId> pollers;
  pollers.reserve(best.size());
  for (auto& [score, host] : best) {
    pollers.push_back(std::move(host));
  }
  return pollers;
}

LoadSharing::LoadSharing(Scheduler& aScheduler,
                         RandomSource aRandom,
                         HostId aSelf,
                         std::uint64_t aIncarnation,
                         const DomainTree& aTree,
                         HostDirectory& aDirectory,
                         LoadSharingSettings aSettings,
                         Hooks aHooks)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mTree(aTree)
  , mDirectory(aDirectory)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mHosts{ mSelf }
{
}

void
LoadSharing::Start()
{
  // A random start spreads the polls of the hosts over the interval.
  const Duration offset(
    std::int64_t(mRandom.Below(std::uint64_t(mSettings.mInterval.count()))));
  mTickTimer = mScheduler.After(offset, [this] { Tick(); });
}

void
LoadSharing::Stop()
{
  mTickTimer.Cancel();
  mFlushTimer.Cancel();
}

void
LoadSharing::OnMembers(const std::vector<MemberRecord>& aMembers)
{
  mHosts.clear();
  for (const auto& member : aMembers) {
    if (member.mState == MemberState::kAlive || member.mHost == mSelf) {
      mHosts.push_back(member.mHost);
    }
  }
  mDutiesStale = true;
}

void
LoadSharing::OnDirectory()
{
  mDutiesStale = true;
}

void
LoadSharing::AssignDuties()
{
  mDutiesStale = false;
  mDuties.clear();
  const auto targets = mDirectory.Targets();
  for (const auto& [id, target] : targets) {
    const auto pollers = PollersOf(id, mHosts);
    const auto it = std::find(pollers.begin(), pollers.end(), mSelf);
    if (it != pollers.end()) {
      mDuties[id] = { std::size_t(it - pollers.begin()), target };
    }
    mHeard.try_emplace(id, Heard{ mScheduler.Now(), 0, false });
  }
  std::erase_if(mHeard, [&](const auto& aHeard) {
    return !targets.contains(aHeard.first);
  });
}

void
LoadSharing::Tick()
{
  if (mDutiesStale) {
    AssignDuties();
  }
  const auto now = mScheduler.Now();
  for (const auto& [id, duty] : mDuties) {
    const auto& heard = mHeard.at(id);
    const bool due =
      duty.mPlace == 0 || now - heard.mTime > mSettings.mTakeOver;
    if (due && !heard.mPolling) {
      Poll(duty.mTarget);
    }
  }
  mTickTimer = mScheduler.After(mSettings.mInterval, [this] { Tick(); });
}

void
LoadSharing::Poll(const Target& aTarget)
{
  mHeard.at(aTarget.mId).mPolling = true;
  mHooks.mPoll(
    aTarget,
    mAlive.Wrap([this, id = aTarget.mId](const Result<LoadReport>& aReport) {
      TakeReport(id, aReport);
    }));
}

void
LoadSharing::TakeReport(const TargetId& aTarget,
                        const Result<LoadReport>& aReport)
{
  const auto it = mHeard.find(aTarget);
  if (it == mHeard.end()) {
    return;
  }
  auto& heard = it->second;
  heard.mPolling = false;
  heard.mFailures = aReport ? 0 : heard.mFailures + 1;
  if (!aReport && heard.mFailures < mSettings.mFailures) {
    return;
  }
  TargetProbe probe;
  probe.mTarget = aTarget;
  probe.mReachable = aReport.has_value();
  if (aReport) {
    probe.mLoad = aReport.value();
  }
  Apply(probe);
  if (mPending.empty()) {
    mFlushTimer = mScheduler.After(kFlushDelay, [this] { Flush(); });
  }
  mPending.push_back(std::move(probe));
}

void
LoadSharing::Flush()
{
  TargetLoadsMessage message{
    mSelf, mIncarnation, ++mSequence, std::move(mPending)
  };
  mPending.clear();
  auto to = mTree.AllRoots();
  // A root does not get its own message back, so it serves its children now.
  if (mTree.IsRoot()) {
    const auto children = mTree.Children();
    to.insert(to.end(), children.begin(), children.end());
  }
  for (const auto& host : to) {
    mHooks.mSend(host, message);
  }
}

void
LoadSharing::OnMessage(const TargetLoadsMessage& aMessage)
{
  if (aMessage.mOrigin == mSelf) {
    return;
  }
  auto& newest = mNewest[aMessage.mOrigin];
  const std::pair number(aMessage.mIncarnation, aMessage.mSequence);
  if (number <= newest) {
    return;
  }
  newest = number;
  for (const auto& probe : aMessage.mProbes) {
    Apply(probe);
  }
  for (const auto& host : mTree.Children()) {
    if (host != aMessage.mOrigin) {
      mHooks.mSend(host, aMessage);
    }
  }
}

void
LoadSharing::Apply(const TargetProbe& aProbe)
{
  const auto heard = mHeard.find(aProbe.mTarget);
  if (heard != mHeard.end()) {
    heard->second.mTime = mScheduler.Now();
  }
  mDirectory.OnReachable(aProbe.mTarget, aProbe.mReachable);
  if (aProbe.mReachable) {
    mDirectory.OnLoad(
      aProbe.mTarget, aProbe.mLoad, Duration(aProbe.mLoad.mAgeMicros));
  }
}

} // namespace ragwortdeck
