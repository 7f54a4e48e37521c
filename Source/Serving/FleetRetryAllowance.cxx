#include "Serving/FleetRetryAllowance.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Fraction of the configured bounds that is used. The rest covers requests of
/// hosts that stopped within the window, and requests that were counted twice.
constexpr double kSafetyFactor = 0.6;

void
DropBefore(std::deque<MonotonicTime>& aTimes, MonotonicTime aLimit)
{
  while (!aTimes.empty() && aTimes.front() < aLimit) {
    aTimes.pop_front();
  }
}

} // namespace

void
FleetRetryAllowance::Expire(MonotonicTime aNow)
{
  DropBefore(mRequests, aNow - mBounds.mWindow);
  DropBefore(mSecondSends, aNow - mBounds.mWindow);
}

void
FleetRetryAllowance::OnRequest(MonotonicTime aNow)
{
  Expire(aNow);
  mRequests.push_back(aNow);
}

bool
FleetRetryAllowance::TrySpend(MonotonicTime aNow, std::size_t aHosts)
{
  Expire(aNow);
  const double allowed =
    kSafetyFactor * (mBounds.mRatio * static_cast<double>(mRequests.size()) +
                     mBounds.mFixedAllowance /
                       static_cast<double>(std::max<std::size_t>(1, aHosts)));
  if (static_cast<double>(mSecondSends.size()) + 1 > allowed) {
    return false;
  }
  mSecondSends.push_back(aNow);
  return true;
}

} // namespace ragwortdeck
