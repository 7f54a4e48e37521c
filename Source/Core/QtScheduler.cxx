#include "Core/QtScheduler.h"

#include "Core/BootClock.h"
#include "Core/ErrorGuard.h"

#include <QTimer>

namespace ragwortdeck {

namespace {

const Log kLog("timer");

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
  return BootClock().Now();
}

WallTime
QtScheduler::WallNow() const
{
  return BootClock().WallNow();
}

TimerHandle
QtScheduler::After(Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  std::weak_ptr<std::function<void()>> weak = task;
  QTimer::singleShot(RoundUp(aDelay), &mContext, [weak] {
    if (auto task = weak.lock()) {
      RunGuarded(kLog, "a timer", *task);
    }
  });
  return TimerHandle(task);
}

void
QtScheduler::Post(Duration aDelay, std::function<void()> aTask)
{
  QTimer::singleShot(RoundUp(aDelay), &mContext, [task = std::move(aTask)] {
    RunGuarded(kLog, "a timer", task);
  });
}

} // namespace ragwortdeck
