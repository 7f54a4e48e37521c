#include "Controllers/TableSpread.h"

#include "Core/Log.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

const Log sLog("table");

// A host without a table asks again after this time, as many peers at once as
// given below, and uses the newest answer.
constexpr Duration kFirstFetchPeriod = std::chrono::milliseconds(500);
constexpr std::size_t kFirstFetchPeers = 3;

} // namespace

TableSpread::TableSpread(Scheduler& aScheduler,
                         RandomSource aRandom,
                         HostId aSelf,
                         const FailureDomain& aFailureDomain,
                         KeyValueStore& aStore,
                         TableSpreadSettings aSettings,
                         Hooks aHooks)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mTree(mSelf,
          aFailureDomain,
          aSettings.mWatchersPerDomain,
          aSettings.mTreeFanOut)
  , mHooks(std::move(aHooks))
  , mReplica([this](std::shared_ptr<const Table> aTable) {
    mHooks.mOnTable(std::move(aTable));
  })
  , mWatcher(aScheduler,
             mRandom.Split(),
             aStore,
             { [this](Table aTable) { TakeTable(std::move(aTable)); },
               [this](HostMarks aMarks) { TakeMarks(std::move(aMarks)); },
               [this] { return mReplica.Current(); },
               [this]() -> const HostMarks& { return mMarks; } })
{
}

void
TableSpread::Start()
{
  mRunning = true;
  mDutyTimer = mScheduler.After(mSettings.mFirstDuty, [this] {
    mDutyDecided = true;
    UpdateWatching();
  });
  FetchFirst();
}

void
TableSpread::Stop()
{
  mRunning = false;
  mWatcher.Stop();
  mFirstTimer.Cancel();
  mDutyTimer.Cancel();
  mHoldTimer.Cancel();
}

SharedVersions
TableSpread::Versions() const
{
  return { mReplica.Version(), mMarks.mRevision };
}

void
TableSpread::OnMembers(const std::vector<MemberRecord>& aMembers)
{
  mTree.Update(aMembers);
  mOthers.clear();
  for (const auto& member : aMembers) {
    if (member.mHost != mSelf) {
      mOthers.push_back(member.mHost);
    }
  }
  if (mRunning && mDutyDecided) {
    UpdateWatching();
  }
}

void
TableSpread::UpdateWatching()
{
  mOnDuty = mTree.IsRoot();
  if (mOnDuty) {
    mHoldTimer = {};
    mWatcher.Start();
    return;
  }
  if (mWatcher.IsRunning() && !mHoldTimer.IsSet()) {
    mHoldTimer = mScheduler.After(mSettings.mWatchHold, [this] {
      if (!mOnDuty) {
        mWatcher.Stop();
      }
    });
  }
}

void
TableSpread::FetchFirst()
{
  if (HasTable()) {
    return;
  }
  for (std::size_t n = 0; n < kFirstFetchPeers && !mOthers.empty(); ++n) {
    mHooks.mSend(mOthers[mRandom.Below(mOthers.size())],
                 TableFetchMessage{ 0, mMarks.mRevision });
  }
  mFirstTimer = mScheduler.After(kFirstFetchPeriod, [this] { FetchFirst(); });
}

void
TableSpread::OnVersions(const HostId& aFrom, const SharedVersions& aVersions)
{
  if (aVersions.mTable > mReplica.Version() ||
      aVersions.mMarks > mMarks.mRevision) {
    Fetch(aFrom);
  }
}

void
TableSpread::Fetch(const HostId& aFrom)
{
  const auto now = mScheduler.Now();
  if (mLastFetch && now - *mLastFetch < mSettings.mFetchInterval) {
    return;
  }
  mLastFetch = now;
  mHooks.mSend(aFrom,
               TableFetchMessage{ mReplica.Version(), mMarks.mRevision });
}

void
TableSpread::OnMessage(const HostId& aFrom, const TableMessage& aMessage)
{
  std::visit([&](const auto& aBody) { Take(aFrom, aBody); }, aMessage);
}

void
TableSpread::Take(const HostId& aFrom, const TableDeltaMessage& aMessage)
{
  TableDeltaMessage applied;
  for (const auto& delta : aMessage.mDeltas) {
    const auto result = mReplica.OfferDelta(delta);
    if (result == ReplicaResult::kGap) {
      Fetch(aFrom);
      break;
    }
    if (result == ReplicaResult::kApplied) {
      applied.mDeltas.push_back(delta);
    }
  }
  if (!applied.mDeltas.empty()) {
    Push(applied);
  }
}

void
TableSpread::Take(const HostId& aFrom, const TableFetchMessage& aMessage)
{
  if (mReplica.Version() > aMessage.mHave) {
    if (auto deltas = mReplica.DeltasSince(aMessage.mHave)) {
      mHooks.mSend(aFrom, TableDeltaMessage{ std::move(*deltas) });
    } else {
      mHooks.mSend(aFrom, TableFullMessage{ *mReplica.Current() });
    }
  }
  if (mMarks.mRevision > aMessage.mHaveMarks) {
    mHooks.mSend(aFrom, HostMarksMessage{ mMarks });
  }
}

void
TableSpread::Take(const HostId&, const TableFullMessage& aMessage)
{
  // Not passed on: others find the version in probes, and ask for the part
  // that they miss.
  mReplica.OfferTable(aMessage.mTable);
}

void
TableSpread::Take(const HostId&, const HostMarksMessage& aMessage)
{
  TakeMarks(aMessage.mMarks);
}

void
TableSpread::TakeTable(Table aTable)
{
  const auto before = mReplica.Current();
  if (mReplica.OfferTable(std::move(aTable)) != ReplicaResult::kApplied) {
    return;
  }
  sLog.Info("table version " + std::to_string(mReplica.Version()) +
            " read from the key-value service");
  // From no table at all, the difference is the whole table; peers that have
  // none ask for it.
  if (before->mVersion > 0) {
    if (auto deltas = mReplica.DeltasSince(before->mVersion)) {
      Push(TableDeltaMessage{ std::move(*deltas) });
    }
  }
}

void
TableSpread::TakeMarks(HostMarks aMarks)
{
  if (aMarks.mRevision <= mMarks.mRevision) {
    return;
  }
  mMarks = std::move(aMarks);
  mHooks.mOnMarks(mMarks);
  Push(HostMarksMessage{ mMarks });
}

void
TableSpread::Push(const TableMessage& aMessage)
{
  for (const auto& host : PushTargets()) {
    mHooks.mSend(host, aMessage);
  }
}

std::vector<HostId>
TableSpread::PushTargets()
{
  auto targets = mTree.Children();
  for (std::size_t n = 0; n < mSettings.mRandomFanOut && !mOthers.empty();
       ++n) {
    const auto& host = mOthers[mRandom.Below(mOthers.size())];
    if (std::find(targets.begin(), targets.end(), host) == targets.end()) {
      targets.push_back(host);
    }
  }
  return targets;
}

} // namespace ragwortdeck
