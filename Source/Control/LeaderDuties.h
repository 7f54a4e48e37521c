#pragma once

#include "Controllers/OrderController.h"
#include "Platform/KeyValueStore.h"
#include "Targets/OrderClient.h"

namespace ragwortdeck {

struct LeaderSettings
{
  LeaderLeaseSettings mLease;
  OrderSettings mOrders;
  /// Mean time between two deletions of old edit records.
  Duration mPruneEvery = std::chrono::hours(24);
};

/// \brief What the one lease holder of the site does: orders to engines, and
/// the deletion of old edit records.
class LeaderDuties
{
public:
  struct Hooks
  {
    /// The newest table version, models and targets; may be null.
    std::function<std::shared_ptr<const SiteView>()> mView;
    /// The lease was gained (with its fencing token) or lost (0).
    std::function<void(std::int64_t aFencing)> mOnLease;
    /// An order was sent, or its report arrived.
    std::function<void(const Target&, const EngineOrder&)> mOnOrder;
    std::function<void(const Target&, const EngineOrder&, OrderReport aReport)>
      mOnReport;
  };

  LeaderDuties(Scheduler& aScheduler,
               KeyValueStore& aStore,
               RandomSource aRandom,
               HostId aHost,
               const LeaderSettings& aSettings,
               Hooks aHooks);

  void Start();
  /// Gives the lease up; no order is sent afterwards.
  void Stop();
  /// A leaving host gives the lease up and takes it no more while it leaves.
  void SetLeaving(bool aIsLeaving);
  void OnLiveHosts(std::size_t aCount) { mLease.OnLiveHosts(aCount); }

  const LeaderLease& Lease() const { return mLease; }
  /// Deletions of old edit records that succeeded.
  std::uint64_t Prunes() const { return mPrunes; }
  const OrderCounters& Orders() const { return mController.Counters(); }

private:
  OrderHooks MakeOrderHooks();
  void OnLeaseChange();
  void PlanPrune(Duration aMeanPause);
  void Prune();

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  LeaderSettings mSettings;
  Hooks mHooks;
  OrderClient mClient;
  LeaderLease mLease;
  OrderController mController;
  std::uint64_t mPrunes = 0;
  bool mIsRunning = false;
  bool mIsLeaving = false;
  TimerHandle mPruneTimer;
  AliveToken mAlive;
};

} // namespace ragwortdeck
