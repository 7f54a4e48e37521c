#pragma once

#include "Core/RandomSource.h"
#include "Serving/FleetLoad.h"
#include "Serving/ServingTable.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief An engine that a generation could be sent to.
struct EngineCandidate
{
  std::string mTarget;
  EngineLoad mLoad;
  /// Added to its cost, as delay of the first token.
  double mDistanceMs = 0;
  /// Still slow after its start.
  bool mWarmingUp = false;
  bool operator==(const EngineCandidate&) const = default;
};

/// \brief What a generation needs of an engine.
struct GenerationNeed
{
  std::int64_t mPromptTokens = 0;
  /// Output that memory is reserved for.
  std::int64_t mOutputTokens = 0;
  bool operator==(const GenerationNeed&) const = default;
};

/// Output to reserve memory for: the caller's estimate with some room, never
/// above the stated bound.
std::int64_t
ReservedOutput(std::int64_t aEstimate, std::int64_t aBound);

/// Chooses the engine with the earliest first token among those with a free
/// slot and enough memory for the whole answer.
///
/// Answers two patterns. "Bursts of long prompts": prompts that an engine
/// still has to read delay the first token of the next one, and memory that
/// runs out preempts a running stream. "Many hosts decide at once": hosts learn
/// of each other's choices some milliseconds later, so each choice adds a
/// random part of kSpreadMs to each engine's cost.
std::optional<std::string>
ChooseEngine(const std::vector<EngineCandidate>& aCandidates,
             const EngineLimits& aLimits,
             const GenerationNeed& aNeed,
             RandomSource& aRandom);

/// When an engine that was sent a prompt counts as silent, so that a stream
/// that may go on elsewhere does. aExpected is the time to the first token that
/// its load allowed for.
///
/// Answers the pattern "prompts queue at their engines": a second send after
/// most of the aim is late in any case, and reads the prompt again for
/// nothing; an idle engine that says nothing is left early.
Milliseconds
FirstTokenTimeout(Milliseconds aExpected, Milliseconds aAim);

/// Time to the first token of aNeed at an engine with aLoad.
Milliseconds
ExpectedFirstToken(const EngineLoad& aLoad, const GenerationNeed& aNeed);

/// The longest wait for an engine before a request is refused: a part of the
/// aim that leaves time to read the prompt.
Milliseconds
LongestWait(Milliseconds aAim);

/// Seconds after which a refused caller should return: about the time in which
/// running answers free memory, spread so that callers do not return at once.
double
RetryAfterSeconds(Milliseconds aTimeLeft, RandomSource& aRandom);

} // namespace ragwortdeck
