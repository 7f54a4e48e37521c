#include "Support/VirtualScheduler.h"

#include <algorithm>

namespace ragwortdeck {

TimerHandle
VirtualScheduler::After(Duration aDelay, std::function<void()> aTask)
{
  auto task = std::make_shared<std::function<void()>>(std::move(aTask));
  std::weak_ptr<std::function<void()>> weak = task;
  Post(aDelay, [weak] {
    if (auto task = weak.lock()) {
      (*task)();
    }
  });
  return TimerHandle(task);
}

void
VirtualScheduler::Post(Duration aDelay, std::function<void()> aTask)
{
  const auto due = mNow + std::max(aDelay, Duration::zero());
  mTasks.emplace(std::make_pair(due, mNextSequence++), std::move(aTask));
}

bool
VirtualScheduler::RunNextBefore(MonotonicTime aEnd)
{
  if (mTasks.empty() || mTasks.begin()->first.first > aEnd) {
    return false;
  }
  auto node = mTasks.extract(mTasks.begin());
  mNow = std::max(mNow, node.key().first);
  node.mapped()();
  return true;
}

void
VirtualScheduler::Advance(Duration aDuration)
{
  const auto end = mNow + aDuration;
  while (RunNextBefore(end)) {
  }
  mNow = std::max(mNow, end);
}

void
VirtualScheduler::RunUntilIdle(Duration aLimit)
{
  const auto end = mNow + aLimit;
  while (RunNextBefore(end)) {
  }
}

} // namespace ragwortdeck
