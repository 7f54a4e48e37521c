#include "Support/SimulatedProcess.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr Duration kLongDelay = std::chrono::seconds(7);

} // namespace

SimulatedProcess::SimulatedProcess(VirtualScheduler& aWorld)
  : mWorld(aWorld)
  , mShared(std::make_shared<Shared>())
{
}

TimerHandle
SimulatedProcess::After(Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  std::weak_ptr<std::function<void()>> weak = task;
  mWorld.Post(aDelay, [this, weak] {
    if (weak.expired()) {
      return;
    }
    Step(
      [weak] {
        if (const auto task = weak.lock()) {
          (*task)();
        }
      },
      true);
  });
  return TimerHandle(task);
}

void
SimulatedProcess::Post(Duration aDelay, std::function<void()> aTask)
{
  mWorld.Post(aDelay, [this, aTask] { Step(aTask, true); });
}

void
SimulatedProcess::Deliver(std::function<void()> aReply)
{
  Step(std::move(aReply), false);
}

void
SimulatedProcess::Step(std::function<void()> aTask, bool aTimer)
{
  if (mShared->mKilled) {
    return;
  }
  if (!mShared->mFrozen && mStepHook) {
    const auto fault = mStepHook();
    switch (fault.mType) {
      case ProcessFault::Type::kNone:
        break;
      case ProcessFault::Type::kKill:
        Kill();
        return;
      case ProcessFault::Type::kFreezeTimersFirst:
        Freeze(fault.mFreeze, true);
        break;
      case ProcessFault::Type::kFreezeRepliesFirst:
        Freeze(fault.mFreeze, false);
        break;
    }
  }
  if (mShared->mFrozen) {
    (aTimer ? mShared->mTimers : mShared->mReplies).push_back(std::move(aTask));
    return;
  }
  aTask();
}

void
SimulatedProcess::Kill()
{
  mShared->mKilled = true;
  mShared->mDisturbed.emplace_back(mWorld.Now(), MonotonicTime::max());
}

void
SimulatedProcess::Freeze(Duration aDuration, bool aTimersFirst)
{
  mShared->mFrozen = true;
  mShared->mTimersFirst = aTimersFirst;
  mShared->mDisturbed.emplace_back(mWorld.Now(), mWorld.Now() + aDuration);
  mWorld.Post(aDuration, [this, aDuration] { Wake(aDuration); });
}

void
SimulatedProcess::Wake(Duration aFrozen)
{
  mShared->mFrozen = false;
  if (mClockStopsWhileFrozen) {
    mShared->mLost += aFrozen;
  }
  auto& first = mShared->mTimersFirst ? mShared->mTimers : mShared->mReplies;
  auto& second = mShared->mTimersFirst ? mShared->mReplies : mShared->mTimers;
  while (RunWaiting(first) || RunWaiting(second)) {
  }
}

bool
SimulatedProcess::DisturbedBetween(MonotonicTime aFrom, MonotonicTime aTo) const
{
  return std::any_of(mShared->mDisturbed.begin(),
                     mShared->mDisturbed.end(),
                     [aFrom, aTo](const auto& aInterval) {
                       return aInterval.first <= aTo &&
                              aInterval.second >= aFrom;
                     });
}

bool
SimulatedProcess::RunWaiting(std::deque<std::function<void()>>& aQueue)
{
  if (aQueue.empty() || mShared->mFrozen) {
    return false;
  }
  const auto task = std::move(aQueue.front());
  aQueue.pop_front();
  Step(task, &aQueue == &mShared->mTimers);
  return true;
}

ProcessKeyValueStore::ProcessKeyValueStore(
  SimulatedProcess& aProcess,
  std::shared_ptr<FakeKeyValueService> aService)
  : mProcess(aProcess)
  , mInner(std::make_unique<FakeKeyValueStore>(aProcess.World(),
                                               std::move(aService)))
{
  mInner->mFaultHook = [this](std::uint64_t) {
    return std::exchange(mNext, KeyCallFault::kNone);
  };
}

template<typename T, typename F>
void
ProcessKeyValueStore::Call(KeyValueCallback<T> aCallback, F aSend)
{
  if (mProcess.IsKilled()) {
    return;
  }
  const auto fault = mFaultHook ? mFaultHook() : ProcessCallFault::kNone;
  if (fault == ProcessCallFault::kDelayedLong) {
    mProcess.World().Post(mInner->mTimeout, [this, aCallback] {
      mProcess.Deliver([aCallback] {
        aCallback(Failure(KeyValueError{
          KeyValueError::Effect::kUnknown, "no reply in time", false }));
      });
    });
    mProcess.World().Post(kLongDelay,
                          [aSend] { aSend([](const KeyValueResult<T>&) {}); });
    return;
  }
  mNext = static_cast<KeyCallFault>(fault);
  aSend([this, aCallback](const KeyValueResult<T>& aReply) {
    mProcess.Deliver([aCallback, aReply] { aCallback(aReply); });
  });
}

void
ProcessKeyValueStore::Range(const std::string& aKey,
                            bool aPrefix,
                            KeyValueCallback<KeyRangeReply> aCallback)
{
  Call<KeyRangeReply>(std::move(aCallback), [this, aKey, aPrefix](auto aReply) {
    mInner->Range(aKey, aPrefix, aReply);
  });
}

void
ProcessKeyValueStore::Commit(const KeyTransaction& aTransaction,
                             KeyValueCallback<KeyTransactionReply> aCallback)
{
  Call<KeyTransactionReply>(std::move(aCallback),
                            [this, aTransaction](auto aReply) {
                              mInner->Commit(aTransaction, aReply);
                            });
}

void
ProcessKeyValueStore::GrantLease(std::chrono::seconds aTtl,
                                 KeyValueCallback<std::int64_t> aCallback)
{
  Call<std::int64_t>(std::move(aCallback), [this, aTtl](auto aReply) {
    mInner->GrantLease(aTtl, aReply);
  });
}

void
ProcessKeyValueStore::KeepAlive(
  std::int64_t aLease,
  KeyValueCallback<std::chrono::seconds> aCallback)
{
  Call<std::chrono::seconds>(std::move(aCallback), [this, aLease](auto aReply) {
    mInner->KeepAlive(aLease, aReply);
  });
}

void
ProcessKeyValueStore::RevokeLease(std::int64_t aLease,
                                  KeyValueCallback<bool> aCallback)
{
  Call<bool>(std::move(aCallback), [this, aLease](auto aReply) {
    mInner->RevokeLease(aLease, aReply);
  });
}

std::unique_ptr<KeyWatch>
ProcessKeyValueStore::Watch(const std::string& aPrefix,
                            std::int64_t aFromRevision,
                            std::function<void(const KeyEventBatch&)> aOnBatch,
                            std::function<void(const KeyValueError&)> aOnError)
{
  return mInner->Watch(
    aPrefix,
    aFromRevision,
    [this, aOnBatch](const KeyEventBatch& aBatch) {
      mProcess.Deliver([aOnBatch, aBatch] { aOnBatch(aBatch); });
    },
    [this, aOnError](const KeyValueError& aError) {
      mProcess.Deliver([aOnError, aError] { aOnError(aError); });
    });
}

} // namespace ragwortdeck
