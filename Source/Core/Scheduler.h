#pragma once

#include "Core/Clock.h"

#include <functional>
#include <memory>

namespace ragwortdeck {

/// \brief Owns a scheduled task; destroying the handle cancels the task.
class TimerHandle
{
public:
  TimerHandle() = default;
  explicit TimerHandle(std::shared_ptr<void> aTask)
    : mTask(std::move(aTask))
  {
  }
  void Cancel() { mTask.reset(); }
  /// True while the handle owns a task, even one that has already run.
  bool IsSet() const { return mTask != nullptr; }

private:
  std::shared_ptr<void> mTask;
};

/// \brief A clock that also runs tasks later, on the thread that owns it.
class Scheduler : public Clock
{
public:
  /// Runs aTask once after aDelay unless the handle is destroyed first.
  [[nodiscard]] virtual TimerHandle After(Duration aDelay,
                                          std::function<void()> aTask) = 0;
  /// Runs aTask once after aDelay; it cannot be cancelled.
  virtual void Post(Duration aDelay, std::function<void()> aTask) = 0;
};

} // namespace ragwortdeck
