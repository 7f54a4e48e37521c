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
  /// True when a retry is allowed; it is then spent.
  bool TrySpend();

private:
  void Refill();

  const Clock& mClock;
  double mTokens;
  MonotonicTime mRefilled;
};

} // namespace ragwortdeck
