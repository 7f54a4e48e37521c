#pragma once

#include "Core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief Estimates output lengths by an online survival curve per team and
/// kind.
///
/// Lengths fall into buckets of a quarter octave. Each bucket keeps how many
/// generations entered it and how many ended in it, both with exponential
/// decay. Generations that still run, or were cancelled, count as survivors of
/// the buckets they passed, so that short answers, which end first, do not
/// bias the curve. Curves with few observations are smoothed towards the curve
/// of the kind, and that towards a fixed prior.
class LengthEstimator
{
public:
  /// Index of a curve; valid for the lifetime of the estimator.
  using Curve = std::uint32_t;

  LengthEstimator();

  /// The curve of a team and kind, created on first use. Once kMaxCurves exist,
  /// returns the curve of the kind instead, or the prior for a new kind.
  Curve CurveOf(const TeamName& aTeam, const KindName& aKind);
  /// Records that a generation has grown from aBefore to aAfter tokens.
  void OnProgress(Curve aCurve, std::uint32_t aBefore, std::uint32_t aAfter);
  /// Records that a generation has completed at this length.
  void OnEnd(Curve aCurve, std::uint32_t aLength);
  /// Expected number of further tokens after aGenerated tokens, at most
  /// aMaximum - aGenerated.
  double Remaining(Curve aCurve,
                   std::uint32_t aGenerated,
                   std::uint32_t aMaximum);

  /// Bounds the memory: about 1 KB for each curve.
  static constexpr std::size_t kMaxCurves = 8'192;

private:
  static constexpr std::size_t kBuckets = 64;
  using Row = std::array<float, kBuckets>;

  struct CurveState
  {
    Curve mParent = 0;
    Row mEntered{};
    Row mEnded{};
    /// Expected remaining tokens at the lower edge of each bucket.
    Row mRemaining{};
    std::uint32_t mChanges = 0;
    bool mIsStale = true;
  };

  Curve KindCurve(const KindName& aKind);
  Curve AddCurve(Curve aParent);
  float Hazard(Curve aCurve, std::size_t aBucket) const;
  void Recompute(Curve aCurve);
  void CountChange(CurveState& aState);

  std::vector<CurveState> mCurves;
  std::unordered_map<KindName, Curve> mKinds;
  std::unordered_map<TeamName, std::unordered_map<KindName, Curve>> mTeams;
};

} // namespace ragwortdeck
