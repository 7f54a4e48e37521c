#pragma once

#include "Core/Scheduler.h"

#include <cstdint>
#include <map>
#include <utility>

namespace ragwortdeck {

/// \brief Scheduler whose time moves only when a test says so. Tasks of the
/// same moment run in the order in which they were scheduled.
class VirtualScheduler : public Scheduler
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override
  {
    return WallTime(mNow.time_since_epoch() + mWallOffset);
  }
  TimerHandle After(Duration aDelay, std::function<void()> aTask) override;
  void Post(Duration aDelay, std::function<void()> aTask) override;

  /// Runs all tasks that fall due within aDuration, then stands there.
  void Advance(Duration aDuration);
  /// Runs tasks until none is left or aLimit has passed.
  void RunUntilIdle(Duration aLimit);
  /// Moves the time without running tasks, as a paused process sees it.
  void Skip(Duration aDuration) { mNow += aDuration; }
  /// Makes the wall clock jump against the monotonic clock.
  void JumpWallClock(Duration aOffset) { mWallOffset += aOffset; }

private:
  bool RunNextBefore(MonotonicTime aEnd);

  MonotonicTime mNow{ Duration(1'000'000) };
  Duration mWallOffset{ std::chrono::hours(24 * 365 * 56) };
  std::uint64_t mNextSequence = 0;
  std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>>
    mTasks;
};

} // namespace ragwortdeck
