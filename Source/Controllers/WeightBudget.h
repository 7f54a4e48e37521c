#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace ragwortdeck {

/// \brief Bytes that the fleet may load from the weight store in any window.
///
/// Spent by the lease holder alone. A new holder starts with an empty budget
/// for one window, so that what it spends and what the previous holder spent
/// stay within the bound together.
class WeightBudget
{
public:
  /// aWindow must include the time an order may take to begin.
  WeightBudget(std::uint64_t aBytes, Duration aWindow, MonotonicTime aTermStart)
    : mBytes(aBytes)
    , mWindow(aWindow)
    , mOpenFrom(aTermStart + aWindow)
  {
  }

  /// Counts the bytes against the window, or returns false and counts nothing.
  bool Spend(std::uint64_t aBytes, MonotonicTime aNow);
  /// False when no empty window could hold that many bytes.
  bool CanEverSpend(std::uint64_t aBytes) const { return aBytes <= mBytes; }

private:
  std::uint64_t mBytes;
  Duration mWindow;
  MonotonicTime mOpenFrom;
  std::uint64_t mSpent = 0;
  std::deque<std::pair<MonotonicTime, std::uint64_t>> mSpends;
};

} // namespace ragwortdeck
