#pragma once

#include "Core/Clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>

namespace ragwortdeck {

/// \brief Hybrid logical time: wall-clock microseconds in the upper 52 bits and
/// a counter in the lower 12. If one event can have caused another, its time is
/// smaller, also across hosts.
struct HybridTime
{
  static constexpr int kCounterBits = 12;

  std::uint64_t mPacked = 0;

  static HybridTime FromWall(WallTime aTime);
  /// The wall-clock part.
  WallTime Wall() const;
  std::uint32_t Counter() const;

  bool operator==(const HybridTime&) const = default;
  bool operator<(HybridTime aOther) const { return mPacked < aOther.mPacked; }
  bool operator>(HybridTime aOther) const { return aOther < *this; }
  MSGPACK_DEFINE_MAP(mPacked)
};

/// \brief Hybrid logical clock of one process. Thread-safe and lock-free.
///
/// Source: Kulkarni and others, "Logical Physical Clocks", 2014. The counter
/// carries into the wall-clock part when it overflows, which keeps times
/// increasing.
class HybridClock
{
public:
  /// A remote time further ahead than this is not adopted: one host with a
  /// wrong clock must not move all others.
  static constexpr Duration kMaxAhead = std::chrono::seconds(60);

  /// aNow returns the wall-clock time; it may jump.
  explicit HybridClock(std::function<WallTime()> aNow);

  /// A time greater than all that this clock returned or adopted before.
  HybridTime Tick();
  /// Adopts the time of a received message, so that later ticks are greater.
  /// False when it is too far ahead.
  bool Observe(HybridTime aRemote);

private:
  std::function<WallTime()> mNow;
  std::atomic<std::uint64_t> mLast{ 0 };
};

} // namespace ragwortdeck
