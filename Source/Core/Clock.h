#pragma once

#include <chrono>

namespace ragwortdeck {

using Duration = std::chrono::microseconds;

/// \brief Tag of the monotonic time line of one process.
struct MonotonicTimeline
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
};

/// A point on the monotonic time line. Never compare it across processes.
using MonotonicTime = std::chrono::time_point<MonotonicTimeline, Duration>;
/// Wall-clock time since the Unix epoch. It may jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// \brief Source of time for policy and controllers.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

} // namespace ragwortdeck
