#pragma once

#include "Core/Clock.h"

namespace ragwortdeck {

/// \brief Allows retries up to a fraction of recent requests, so that retries
/// cannot multiply the load of an outage.
class RetryBudget
{
public:
  explicit RetryBudget(const Clock& aClock);

  void OnRequest();
  /// Spends one retry and returns true, or returns false when none is left.
  bool TrySpend();

private:
  void Refill();

  const Clock& mClock;
  double mRetries;
  MonotonicTime mLastRefill;
};

} // namespace ragwortdeck
