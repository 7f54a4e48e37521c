#include "Events/HybridClock.h"

#include <algorithm>

namespace ragwortdeck {

HybridTime
HybridTime::FromWall(WallTime aTime)
{
  const auto micros =
    std::max<Duration::rep>(aTime.time_since_epoch().count(), 0);
  return { static_cast<std::uint64_t>(micros) << kCounterBits };
}

WallTime
HybridTime::Wall() const
{
  return WallTime(
    Duration(static_cast<Duration::rep>(mPacked >> kCounterBits)));
}

std::uint32_t
HybridTime::Counter() const
{
  return static_cast<std::uint32_t>(mPacked & ((1U << kCounterBits) - 1));
}

HybridClock::HybridClock(std::function<WallTime()> aNow)
  : mNow(std::move(aNow))
{
}

HybridTime
HybridClock::Tick()
{
  const auto now = HybridTime::FromWall(mNow()).mPacked;
  auto last = mLast.load(std::memory_order_relaxed);
  std::uint64_t next = 0;
  do {
    next = std::max(now, last + 1);
  } while (!mLast.compare_exchange_weak(last, next, std::memory_order_relaxed));
  return { next };
}

bool
HybridClock::Observe(HybridTime aRemote)
{
  if (aRemote.Wall() > mNow() + kMaxAhead) {
    return false;
  }
  auto last = mLast.load(std::memory_order_relaxed);
  while (last < aRemote.mPacked &&
         !mLast.compare_exchange_weak(
           last, aRemote.mPacked, std::memory_order_relaxed)) {
  }
  return true;
}

} // namespace ragwortdeck
