#pragma once

#include "Core/Scheduler.h"

#include <QObject>

namespace ragwortdeck {

/// \brief Scheduler on the Qt event loop of the thread that created it.
class QtScheduler : public Scheduler
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  TimerHandle After(Duration aDelay, std::function<void()> aTask) override;
  void Post(Duration aDelay, std::function<void()> aTask) override;

private:
  QObject mContext;
};

} // namespace ragwortdeck
