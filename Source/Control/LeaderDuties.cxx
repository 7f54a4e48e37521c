#include "Control/LeaderDuties.h"

#include "Controllers/CircuitBreaker.h"
#include "Controllers/EditHistory.h"
#include "Core/Log.h"

#include <utility>

namespace ragwortdeck {

namespace {

const Log sLog("leader");

/// A new holder deletes soon, because its predecessor's last time is unknown.
constexpr Duration kFirstPrune = std::chrono::minutes(2);
/// Pause after a deletion that failed.
constexpr Duration kPruneRetry = std::chrono::minutes(30);

std::chrono::milliseconds
CallTimeout(const OrderSettings& aSettings)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    aSettings.mOrderLifetime / 2);
}

} // namespace

LeaderDuties::LeaderDuties(Scheduler& aScheduler,
                           KeyValueStore& aStore,
                           RandomSource aRandom,
                           HostId aHost,
                           const LeaderSettings& aSettings,
                           Hooks aHooks)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom.Split())
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mClient(CallTimeout(aSettings.mOrders))
  , mLease(aScheduler,
           aStore,
           aRandom.Split(),
           std::move(aHost),
           aSettings.mLease,
           [this] { OnLeaseChange(); })
  , mController(aScheduler,
                mLease,
                aRandom.Split(),
                aSettings.mOrders,
                MakeOrderHooks())
{
}

OrderHooks
LeaderDuties::MakeOrderHooks()
{
  OrderHooks hooks;
  hooks.mView = mHooks.mView;
  hooks.mReadState = [this](const Target& aTarget, auto aCallback) {
    mClient.ReadState(aTarget, std::move(aCallback));
  };
  hooks.mSendOrder =
    [this](const Target& aTarget, const EngineOrder& aOrder, auto aCallback) {
      mHooks.mOnOrder(aTarget, aOrder);
      mClient.Send(aTarget,
                   aOrder,
                   [this, aTarget, aOrder, callback = std::move(aCallback)](
                     OrderReport aReport) {
                     mHooks.mOnReport(aTarget, aOrder, aReport);
                     callback(aReport);
                   });
    };
  return hooks;
}

void
LeaderDuties::Start()
{
  mIsRunning = true;
  if (!mIsLeaving) {
    mLease.Start();
    mController.Start();
  }
}

void
LeaderDuties::Stop()
{
  mIsRunning = false;
  mController.Stop();
  mLease.Stop();
}

void
LeaderDuties::SetLeaving(bool aIsLeaving)
{
  if (std::exchange(mIsLeaving, aIsLeaving) == aIsLeaving || !mIsRunning) {
    return;
  }
  if (aIsLeaving) {
    mController.Stop();
    mLease.Stop();
  } else {
    mLease.Start();
    mController.Start();
  }
}

void
LeaderDuties::OnLeaseChange()
{
  const auto fencing = mLease.Fencing();
  mHooks.mOnLease(fencing);
  if (fencing != 0) {
    PlanPrune(kFirstPrune);
  } else {
    mPruneTimer.Cancel();
  }
}

void
LeaderDuties::PlanPrune(Duration aMeanPause)
{
  mPruneTimer =
    mScheduler.After(Jittered(aMeanPause, mRandom), [this] { Prune(); });
}

void
LeaderDuties::Prune()
{
  if (!mLease.MayAct()) {
    return;
  }
  mStore.Commit(
    PruneTransaction(mScheduler.WallNow()),
    mAlive.Wrap([this](const KeyValueResult<KeyTransactionReply>& aReply) {
      if (aReply) {
        ++mPrunes;
      } else {
        sLog.Warning("old edit records not deleted: " +
                     aReply.error().mMessage);
      }
      if (mLease.MayAct()) {
        PlanPrune(aReply ? mSettings.mPruneEvery : kPruneRetry);
      }
    }));
}

} // namespace ragwortdeck
