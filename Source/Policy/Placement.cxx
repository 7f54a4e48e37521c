#include "Policy/Placement.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Score bonus of a fully cached prompt and penalty of another failure domain,
/// as a fraction of the batch.
constexpr double kCacheBonus = 0.10;
constexpr double kDomainPenalty = 0.002;
/// Scores within this distance of the best count as equal: about five
/// streams in a batch of 96, as many as start unseen between two grants. A
/// narrower band sends all hosts to the same engine, a wider one unbalances the
/// load.
constexpr double kScoreTolerance = 0.05;

} // namespace

Placement::Placement(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

double
Placement::Score(const PlacementCandidate& aCandidate)
{
  // Memory is not scored, since the dispatcher checks it before. Weights of
  // 0.05 and more for memory fill the batch of engines that hold many short
  // streams, which worsens the tail of the time between tokens.
  return aCandidate.mBatchFraction - kCacheBonus * aCandidate.mCachedFraction +
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
    if (Score(candidate) > best + kScoreTolerance ||
        candidate.mOwnStreams > fewest) {
      continue;
    }
    // Reservoir sampling: each of the equal engines is equally likely.
    n = candidate.mOwnStreams < fewest ? 1 : n + 1;
    fewest = candidate.mOwnStreams;
    if (mRandom.Below(n) == 0) {
      chosen = candidate.mTarget;
    }
  }
  return chosen;
}

} // namespace ragwortdeck
