#include "Core/BootClock.h"

#include <ctime>

namespace ragwortdeck {

MonotonicTime
BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime
BootClock::WallNow() const
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

} // namespace ragwortdeck
