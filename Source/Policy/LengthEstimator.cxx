#include "Policy/LengthEstimator.h"

#include <algorithm>
#include <cmath>

namespace ragwortdeck {

namespace {

constexpr double kBucketsPerOctave = 4.0;
/// Index of the prior, the ancestor of all curves.
constexpr LengthEstimator::Curve kPrior = 0;
/// Log-normal prior with a mean near 750 tokens and a heavy tail.
constexpr double kPriorMu = 5.5;
constexpr double kPriorSigma = 1.5;
/// Weight of the parent's hazard, in observations.
constexpr float kParentWeight = 8.0F;
/// Number of observations in which the weight of old data decays to 1/e.
constexpr float kDecayObservations = 400.0F;
/// Completed generations of a curve before its means are recomputed.
constexpr std::uint32_t kRecomputeAfter = 16;

double
LowerEdge(std::size_t aBucket)
{
  return std::exp2(static_cast<double>(aBucket) / kBucketsPerOctave);
}

std::size_t
BucketOf(std::uint32_t aTokens, std::size_t aBuckets)
{
  const auto tokens = std::max<std::uint32_t>(aTokens, 1);
  const auto bucket = std::floor(std::log2(tokens) * kBucketsPerOctave);
  return std::min(static_cast<std::size_t>(bucket), aBuckets - 1);
}

double
PriorSurvival(double aLength)
{
  const auto z = (std::log(aLength) - kPriorMu) / kPriorSigma;
  return 0.5 * std::erfc(z / std::sqrt(2.0));
}

} // namespace

LengthEstimator::LengthEstimator()
{
  mCurves.emplace_back();
}

LengthEstimator::Curve
LengthEstimator::AddCurve(Curve aParent)
{
  mCurves.emplace_back();
  mCurves.back().mParent = aParent;
  return static_cast<Curve>(mCurves.size() - 1);
}

LengthEstimator::Curve
LengthEstimator::KindCurve(const KindName& aKind)
{
  const auto it = mKinds.find(aKind);
  if (it != mKinds.end()) {
    return it->second;
  }
  if (mCurves.size() >= kMaxCurves) {
    return kPrior;
  }
  const auto curve = AddCurve(kPrior);
  mKinds.emplace(aKind, curve);
  return curve;
}

LengthEstimator::Curve
LengthEstimator::CurveOf(const TeamName& aTeam, const KindName& aKind)
{
  auto& kinds = mTeams[aTeam];
  const auto it = kinds.find(aKind);
  if (it != kinds.end()) {
    return it->second;
  }
  const auto parent = KindCurve(aKind);
  if (mCurves.size() >= kMaxCurves) {
    return parent;
  }
  const auto curve = AddCurve(parent);
  kinds.emplace(aKind, curve);
  return curve;
}

void
LengthEstimator::CountChange(CurveState& aState)
{
  if (++aState.mChanges >= kRecomputeAfter) {
    aState.mChanges = 0;
    aState.mIsStale = true;
  }
}

void
LengthEstimator::OnProgress(Curve aCurve,
                            std::uint32_t aBefore,
                            std::uint32_t aAfter)
{
  const auto first = aBefore == 0 ? 0 : BucketOf(aBefore, kBuckets);
  const auto last = BucketOf(aAfter, kBuckets);
  for (auto curve = aCurve; curve != kPrior; curve = mCurves[curve].mParent) {
    auto& state = mCurves[curve];
    for (auto i = first; i < last; ++i) {
      state.mEntered[i] =
        state.mEntered[i] * (1.0F - 1.0F / kDecayObservations) + 1.0F;
      state.mEnded[i] *= 1.0F - 1.0F / kDecayObservations;
    }
  }
}

void
LengthEstimator::OnEnd(Curve aCurve, std::uint32_t aLength)
{
  const auto bucket = BucketOf(aLength, kBuckets);
  for (auto curve = aCurve; curve != kPrior; curve = mCurves[curve].mParent) {
    auto& state = mCurves[curve];
    const auto keep = 1.0F - 1.0F / kDecayObservations;
    state.mEntered[bucket] = state.mEntered[bucket] * keep + 1.0F;
    state.mEnded[bucket] = state.mEnded[bucket] * keep + 1.0F;
    CountChange(state);
  }
}

float
LengthEstimator::Hazard(Curve aCurve, std::size_t aBucket) const
{
  if (aCurve == kPrior) {
    const auto here = PriorSurvival(LowerEdge(aBucket));
    const auto next = PriorSurvival(LowerEdge(aBucket + 1));
    return static_cast<float>(1.0 - next / here);
  }
  const auto& state = mCurves[aCurve];
  const auto parent = Hazard(state.mParent, aBucket);
  return (state.mEnded[aBucket] + kParentWeight * parent) /
         (state.mEntered[aBucket] + kParentWeight);
}

void
LengthEstimator::Recompute(Curve aCurve)
{
  auto& state = mCurves[aCurve];
  auto after = static_cast<float>(LowerEdge(kBuckets));
  for (auto i = kBuckets; i-- > 0;) {
    const auto width = static_cast<float>(LowerEdge(i + 1) - LowerEdge(i));
    const auto hazard = Hazard(aCurve, i);
    after = width * (1.0F - hazard / 2.0F) + (1.0F - hazard) * after;
    state.mRemaining[i] = after;
  }
  state.mIsStale = false;
}

double
LengthEstimator::Remaining(Curve aCurve,
                           std::uint32_t aGenerated,
                           std::uint32_t aMaximum)
{
  if (aGenerated >= aMaximum) {
    return 0.0;
  }
  if (mCurves[aCurve].mIsStale) {
    Recompute(aCurve);
  }
  const auto bucket = BucketOf(aGenerated, kBuckets);
  const double expected = mCurves[aCurve].mRemaining[bucket];
  return std::min(expected, static_cast<double>(aMaximum - aGenerated));
}

} // namespace ragwortdeck
