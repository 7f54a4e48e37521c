#include "Policy/PhaseTimeouts.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr Duration kConnect{ std::chrono::seconds(1) };
/// Time to the first token: a base plus a time per prompt token. It assumes a
/// tenth of the speed of a slow engine, so that only a stuck engine exceeds it.
constexpr Duration kFirstTokenBase{ std::chrono::seconds(5) };
constexpr double kMicrosPerQueuedToken = 500.0;
constexpr Duration kMaxFirstToken{ std::chrono::seconds(60) };
/// Longer than a preemption under normal load, shorter than the time that a
/// caller would wait.
constexpr Duration kBetweenTokens{ std::chrono::seconds(10) };

} // namespace

PhaseLimits
PhaseTimeouts::At(MonotonicTime aNow,
                  MonotonicTime aDeadline,
                  double aQueuedTokens)
{
  PhaseLimits limits;
  const auto remaining = std::max(aDeadline - aNow, Duration::zero());
  const Duration prefillTime(
    static_cast<Duration::rep>(aQueuedTokens * kMicrosPerQueuedToken));
  limits.mConnect = std::min(kConnect, remaining);
  limits.mFirstToken =
    std::min({ kFirstTokenBase + prefillTime, kMaxFirstToken, remaining });
  limits.mBetweenTokens = std::min(kBetweenTokens, remaining);
  limits.mTotal = remaining;
  return limits;
}

} // namespace ragwortdeck
