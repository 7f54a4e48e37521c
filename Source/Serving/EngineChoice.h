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
  /// Delay of the first token that is added to its cost, for engines in another
  /// failure domain.
  double mExtraDelayMs = 0;
  /// The engine started recently and is still slow.
  bool mWarmingUp = false;
  bool operator==(const EngineCandidate&) const = default;
};

/// \brief KV cache that a generation needs on an engine, in tokens.
struct GenerationNeed
{
  std::int64_t mPromptTokens = 0;
  /// Output tokens that memory is reserved for.
  std::int64_t mOutputTokens = 0;
  bool operator==(const GenerationNeed&) const = default;
};

/// Returns the output tokens to reserve memory for: the caller's estimate plus
/// a margin, limited to aBound. Without an estimate it is aBound.
std::int64_t
ReservedOutput(std::int64_t aEstimate, std::int64_t aBound);

/// Chooses the engine with the earliest expected first token among those with a
/// free slot and enough memory for the whole response.
///
/// In bursts of long prompts, the prefill that is pending on an engine delays
/// the first token of the next prompt, and an engine that runs out of memory
/// preempts a running stream. Hosts learn of each other's choices some
/// milliseconds late, so a random share of kJitterMs is added to each engine's
/// cost to keep them from all choosing the same engine.
std::optional<std::string>
ChooseEngine(const std::vector<EngineCandidate>& aCandidates,
             const EngineLimits& aLimits,
             const GenerationNeed& aNeed,
             RandomSource& aRandom);

/// Returns how long to wait for the first token before the request is sent to
/// another engine, if it may be. aExpected is the time to first token predicted
/// from the engine's load, aGoal the goal for it.
///
/// When prompts queue at their engines, a retry after most of the goal has
/// passed is late anyway and repeats the prefill for nothing, so the timeout
/// grows with aExpected. An idle engine that sends nothing is given up early.
Milliseconds
FirstTokenTimeout(Milliseconds aExpected, Milliseconds aGoal);

/// Returns the expected time to first token of a generation on an engine with
/// aLoad.
Milliseconds
ExpectedFirstToken(const EngineLoad& aLoad, const GenerationNeed& aNeed);

/// Returns the longest time that a request waits for an engine before it is
/// rejected: a share of the time-to-first-token goal, so that time is left for
/// the prefill.
Milliseconds
LongestWait(Milliseconds aGoal);

/// Returns the seconds after which a rejected caller should retry: about the
/// time in which running generations free memory, randomized so that callers do
/// not all retry at once.
double
RetryAfterSeconds(Milliseconds aTimeLeft, RandomSource& aRandom);

} // namespace ragwortdeck
