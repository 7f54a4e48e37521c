#include "Policy/OutlierEjector.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Failures in a row before ejection.
constexpr std::uint32_t kFailures = 2;
/// First ejection time; each further ejection doubles it up to the maximum.
constexpr Duration kFirst{ std::chrono::seconds(5) };
constexpr std::uint32_t kMaxDoublings = 6;
/// Added at random to each ejection, so that hosts do not return together.
constexpr double kJitter = 0.25;
/// Largest part of the live targets that may be ejected.
constexpr double kMaxPart = 0.34;
/// Slow start: weight at the return and time until full weight.
constexpr double kFirstWeight = 0.1;
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
OutlierEjector::MayEject() const
{
  const auto after = static_cast<double>(mReturns.size() + 1);
  return after <= kMaxPart * static_cast<double>(mLive);
}

void
OutlierEjector::OnSuccess(Index aTarget)
{
  auto& target = mTargets[aTarget];
  target.mFailures = 0;
  const bool isSteady =
    target.mHasReturned && mClock.Now() - target.mReturned > kSlowStart;
  target.mEjections = isSteady ? 0 : target.mEjections;
}

void
OutlierEjector::OnFailure(Index aTarget)
{
  auto& target = mTargets[aTarget];
  ++target.mFailures;
  if (target.mIsEjected || target.mFailures < kFailures || !MayEject()) {
    return;
  }
  const auto doublings = std::min(target.mEjections++, kMaxDoublings);
  const auto base = static_cast<double>((kFirst * (1U << doublings)).count());
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
  const auto part = static_cast<double>(since.count()) /
                    static_cast<double>(kSlowStart.count());
  return std::min(1.0, kFirstWeight + (1.0 - kFirstWeight) * part);
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
    // One more failure ejects again at once.
    target.mFailures = kFailures - 1;
    mReturns.erase(mReturns.begin());
  }
}

} // namespace ragwortdeck
