#include "Policy/RetryBudget.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Retries earned by each request.
constexpr double kPerRequest = 0.2;
/// Retries that a quiet host earns per second, and the most it can save up.
constexpr double kPerSecond = 1.0;
constexpr double kMaximum = 30.0;

} // namespace

RetryBudget::RetryBudget(const Clock& aClock)
  : mClock(aClock)
  , mTokens(kMaximum)
  , mRefilled(aClock.Now())
{
}

void
RetryBudget::Refill()
{
  const auto now = mClock.Now();
  const auto seconds = std::chrono::duration<double>(now - mRefilled).count();
  mRefilled = now;
  mTokens = std::min(mTokens + seconds * kPerSecond, kMaximum);
}

void
RetryBudget::OnRequest()
{
  mTokens = std::min(mTokens + kPerRequest, kMaximum);
}

bool
RetryBudget::TrySpend()
{
  Refill();
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

} // namespace ragwortdeck
