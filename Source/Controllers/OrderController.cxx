#include "Controllers/OrderController.h"

#include "Controllers/CircuitBreaker.h"
#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

const Log sLog("orders");

bool
IsLoad(const EngineOrder& aOrder)
{
  return aOrder.mAction == OrderAction::kLoadModel ||
         aOrder.mAction == OrderAction::kLoadVersion;
}

bool
Has(const EngineState& aState, const EngineOrder& aOrder)
{
  return std::any_of(aState.mModels.begin(),
                     aState.mModels.end(),
                     [&aOrder](const LoadedModel& aLoaded) {
                       return aLoaded.mModel == aOrder.mModel &&
                              aLoaded.mVersion == aOrder.mVersion;
                     });
}

} // namespace

OrderController::OrderController(Scheduler& aScheduler,
                                 LeaderLease& aLease,
                                 RandomSource aRandom,
                                 OrderSettings aSettings,
                                 OrderHooks aHooks)
  : mScheduler(aScheduler)
  , mLease(aLease)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
{
}

void
OrderController::Start()
{
  mTimer =
    mScheduler.After(Jittered(mSettings.mPeriod, mRandom), [this] { Cycle(); });
}

void
OrderController::Cycle()
{
  Start();
  if (!mLease.MayAct()) {
    mFencing = 0;
    return;
  }
  if (mFencing != mLease.Fencing()) {
    BeginTerm();
  }
  mView = mHooks.mView();
  // Without a table, or before the models sheet has its first row, nothing is
  // known to be wanted; acting would unload all.
  if (!mView || mView->mTable.mVersion == 0 || mView->mTable.mModels.empty()) {
    return;
  }
  const auto reading = mScheduler.Now() - mReadStart;
  if (mReading > 0 && reading < mSettings.mOrderLifetime) {
    return;
  }
  ++mCounters.mCycles;
  ReadStates();
}

void
OrderController::BeginTerm()
{
  mFencing = mLease.Fencing();
  mTermStart = mScheduler.Now();
  mKnown.clear();
  mAvoided.clear();
  // An order may begin at any time of its lifetime, so what is sent in one
  // longer window begins in any shorter one.
  mBudget.emplace(mSettings.mWeightBytes,
                  mSettings.mWeightWindow + mSettings.mOrderLifetime,
                  mTermStart);
}

void
OrderController::ReadStates()
{
  ++mCycle;
  mReadStart = mScheduler.Now();
  for (auto& [id, known] : mKnown) {
    known.mFresh = false;
  }
  std::vector<Target> targets;
  for (const auto& [id, target] : mView->mTargets) {
    if (target.mRole == TargetRole::kEngine &&
        target.mState != TargetState::kLeaving) {
      targets.push_back(target);
    }
  }
  mReading = targets.size();
  for (const auto& target : targets) {
    const auto onState = [this, id = target.mId, cycle = mCycle](
                           const Result<EngineState>& aState) {
      if (cycle == mCycle) {
        OnState(id, aState);
      }
    };
    mHooks.mReadState(target, mAlive.Wrap(onState));
  }
}

void
OrderController::OnState(const TargetId& aTarget,
                         const Result<EngineState>& aState)
{
  if (aState) {
    auto& known = mKnown[aTarget];
    known.mSeen = mScheduler.Now();
    const bool open = known.mOrder && mReadStart <= known.mBusyUntil;
    if (!open && mReadStart > known.mSettled) {
      known.mOrder.reset();
      known.mFresh = true;
      Store(known, aState.value());
    }
    for (const auto& loaded : aState.value().mModels) {
      if (loaded.mReady) {
        mAvoided.erase({ aTarget, loaded.mModel });
      }
    }
    if (aState.value().mFencing > mFencing) {
      mLease.Confirm([](bool) {});
    }
  }
  if (--mReading == 0) {
    Plan();
  }
}

void
OrderController::Store(Known& aKnown, const EngineState& aState)
{
  aKnown.mState = aState;
  const auto before = std::exchange(aKnown.mLoading, {});
  for (const auto& loaded : aState.mModels) {
    if (!loaded.mReady) {
      const auto key = std::make_pair(loaded.mModel, loaded.mVersion);
      const auto it = before.find(key);
      aKnown.mLoading[key] = it == before.end() ? mScheduler.Now() : it->second;
    }
  }
}

bool
OrderController::IsSecured(const Target& aTarget, const Known& aKnown) const
{
  if (!aKnown.mFresh || aKnown.mOrder) {
    return false;
  }
  if (aTarget.mChecksFencing) {
    return aKnown.mState.mFencing == mFencing;
  }
  const auto wait = mLease.Settings().mTtl + mSettings.mOrderLifetime;
  return mScheduler.Now() - mTermStart > wait;
}

bool
OrderController::NeedsAnnouncement(const Target& aTarget,
                                   const Known& aKnown) const
{
  return aTarget.mChecksFencing && aKnown.mFresh && !aKnown.mOrder &&
         aKnown.mState.mFencing < mFencing;
}

PlannedEngine
OrderController::ToPlanned(const Target& aTarget, const Known& aKnown) const
{
  const auto now = mScheduler.Now();
  PlannedEngine engine;
  engine.mId = aTarget.mId;
  engine.mDomain = aTarget.mFailureDomain;
  engine.mReachable = aKnown.mFresh;
  engine.mSecured = IsSecured(aTarget, aKnown);
  engine.mTakesOrders = engine.mSecured && aTarget.mState == TargetState::kLive;
  engine.mState = aKnown.mState;
  if (aKnown.mOrder && IsLoad(aKnown.mOrder->mOrder) &&
      !Has(engine.mState, aKnown.mOrder->mOrder)) {
    const auto& order = aKnown.mOrder->mOrder;
    engine.mState.mModels.push_back(
      { order.mModel, order.mVersion, false, {} });
  }
  for (const auto& entry : aKnown.mLoading) {
    if (now - entry.second > mSettings.mMaxLoadTime) {
      engine.mAvoid.insert(entry.first.first);
      std::erase_if(engine.mState.mModels, [&entry](const LoadedModel& aModel) {
        return aModel.mModel == entry.first.first &&
               aModel.mVersion == entry.first.second;
      });
    }
  }
  for (const auto& [key, avoided] : mAvoided) {
    if (key.first == aTarget.mId && now < avoided.mUntil) {
      engine.mAvoid.insert(key.second);
    }
  }
  return engine;
}

std::vector<PlannedEngine>
OrderController::Engines() const
{
  std::vector<PlannedEngine> engines;
  const auto now = mScheduler.Now();
  for (const auto& [id, target] : mView->mTargets) {
    const auto it = mKnown.find(id);
    const bool counts = target.mRole == TargetRole::kEngine &&
                        target.mState != TargetState::kLeaving &&
                        it != mKnown.end() &&
                        now - it->second.mSeen < mSettings.mLostAfter;
    if (counts) {
      engines.push_back(ToPlanned(target, it->second));
    }
  }
  return engines;
}

std::vector<PlannedOrder>
OrderController::Announcements() const
{
  std::vector<PlannedOrder> orders;
  for (const auto& [id, target] : mView->mTargets) {
    const auto it = mKnown.find(id);
    if (target.mState != TargetState::kLeaving && it != mKnown.end() &&
        NeedsAnnouncement(target, it->second)) {
      EngineOrder order;
      order.mAction = OrderAction::kSetRole;
      order.mRole = it->second.mState.mRole;
      orders.push_back({ id, order, 0 });
    }
  }
  return orders;
}

void
OrderController::Plan()
{
  if (!mLease.MayAct() || mLease.Fencing() != mFencing) {
    return;
  }
  const auto engines = Engines();
  auto orders = Announcements();
  const auto plan =
    PlanPlacement(mView->mTable.mModels, engines, mSettings.mLimits);
  orders.insert(orders.end(), plan.begin(), plan.end());
  if (orders.empty()) {
    return;
  }
  mLease.Confirm(mAlive.Wrap([this, orders, cycle = mCycle](bool aHeld) {
    if (aHeld && cycle == mCycle && mLease.Fencing() == mFencing) {
      Send(orders);
    }
  }));
}

void
OrderController::Send(const std::vector<PlannedOrder>& aOrders)
{
  bool budgetLeft = true;
  for (const auto& order : aOrders) {
    // Everything that the order may cause must lie within the lease.
    if (mLease.Remaining() <= mSettings.mOrderLifetime) {
      return;
    }
    if (IsLeavingNow(order.mTarget)) {
      continue;
    }
    if (order.mWeightBytes == 0) {
      SendOne(order);
      continue;
    }
    // No later load passes one that waits, or large models would starve.
    budgetLeft = budgetLeft && SpendWeight(order);
    if (budgetLeft) {
      SendOne(order);
    }
  }
}

bool
OrderController::IsLeavingNow(const TargetId& aTarget) const
{
  const auto view = mHooks.mView();
  const auto it = view->mTargets.find(aTarget);
  return it == view->mTargets.end() ||
         it->second.mState == TargetState::kLeaving;
}

bool
OrderController::SpendWeight(const PlannedOrder& aOrder)
{
  if (!mBudget->CanEverSpend(aOrder.mWeightBytes)) {
    sLog.Error("model " + aOrder.mOrder.mModel.Value() +
               " is larger than the weight-store budget of a whole period");
    return false;
  }
  if (!mBudget->Spend(aOrder.mWeightBytes, mScheduler.Now())) {
    ++mCounters.mOverBudget;
    return false;
  }
  return true;
}

void
OrderController::SendOne(const PlannedOrder& aOrder)
{
  auto planned = aOrder;
  auto& order = planned.mOrder;
  order.mFencing = mFencing;
  order.mId = std::to_string(mFencing) + '-' + std::to_string(mNextOrder++);
  order.mExpiresIn =
    std::chrono::floor<std::chrono::milliseconds>(mSettings.mOrderLifetime / 2);
  auto& known = mKnown[aOrder.mTarget];
  known.mOrder = planned;
  known.mBusyUntil = mScheduler.Now() + mSettings.mOrderLifetime;
  if (IsLoad(order)) {
    NoteLoad(planned);
  }
  ++mCounters.mSent;
  sLog.Info(std::string(ToText(order.mAction)) + ' ' + order.mModel.Value() +
            " to " + aOrder.mTarget.Value());
  mHooks.mSendOrder(
    mView->mTargets.at(aOrder.mTarget),
    order,
    mAlive.Wrap([this, target = aOrder.mTarget, id = order.mId](
                  OrderReport aReport) { OnReport(target, id, aReport); }));
}

void
OrderController::NoteLoad(const PlannedOrder& aOrder)
{
  auto& avoided = mAvoided[{ aOrder.mTarget, aOrder.mOrder.mModel }];
  avoided.mPause =
    std::clamp(avoided.mPause * 2, mSettings.mMinAvoid, mSettings.mMaxAvoid);
  avoided.mUntil = mScheduler.Now() + avoided.mPause;
}

void
OrderController::OnReport(const TargetId& aTarget,
                          const std::string& aOrderId,
                          OrderReport aReport)
{
  const auto it = mKnown.find(aTarget);
  if (it == mKnown.end() || !it->second.mOrder ||
      it->second.mOrder->mOrder.mId != aOrderId) {
    return;
  }
  // The state that is known is from before the order.
  it->second.mFresh = false;
  switch (aReport) {
    case OrderReport::kUnknown:
      // May take effect until its lifetime is over.
      ++mCounters.mUnknown;
      return;
    case OrderReport::kStale:
      ++mCounters.mStale;
      sLog.Warning("engine " + aTarget.Value() +
                   " has seen a newer fencing token");
      mLease.Confirm([](bool) {});
      break;
    case OrderReport::kAccepted:
    case OrderReport::kRefused:
    case OrderReport::kNotSent:
      break;
  }
  it->second.mSettled = mScheduler.Now();
  const auto& order = it->second.mOrder->mOrder;
  if (aReport == OrderReport::kAccepted && IsLoad(order) &&
      !Has(it->second.mState, order)) {
    // Counts as coming until the next state is read.
    it->second.mState.mModels.push_back(
      { order.mModel, order.mVersion, false, {} });
  }
  it->second.mOrder.reset();
}

} // namespace ragwortdeck
