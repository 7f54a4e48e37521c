#pragma once

#include "Support/FakeKeyValueStore.h"
#include "Support/VirtualScheduler.h"

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace ragwortdeck {

/// What happens to a process just before one of its callbacks runs.
struct ProcessFault
{
  enum class Type
  {
    kNone,
    kKill,
    /// All callbacks wait; after the wake, due timers run before replies.
    kFreezeTimersFirst,
    /// As above, with replies before timers.
    kFreezeRepliesFirst,
  };
  Type mType = Type::kNone;
  Duration mFreeze{};
};

/// \brief Scheduler of one process that can be killed and frozen while the
/// rest of the virtual world goes on.
///
/// Each callback that the process runs is a step. Use Deliver for everything
/// that reaches the process from outside.
class SimulatedProcess : public Scheduler
{
public:
  explicit SimulatedProcess(VirtualScheduler& aWorld);

  MonotonicTime Now() const override { return mWorld.Now() - mShared->mLost; }
  WallTime WallNow() const override { return mWorld.WallNow(); }
  TimerHandle After(Duration aDelay, std::function<void()> aTask) override;
  void Post(Duration aDelay, std::function<void()> aTask) override;

  /// Runs a reply as a step of this process.
  void Deliver(std::function<void()> aReply);
  void Kill();
  void Freeze(Duration aDuration, bool aTimersFirst);
  bool IsKilled() const { return mShared->mKilled; }
  /// True when the process was frozen or dead at any time in the interval.
  bool DisturbedBetween(MonotonicTime aFrom, MonotonicTime aTo) const;
  VirtualScheduler& World() { return mWorld; }

  /// Asked before each step.
  std::function<ProcessFault()> mStepHook;
  /// A deliberate fault for tests of tests: the clock of the process stands
  /// still while it is frozen, so that its own time checks see no pause.
  bool mClockStopsWhileFrozen = false;

private:
  struct Shared
  {
    bool mKilled = false;
    bool mFrozen = false;
    bool mTimersFirst = true;
    Duration mLost{};
    /// Begin and end of each freeze; a death has no end.
    std::vector<std::pair<MonotonicTime, MonotonicTime>> mDisturbed;
    std::deque<std::function<void()>> mTimers;
    std::deque<std::function<void()>> mReplies;
  };

  void Step(std::function<void()> aTask, bool aTimer);
  void Wake(Duration aFrozen);
  bool RunWaiting(std::deque<std::function<void()>>& aQueue);

  VirtualScheduler& mWorld;
  std::shared_ptr<Shared> mShared;
};

/// What happens to one key-value call of a process, beyond KeyCallFault.
enum class ProcessCallFault
{
  kNone,
  kRefused,
  kRequestLost,
  kReplyLost,
  kDelayedPastTimeout,
  /// Takes effect several seconds after the client has timed out.
  kDelayedLong,
};

/// \brief Key-value client of a simulated process: requests travel whatever
/// becomes of the process, replies are steps of it.
class ProcessKeyValueStore : public KeyValueStore
{
public:
  ProcessKeyValueStore(SimulatedProcess& aProcess,
                       std::shared_ptr<FakeKeyValueService> aService);

  /// Asked for each call; empty means kNone.
  std::function<ProcessCallFault()> mFaultHook;
  FakeKeyValueStore& Inner() { return *mInner; }

  void Range(const std::string& aKey,
             bool aPrefix,
             KeyValueCallback<KeyRangeReply> aCallback) override;
  void Commit(const KeyTransaction& aTransaction,
              KeyValueCallback<KeyTransactionReply> aCallback) override;
  void GrantLease(std::chrono::seconds aTtl,
                  KeyValueCallback<std::int64_t> aCallback) override;
  void KeepAlive(std::int64_t aLease,
                 KeyValueCallback<std::chrono::seconds> aCallback) override;
  void RevokeLease(std::int64_t aLease,
                   KeyValueCallback<bool> aCallback) override;
  std::unique_ptr<KeyWatch> Watch(
    const std::string& aPrefix,
    std::int64_t aFromRevision,
    std::function<void(const KeyEventBatch&)> aOnBatch,
    std::function<void(const KeyValueError&)> aOnError) override;

private:
  template<typename T, typename F>
  void Call(KeyValueCallback<T> aCallback, F aSend);

  SimulatedProcess& mProcess;
  std::unique_ptr<FakeKeyValueStore> mInner;
  KeyCallFault mNext = KeyCallFault::kNone;
};

} // namespace ragwortdeck
