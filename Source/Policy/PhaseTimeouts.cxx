#include "Policy/PhaseTimeouts.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr Duration kConnect{ std::chrono::seconds(1) };
/// First token: a base, and the time for each prompt token before it. The
/// rate is a tenth of a slow engine's, so that only a stuck engine exceeds it.
constexpr Duration kFirstTokenBase{ std::chrono::seconds(5) };
constexpr double kMicrosPerQueuedToken = 500.0;
constexpr Duration kFirstTokenMaximum{ std::chrono::seconds(60) };
/// Longer than a preemption under normal load, shorter than a caller's
/// patience.
constexpr Duration kBetweenTokens{ std::chrono::seconds(10) };

} // namespace

PhaseLimits
PhaseTimeouts::At(MonotonicTime aNow,
                  MonotonicTime aDeadline,
                  double aQueuedTokens)
{
  PhaseLimits limits;
  const auto left = std::max(aDeadline - aNow, Duration::zero());
  const Duration queue(
    static_cast<Duration::rep>(aQueuedTokens * kMicrosPerQueuedToken));
  limits.mConnect = std::min(kConnect, left);
  limits.mFirstToken =
    std::min({ kFirstTokenBase + queue, kFirstTokenMaximum, left });
  limits.mBetweenTokens = std::min(kBetweenTokens, left);
  limits.mTotal = left;
  return limits;
}

} // namespace ragwortdeck
