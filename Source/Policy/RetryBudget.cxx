#include "Policy/RetryBudget.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Retries earned by each request.
constexpr double kRetriesPerRequest = 0.2;
/// Retries earned per second regardless of the load, and the maximum that can
/// accumulate.
constexpr double kRetriesPerSecond = 1.0;
constexpr double kMaxRetries = 30.0;

} // namespace

RetryBudget::RetryBudget(const Clock& aClock)
  : mClock(aClock)
  , mRetries(kMaxRetries)
  , mLastRefill(aClock.Now())
{
}

void
RetryBudget::Refill()
{
  const auto now = mClock.Now();
  const auto seconds = std::chrono::duration<double>(now - mLastRefill).count();
  mLastRefill = now;
  mRetries = std::min(mRetries + seconds * kRetriesPerSecond, kMaxRetries);
}

void
RetryBudget::OnRequest()
{
  mRetries = std::min(mRetries + kRetriesPerRequest, kMaxRetries);
}

bool
RetryBudget::TrySpend()
{
  Refill();
  if (mRetries < 1.0) {
    return false;
  }
  mRetries -= 1.0;
  return true;
}

} // namespace ragwortdeck
