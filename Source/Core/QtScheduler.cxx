#include "Core/QtScheduler.h"

#include <QTimer>
#include <ctime>

namespace ragwortdeck {

namespace {

std::chrono::milliseconds
RoundUp(Duration aDelay)
{
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::max(aDelay, Duration::zero()));
}

} // namespace

MonotonicTime
QtScheduler::Now() const
{
  // CLOCK_MONOTONIC stands still while the machine is suspended; a holder
  // would then trust a lease or a credit that has lapsed for everyone else.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime
QtScheduler::WallNow() const
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

TimerHandle
QtScheduler::After(Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  std::weak_ptr<std::function<void()>> weak = task;
  QTimer::singleShot(RoundUp(aDelay), &mContext, [weak] {
    if (auto task = weak.lock()) {
      (*task)();
    }
  });
  return TimerHandle(task);
}

void
QtScheduler::Post(Duration aDelay, std::function<void()> aTask)
{
  QTimer::singleShot(RoundUp(aDelay), &mContext, std::move(aTask));
}

} // namespace ragwortdeck
