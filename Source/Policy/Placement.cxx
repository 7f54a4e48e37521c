#include "Policy/Placement.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// The batch sets the time between tokens, memory the risk of preemption.
constexpr double kMemoryWeight = 0.5;
/// Beyond this part of the memory, growth may end in preemption.
constexpr double kMemoryKnee = 0.8;
constexpr double kBeyondKneeWeight = 4.0;
/// A fully cached prompt is worth this much load; another domain costs this
/// much.
constexpr double kCacheBonus = 0.10;
constexpr double kDomainPenalty = 0.002;
/// Scores within this distance of the best count as equal: about half a
/// stream in a batch of 96.
constexpr double kNearEqual = 0.006;

} // namespace

Placement::Placement(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

double
Placement::Score(const PlacementCandidate& aCandidate)
{
  const auto beyond = std::max(aCandidate.mMemoryPart - kMemoryKnee, 0.0);
  return aCandidate.mBatchPart + kMemoryWeight * aCandidate.mMemoryPart +
         kBeyondKneeWeight * beyond - kCacheBonus * aCandidate.mCachedPart +
         (aCandidate.mIsSameDomain ? 0.0 : kDomainPenalty);
}

std::optional<std::uint32_t>
Placement::Choose(const std::vector<PlacementCandidate>& aCandidates)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  double best = Score(aCandidates.front());
  for (const auto& candidate : aCandidates) {
    best = std::min(best, Score(candidate));
  }
  // Reservoir choice: each near-equal engine is equally likely.
  std::uint32_t chosen = 0;
  std::uint64_t n = 0;
  for (const auto& candidate : aCandidates) {
    if (Score(candidate) <= best + kNearEqual && mRandom.Below(++n) == 0) {
      chosen = candidate.mTarget;
    }
  }
  return chosen;
}

} // namespace ragwortdeck
