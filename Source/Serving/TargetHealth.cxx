#include "Serving/TargetHealth.h"

#include <algorithm>

namespace ragwortdeck {

void
TargetHealth::Succeeded(const std::string& aTarget, Duration aDuration)
{
  // Weight of the newest response in the moving average, which thus covers
  // about five responses.
  constexpr double kNewestWeight = 0.2;
  auto& state = mStates[aTarget];
  state.mFailures = 0;
  state.mNextPause = kInitialPause;
  state.mAvoidUntil = {};
  const auto durationUs = static_cast<double>(aDuration.count());
  state.mLatencyUs =
    state.mLatencyUs == 0
      ? durationUs
      : (1 - kNewestWeight) * state.mLatencyUs + kNewestWeight * durationUs;
}

void
TargetHealth::StartPause(State& aState, MonotonicTime aNow)
{
  aState.mAvoidUntil = aNow + aState.mNextPause;
  aState.mNextPause = std::min(kMaxPause, aState.mNextPause * 2);
  aState.mFailures = 0;
}

void
TargetHealth::Failed(const std::string& aTarget, MonotonicTime aNow)
{
  auto& state = mStates[aTarget];
  if (++state.mFailures >= kFailuresToAvoid) {
    StartPause(state, aNow);
  }
}

void
TargetHealth::Unreachable(const std::string& aTarget, MonotonicTime aNow)
{
  StartPause(mStates[aTarget], aNow);
}

bool
TargetHealth::IsAvoided(const std::string& aTarget, MonotonicTime aNow) const
{
  const auto it = mStates.find(aTarget);
  return it != mStates.end() && aNow < it->second.mAvoidUntil;
}

Duration
TargetHealth::Latency(const std::string& aTarget) const
{
  const auto it = mStates.find(aTarget);
  return it == mStates.end()
           ? Duration(0)
           : Duration(static_cast<Duration::rep>(it->second.mLatencyUs));
}

} // namespace ragwortdeck
