#include "Control/Fabric.h"

#include "Controllers/TableKeys.h"

namespace ragwortdeck {

namespace {

// Length field, HMAC and the map around the body, as PeerSession frames them.
constexpr std::size_t kFrameBytes = 4 + 32 + 60;
constexpr Duration kStep = std::chrono::milliseconds(5);

std::string
Name(std::size_t aHost)
{
  return "entry-" + std::to_string(aHost);
}

} // namespace

HostScheduler::HostScheduler(VirtualScheduler& aBase)
  : mBase(aBase)
{
}

TimerHandle
HostScheduler::After(Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  Post(aDelay, [weak = std::weak_ptr(task)] {
    if (auto task = weak.lock()) {
      (*task)();
    }
  });
  return TimerHandle(task);
}

void
HostScheduler::Post(Duration aDelay, std::function<void()> aTask)
{
  mBase.Post(aDelay, [weak = std::weak_ptr(mState), task = std::move(aTask)] {
    const auto state = weak.lock();
    if (!state) {
      return;
    }
    if (state->mFrozen) {
      state->mHeld.push_back(task);
      return;
    }
    task();
  });
}

void
HostScheduler::Thaw()
{
  mState->mFrozen = false;
  for (auto& task : std::exchange(mState->mHeld, {})) {
    Post(Duration::zero(), std::move(task));
  }
}

Fabric::Fabric(std::size_t aHosts, std::size_t aDomains, std::uint64_t aSeed)
  : mHosts(aHosts)
  , mRandom(aSeed)
{
  for (std::size_t n = 0; n < aHosts; ++n) {
    mHosts[n].mId = HostId(Name(n));
    mHosts[n].mDomain = FailureDomain("d" + std::to_string(n % aDomains));
    mIndex[Name(n)] = n;
  }
  mSettings.mSeeds = { Name(0), Name(1), Name(2) };
  mLoadOf = [](const TargetId&) -> Result<LoadReport> {
    return Failure(ErrorCode::kUnavailable, "refused");
  };
}

std::size_t
Fabric::IndexOf(const std::string& aHost) const
{
  return mIndex.at(aHost);
}

ControlCore::Hooks
Fabric::HooksOf(std::size_t aHost)
{
  auto* host = &mHosts[aHost];
  return { [this, aHost](const HostId& aTo,
                         const std::string& aAddress,
                         const PeerMessage& aMessage) {
            Send(aHost, aTo, aAddress, aMessage);
          },
           [this, host](const SiteView& aView) {
             host->mReverted |=
               aView.mTable.mVersion < host->mView.mTable.mVersion;
             host->mView = aView;
             ++host->mViews;
             host->mInForce.try_emplace(aView.mTable.mVersion, mTime.Now());
           },
           [host](const std::map<TargetId, LoadReport>& aReports) {
             for (const auto& [target, report] : aReports) {
               host->mView.mTargets.at(target).mLoad = report;
               ++host->mLoadUpdates;
             }
           },
           [](const std::vector<HostId>&) {},
           [this, host](const Target& aTarget,
                        const LoadSharing::ReportCallback& aCallback) {
             ++host->mPolls;
             host->mScheduler->Post(
               std::chrono::milliseconds(2),
               [this, id = aTarget.mId, aCallback] { aCallback(mLoadOf(id)); });
           },
           [](const MemberRecord&) {},
           [](std::uint64_t) {},
           [](const PeerMessage&) {} };
}

void
Fabric::Start(std::size_t aHost)
{
  auto& host = mHosts[aHost];
  host.mView = {};
  host.mFrozen = false;
  host.mScheduler = std::make_unique<HostScheduler>(mTime);
  host.mStore = std::make_unique<FakeKeyValueStore>(*host.mScheduler, mService);
  auto settings = mSettings;
  settings.mHost = host.mId;
  settings.mFailureDomain = host.mDomain;
  settings.mAddress = host.mId.Value();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
    mTime.WallNow().time_since_epoch());
  host.mCore = std::make_unique<ControlCore>(*host.mScheduler,
                                             mRandom.Split(),
                                             settings,
                                             std::uint64_t(millis.count()),
                                             *host.mStore,
                                             HooksOf(aHost));
  host.mCore->Start();
}

void
Fabric::StartAll()
{
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    Start(n);
  }
}

void
Fabric::Kill(std::size_t aHost)
{
  auto& host = mHosts[aHost];
  host.mCore.reset();
  host.mStore.reset();
  host.mScheduler.reset();
}

void
Fabric::Freeze(std::size_t aHost)
{
  mHosts[aHost].mFrozen = true;
  mHosts[aHost].mScheduler->Freeze();
}

void
Fabric::Thaw(std::size_t aHost)
{
  mHosts[aHost].mFrozen = false;
  mHosts[aHost].mScheduler->Thaw();
}

void
Fabric::Split(const std::vector<std::size_t>& aLeft,
              const std::vector<std::size_t>& aRight)
{
  for (const auto left : aLeft) {
    for (const auto right : aRight) {
      mCuts.emplace(left, right);
      mCuts.emplace(right, left);
    }
  }
}

void
Fabric::Send(std::size_t aFrom,
             const HostId& aTo,
             const std::string& aAddress,
             PeerMessage aMessage)
{
  auto& sender = mHosts[aFrom];
  ++sender.mSent;
  sender.mSentBytes += aMessage.mBody.size() + kFrameBytes;
  const auto it = mIndex.find(aAddress.empty() ? aTo.Value() : aAddress);
  if (it == mIndex.end() || mRandom.Chance(mDrop)) {
    return;
  }
  const auto to = it->second;
  aMessage.mFrom = sender.mId;
  const auto span = std::uint64_t((mDelayMax - mDelayMin).count()) + 1;
  const auto delay = mDelayMin + Duration(std::int64_t(mRandom.Below(span)));
  mTime.Post(delay, [this, aFrom, to, message = std::move(aMessage)] {
    auto& host = mHosts[to];
    if (!host.IsUp() || mCuts.contains({ aFrom, to })) {
      return;
    }
    auto* core = host.mCore.get();
    host.mScheduler->Post(Duration::zero(),
                          [core, message] { core->OnMessage(message); });
  });
}

std::uint64_t
Fabric::Edit(std::uint32_t aShare)
{
  ++mVersion;
  const RowAddress row{ Sheet::kTeams, "taa" };
  mService->mState
    .Commit({ {},
              { KeyOperation::Put(TableKeys::Row(row),
                                  "{\"share\":" + std::to_string(aShare) + "}"),
                KeyOperation::Put(TableKeys::kHead, std::to_string(mVersion)) },
              {} })
    .value();
  return mVersion;
}

void
Fabric::Mark(const std::string& aHost, const std::string& aJson)
{
  mService->mState
    .Commit({ {}, { KeyOperation::Put(TableKeys::Host(aHost), aJson) }, {} })
    .value();
}

void
Fabric::Unmark(const std::string& aHost)
{
  mService->mState
    .Commit({ {}, { KeyOperation::Delete(TableKeys::Host(aHost)) }, {} })
    .value();
}

bool
Fabric::AllAgree() const
{
  std::vector<HostId> up;
  for (const auto& host : mHosts) {
    if (host.IsUp()) {
      up.push_back(host.mId);
    }
  }
  std::sort(up.begin(), up.end());
  return std::all_of(
    mHosts.begin(), mHosts.end(), [&](const FabricHost& aHost) {
      if (!aHost.IsUp()) {
        return true;
      }
      std::vector<HostId> seen;
      for (const auto& member : aHost.mCore->Members().Live()) {
        if (member.mState == MemberState::kAlive) {
          seen.push_back(member.mHost);
        }
      }
      return seen == up;
    });
}

bool
Fabric::AllHave(std::uint64_t aVersion) const
{
  return std::all_of(
    mHosts.begin(), mHosts.end(), [&](const FabricHost& aHost) {
      return !aHost.IsUp() || aHost.mView.mTable.mVersion >= aVersion;
    });
}

std::optional<Duration>
Fabric::Until(Duration aLimit, const std::function<bool()>& aDone)
{
  const auto start = mTime.Now();
  while (!aDone()) {
    if (mTime.Now() - start >= aLimit) {
      return std::nullopt;
    }
    mTime.Advance(kStep);
  }
  return mTime.Now() - start;
}

std::vector<std::size_t>
Fabric::Watchers() const
{
  std::vector<std::size_t> watchers;
  for (std::size_t n = 0; n < mHosts.size(); ++n) {
    if (mHosts[n].IsUp() && mHosts[n].mCore->Spread().IsWatching()) {
      watchers.push_back(n);
    }
  }
  return watchers;
}

bool
Fabric::AnyReverted() const
{
  return std::any_of(mHosts.begin(), mHosts.end(), [](const FabricHost& aHost) {
    return aHost.mReverted;
  });
}

void
Fabric::ResetCounters()
{
  for (auto& host : mHosts) {
    host.mSent = host.mSentBytes = host.mPolls = 0;
  }
  mService->mReads = mService->mWrites = mService->mWatches = 0;
}

} // namespace ragwortdeck
