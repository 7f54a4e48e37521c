#include "Policy/Placement.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// A fully cached prompt is worth this much load; another domain costs this
/// much.
constexpr double kCacheBonus = 0.10;
constexpr double kDomainPenalty = 0.002;
/// Scores within this distance of the best count as equal: about five
/// streams in a batch of 96, which is what the view misses between grants.
/// Narrower bands send all hosts to the same engine, wider ones lose balance.
constexpr double kNearEqual = 0.05;

} // namespace

Placement::Placement(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

double
Placement::Score(const PlacementCandidate& aCandidate)
{
  // Memory is guarded by the check for room. Weights of 0.05 and more of it
  // measured worse tails between tokens than none: they fill the batch of
  // engines that hold many short streams.
  return aCandidate.mBatchPart - kCacheBonus * aCandidate.mCachedPart +
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
  std::uint32_t fewest = ~0U;
  std::uint32_t chosen = 0;
  std::uint64_t n = 0;
  for (const auto& candidate : aCandidates) {
    if (Score(candidate) > best + kNearEqual ||
        candidate.mOwnStreams > fewest) {
      continue;
    }
    // Reservoir choice: each of the equal engines is equally likely.
    n = candidate.mOwnStreams < fewest ? 1 : n + 1;
    fewest = candidate.mOwnStreams;
    if (mRandom.Below(n) == 0) {
      chosen = candidate.mTarget;
    }
  }
  return chosen;
}

} // namespace ragwortdeck
