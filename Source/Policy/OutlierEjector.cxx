#include "Policy/OutlierEjector.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Consecutive failures before ejection.
constexpr std::uint32_t kConsecutiveFailures = 2;
/// First ejection time; each further ejection doubles it up to the maximum.
constexpr Duration kFirstEjection{ std::chrono::seconds(5) };
constexpr std::uint32_t kMaxDoublings = 6;
/// Maximum random extension of an ejection, as a fraction of its time, so that
/// hosts do not reuse a target all at once.
constexpr double kJitter = 0.25;
/// Maximum fraction of the live targets that may be ejected.
constexpr double kMaxEjectedFraction = 0.34;
/// Slow start: initial weight after the return and time until full weight.
constexpr double kInitialWeight = 0.1;
constexpr Duration kSlowStart{ std::chrono::seconds(20) };

} // namespace

OutlierEjector::OutlierEjector(const Clock& aClock, std::uint64_t aSeed)
  : mClock(aClock)
  , mRandom(aSeed)
{
}

OutlierEjector::Index
OutlierEjector::Add()
{
  mTargets.emplace_back();
  return static_cast<Index>(mTargets.size() - 1);
}

bool
OutlierEjector::CanEject() const
{
  const auto after = static_cast<double>(mReturns.size() + 1);
  return after <= kMaxEjectedFraction * static_cast<double>(mLive);
}

void
OutlierEjector::OnSuccess(Index aTarget)
{
  auto& target = mTargets[aTarget];
  target.mFailures = 0;
  const bool isRecovered =
    target.mHasReturned && mClock.Now() - target.mReturned > kSlowStart;
  target.mEjections = isRecovered ? 0 : target.mEjections;
}

void
OutlierEjector::OnFailure(Index aTarget)
{
  auto& target = mTargets[aTarget];
  ++target.mFailures;
  if (target.mIsEjected || target.mFailures < kConsecutiveFailures ||
      !CanEject()) {
    return;
  }
  const auto doublings = std::min(target.mEjections++, kMaxDoublings);
  const auto base =
    static_cast<double>((kFirstEjection * (1U << doublings)).count());
  const auto time = base * (1.0 + kJitter * mRandom.Unit());
  target.mIsEjected = true;
  mReturns.emplace(mClock.Now() + Duration(static_cast<Duration::rep>(time)),
                   aTarget);
}

double
OutlierEjector::Weight(Index aTarget) const
{
  const auto& target = mTargets[aTarget];
  if (!target.mHasReturned) {
    return 1.0;
  }
  const auto since = mClock.Now() - target.mReturned;
  const auto fraction = static_cast<double>(since.count()) /
                        static_cast<double>(kSlowStart.count());
  return std::min(1.0, kInitialWeight + (1.0 - kInitialWeight) * fraction);
}

void
OutlierEjector::Tick()
{
  const auto now = mClock.Now();
  while (!mReturns.empty() && mReturns.begin()->first <= now) {
    auto& target = mTargets[mReturns.begin()->second];
    target.mIsEjected = false;
    target.mHasReturned = true;
    target.mReturned = now;
    // The next failure ejects the target again.
    target.mFailures = kConsecutiveFailures - 1;
    mReturns.erase(mReturns.begin());
  }
}

} // namespace ragwortdeck
