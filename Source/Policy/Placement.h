#pragma once

#include "Core/RandomSource.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortdeck {

/// \brief An engine that may serve a request, as known to the dispatcher.
struct PlacementCandidate
{
  std::uint32_t mTarget = 0;
  /// Fraction of the batch in use after placing the request there.
  double mBatchFraction = 0.0;
  /// This host's own streams there.
  std::uint32_t mOwnStreams = 0;
  bool mIsSameDomain = false;
  /// Fraction of the prompt that the prefix cache of the engine holds.
  double mCachedFraction = 0.0;

  bool operator==(const PlacementCandidate&) const = default;
};

/// \brief Chooses among engines with room: low load first, then a cached
/// prefix and the same failure domain. Among engines with nearly equal scores
/// it chooses those with the fewest own streams, and a random one of these, so
/// that hosts with the same view do not all choose the same engine.
class Placement
{
public:
  explicit Placement(std::uint64_t aSeed);

  std::optional<std::uint32_t> Choose(
    const std::vector<PlacementCandidate>& aCandidates);
  /// Lower is better.
  static double Score(const PlacementCandidate& aCandidate);

private:
  RandomSource mRandom;
};

} // namespace ragwortdeck
