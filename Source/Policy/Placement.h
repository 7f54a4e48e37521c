#pragma once

#include "Core/RandomSource.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ragwortdeck {

/// \brief An engine that may take a request, as the dispatcher sees it.
struct PlacementCandidate
{
  std::uint32_t mTarget = 0;
  /// Part of the batch in use after placing the request there.
  double mBatchPart = 0.0;
  /// This host's own streams there.
  std::uint32_t mOwnStreams = 0;
  bool mIsSameDomain = false;
  /// Part of the prompt that the engine's prefix cache holds.
  double mCachedPart = 0.0;

  bool operator==(const PlacementCandidate&) const = default;
};

/// \brief Chooses among engines with room: low load first, then a cached
/// prefix and the same failure domain. Among near-equal engines it takes the
/// one with the fewest own streams, and a random one of these, so that hosts
/// with the same view do not all take the same engine.
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
