#include "Serving/EngineChoice.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Prompt tokens an engine reads in a millisecond between the tokens of other
/// requests; the platform's sheet says 14 when it does nothing else.
constexpr double kReadTokensPerMs = 7.5;
constexpr double kWarmingUpMs = 300;
/// Spread of choices: on a calm day with 135 hosts, 159 of 1,646 prompts came
/// to an engine within 30 ms of another host's; a prompt takes 300 to 400 ms.
constexpr double kJitterMs = 120;
/// Share of an engine's memory that is filled on purpose. The rest absorbs
/// answers longer than their estimate.
constexpr double kMemoryFill = 0.94;
/// Each run lengthens every step of the engine, so load spreads also while no
/// prompt waits.
constexpr double kRunMs = 6;

double
FirstTokenMs(const EngineLoad& aLoad, const GenerationNeed& aNeed)
{
  return static_cast<double>(aLoad.mPendingPrefillTokens +
                             aNeed.mPromptTokens) /
         kReadTokensPerMs;
}

} // namespace

std::int64_t
ReservedOutput(std::int64_t aEstimate, std::int64_t aBound)
{
  constexpr double kEstimateRoom = 1.15;
  if (aEstimate <= 0) {
    return aBound;
  }
  return std::min<std::int64_t>(
    aBound, static_cast<std::int64_t>(aEstimate * kEstimateRoom) + 1);
}

std::optional<std::string>
ChooseEngine(const std::vector<EngineCandidate>& aCandidates,
             const EngineLimits& aLimits,
             const GenerationNeed& aNeed,
             RandomSource& aRandom)
{
  const auto room =
    static_cast<std::int64_t>(kMemoryFill * aLimits.mMemoryTokens);
  const auto need = aNeed.mPromptTokens + aNeed.mOutputTokens;
  std::optional<std::string> best;
  double bestCost = 0;
  for (const auto& it : aCandidates) {
    const auto& load = it.mLoad;
    // An idle engine takes whatever it can hold at all.
    const bool fits = load.mRuns == 0 ? need <= aLimits.mMemoryTokens
                                      : load.mReservedTokens + need <= room;
    if (!fits || load.mRuns >= aLimits.mSlots) {
      continue;
    }
    const double cost =
      FirstTokenMs(load, aNeed) + (it.mWarmingUp ? kWarmingUpMs : 0) +
      kRunMs * load.mRuns + it.mExtraDelayMs + kJitterMs * aRandom.Unit();
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
  // Most prompts are read in twice the expected time; the rest is for hosts
  // that chose the same engine at the same moment.
  constexpr int kExpectedTimes = 2;
  constexpr Milliseconds kCollisions{ 400 };
  return std::min(
    aGoal * 5 / 4,
    std::max(aGoal / 2, aExpected * kExpectedTimes + kCollisions));
}

Milliseconds
LongestWait(Milliseconds aGoal)
{
  constexpr int kAimParts = 2;
  return aGoal / kAimParts;
}

double
RetryAfterSeconds(Milliseconds aTimeLeft, RandomSource& aRandom)
{
  // A long answer holds its memory for some seconds, and a fleet frees room
  // several times a second, so returns are spread over one to three seconds.
  constexpr double kEarliest = 0.8;
  constexpr double kSpread = 2.0;
  // Callers wait at most a third of the time they have left.
  constexpr double kShareOfTimeLeft = 0.3;
  constexpr double kMillisecondsPerSecond = 1000;
  const double most =
    kShareOfTimeLeft * aTimeLeft.count() / kMillisecondsPerSecond;
  return std::min(most, kEarliest + kSpread * aRandom.Unit());
}

} // namespace ragwortdeck
