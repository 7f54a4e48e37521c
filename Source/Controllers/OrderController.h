#pragma once

#include "Controllers/AliveToken.h"
#include "Controllers/LeaderLease.h"
#include "Controllers/PlacementPlan.h"
#include "Controllers/WeightBudget.h"
#include "Core/EngineOrder.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"
#include "Core/Scheduler.h"
#include "Core/SiteView.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwortdeck {

struct OrderSettings
{
  /// Mean time between two comparisons of wanted and observed state.
  Duration mPeriod = std::chrono::seconds(2);
  /// From the sending of an order until it can no longer take effect: the
  /// client gives up after half of it, and the engine begins an order within
  /// the other half of its receipt or not at all.
  Duration mOrderLifetime = std::chrono::seconds(4);
  /// An engine that was reachable within this time still counts for loads, so
  /// that a short loss of contact does not start loads elsewhere.
  Duration mLostAfter = std::chrono::seconds(30);
  /// Pause before the same load is ordered again from an engine that did not
  /// begin it; doubles up to the maximum.
  Duration mMinAvoid = std::chrono::seconds(10);
  Duration mMaxAvoid = std::chrono::minutes(5);
  /// A load that takes longer no longer counts as a coming replica.
  Duration mMaxLoadTime = std::chrono::minutes(15);
  /// Weight-store bytes over the whole fleet in any mWeightWindow.
  std::uint64_t mWeightBytes = 200ULL << 30U;
  Duration mWeightWindow = std::chrono::minutes(1);
  PlacementLimits mLimits;
};

struct OrderHooks
{
  /// The newest view; may be null.
  std::function<std::shared_ptr<const SiteView>()> mView;
  /// Reads an engine's state. Reports once, not inside the call, and within
  /// half an order lifetime.
  std::function<void(const Target&, std::function<void(Result<EngineState>)>)>
    mReadState;
  /// Sends an order. Reports like mReadState.
  std::function<
    void(const Target&, const EngineOrder&, std::function<void(OrderReport)>)>
    mSendOrder;
};

struct OrderCounters
{
  std::uint64_t mCycles = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mStale = 0;
  std::uint64_t mUnknown = 0;
  /// Loads that waited for the weight budget.
  std::uint64_t mOverBudget = 0;
};

/// \brief Brings engines to the state that the models sheet wants, while this
/// host holds the lease.
///
/// Each cycle reads all engine states, plans, confirms the lease key and sends
/// at most one order per engine. An engine whose order is not settled gets no
/// other until the lifetime is over and its state is read again. A new holder
/// first makes itself known to engines that check tokens by an order without
/// effect, and waits a lease time and an order lifetime for the others; until
/// then their replicas do not count as certain when others are unloaded.
class OrderController
{
public:
  OrderController(Scheduler& aScheduler,
                  LeaderLease& aLease,
                  RandomSource aRandom,
                  OrderSettings aSettings,
                  OrderHooks aHooks);

  void Start();
  /// Sends no further orders.
  void Stop() { mTimer.Cancel(); }
  const OrderCounters& Counters() const { return mCounters; }

private:
  struct Known
  {
    EngineState mState;
    MonotonicTime mSeen{};
    /// Read in the present cycle.
    bool mFresh = false;
    /// An order that may still take effect, until mBusyUntil.
    std::optional<PlannedOrder> mOrder;
    MonotonicTime mBusyUntil{};
    /// When the last order was known to be settled; a state read that was sent
    /// earlier may not show it.
    MonotonicTime mSettled{};
    /// Since when models with their versions have been loading.
    std::map<std::pair<ModelName, std::string>, MonotonicTime> mLoading;
  };
  struct Avoided
  {
    MonotonicTime mUntil{};
    Duration mPause{};
  };

  void Cycle();
  void BeginTerm();
  void ReadStates();
  void OnState(const TargetId& aTarget, const Result<EngineState>& aState);
  void Store(Known& aKnown, const EngineState& aState);
  void Plan();
  std::vector<PlannedEngine> Engines() const;
  PlannedEngine ToPlanned(const Target& aTarget, const Known& aKnown) const;
  bool IsSecured(const Target& aTarget, const Known& aKnown) const;
  bool NeedsAnnouncement(const Target& aTarget, const Known& aKnown) const;
  std::vector<PlannedOrder> Announcements() const;
  void Send(const std::vector<PlannedOrder>& aOrders);
  bool IsLeavingNow(const TargetId& aTarget) const;
  bool SpendWeight(const PlannedOrder& aOrder);
  void SendOne(const PlannedOrder& aOrder);
  void OnReport(const TargetId& aTarget,
                const std::string& aOrderId,
                OrderReport aReport);
  void NoteLoad(const PlannedOrder& aOrder);

  Scheduler& mScheduler;
  LeaderLease& mLease;
  RandomSource mRandom;
  OrderSettings mSettings;
  OrderHooks mHooks;
  OrderCounters mCounters;

  /// The term that everything below belongs to; 0 for none.
  std::int64_t mFencing = 0;
  MonotonicTime mTermStart{};
  std::uint64_t mNextOrder = 0;
  std::optional<WeightBudget> mBudget;
  std::shared_ptr<const SiteView> mView;
  std::map<TargetId, Known> mKnown;
  std::map<std::pair<TargetId, ModelName>, Avoided> mAvoided;
  std::size_t mReading = 0;
  std::uint64_t mCycle = 0;
  MonotonicTime mReadStart{};
  TimerHandle mTimer;
  AliveToken mAlive;
};

} // namespace ragwortdeck
