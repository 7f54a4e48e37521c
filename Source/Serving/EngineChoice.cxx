#include "Serving/EngineChoice.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Prefill rate of an engine that also generates tokens for other requests; the
/// platform's data sheet states 14 for prefill alone.
constexpr double kPrefillTokensPerMs = 7.5;
constexpr double kWarmUpPenaltyMs = 300;
/// Upper bound of the random cost. Hosts choose the same engine at the same
/// moment: with 135 hosts, 159 of 1,646 prompts reached an engine within 30 ms
/// of a prompt from another host, and a prefill takes 300 to 400 ms.
constexpr double kJitterMs = 120;
/// Share of an engine's memory that may be reserved. The rest absorbs responses
/// that are longer than estimated.
constexpr double kMaxMemoryShare = 0.94;
/// Cost of each run on an engine. A run lengthens every step of the engine, so
/// load is also balanced while no prefill is pending.
constexpr double kCostPerRunMs = 6;

double
FirstTokenMs(const EngineLoad& aLoad, const GenerationNeed& aNeed)
{
  return static_cast<double>(aLoad.mPendingPrefillTokens +
                             aNeed.mPromptTokens) /
         kPrefillTokensPerMs;
}

} // namespace

std::int64_t
ReservedOutput(std::int64_t aEstimate, std::int64_t aBound)
{
  constexpr double kEstimateMargin = 1.15;
  if (aEstimate <= 0) {
    return aBound;
  }
  return std::min<std::int64_t>(
    aBound, static_cast<std::int64_t>(aEstimate * kEstimateMargin) + 1);
}

std::optional<std::string>
ChooseEngine(const std::vector<EngineCandidate>& aCandidates,
             const EngineLimits& aLimits,
             const GenerationNeed& aNeed,
             RandomSource& aRandom)
{
  const auto maxReserved =
    static_cast<std::int64_t>(kMaxMemoryShare * aLimits.mMemoryTokens);
  const auto need = aNeed.mPromptTokens + aNeed.mOutputTokens;
  std::optional<std::string> best;
  double bestCost = 0;
  for (const auto& it : aCandidates) {
    const auto& load = it.mLoad;
    // An idle engine accepts any request that fits in its whole memory.
    const bool fits = load.mRuns == 0
                        ? need <= aLimits.mMemoryTokens
                        : load.mReservedTokens + need <= maxReserved;
    if (!fits || load.mRuns >= aLimits.mSlots) {
      continue;
    }
    const double cost = FirstTokenMs(load, aNeed) +
                        (it.mWarmingUp ? kWarmUpPenaltyMs : 0) +
                        kCostPerRunMs * load.mRuns + it.mExtraDelayMs +
                        kJitterMs * aRandom.Unit();
    if (!best || cost < bestCost) {
      best = it.mTarget;
      bestCost = cost;
    }
  }
  return best;
}

Milliseconds
ExpectedFirstToken(const EngineLoad& aLoad, const GenerationNeed& aNeed)
{
  return Milliseconds(static_cast<std::int64_t>(FirstTokenMs(aLoad, aNeed)));
}

Milliseconds
FirstTokenTimeout(Milliseconds aExpected, Milliseconds aGoal)
{
  // Most prefills complete within twice the expected time; the margin covers
  // hosts that chose the same engine at the same moment.
  constexpr int kExpectedFactor = 2;
  constexpr Milliseconds kCollisionMargin{ 400 };
  return std::min(
    aGoal * 5 / 4,
    std::max(aGoal / 2, aExpected * kExpectedFactor + kCollisionMargin));
}

Milliseconds
LongestWait(Milliseconds aGoal)
{
  constexpr int kGoalDivisor = 2;
  return aGoal / kGoalDivisor;
}

double
RetryAfterSeconds(Milliseconds aTimeLeft, RandomSource& aRandom)
{
  // A long response holds its memory for some seconds and the fleet frees
  // memory several times a second, so retries are spread over one to three
  // seconds.
  constexpr double kMinSeconds = 0.8;
  constexpr double kSpreadSeconds = 2.0;
  // Callers wait at most about a third of the time they have left.
  constexpr double kMaxShareOfTimeLeft = 0.3;
  constexpr double kMillisecondsPerSecond = 1000;
  const double maxSeconds =
    kMaxShareOfTimeLeft * aTimeLeft.count() / kMillisecondsPerSecond;
  return std::min(maxSeconds, kMinSeconds + kSpreadSeconds * aRandom.Unit());
}

} // namespace ragwortdeck
