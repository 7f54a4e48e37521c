#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>

namespace ragwortdeck {

/// \brief Health and latency of targets, measured by the outcomes of this
/// host's own requests. There are no active health checks: they cost requests
/// and may be wrong.
///
/// Covers the case that some targets of a service fail or are slow while their
/// health checks succeed: a target is avoided for a pause after failures, with
/// exponential backoff, and preferred less while it answers slowly.
class TargetHealth
{
public:
  static constexpr Duration kInitialPause = std::chrono::milliseconds(700);
  static constexpr Duration kMaxPause = std::chrono::seconds(4);
  /// Consecutive failures after which a target is avoided.
  static constexpr int kFailuresToAvoid = 2;

  void Succeeded(const std::string& aTarget, Duration aDuration);
  void Failed(const std::string& aTarget, MonotonicTime aNow);
  /// The target could not be reached at all; it is avoided after one failure.
  void Unreachable(const std::string& aTarget, MonotonicTime aNow);
  bool IsAvoided(const std::string& aTarget, MonotonicTime aNow) const;
  /// Moving average of the response time; zero when nothing is known.
  Duration Latency(const std::string& aTarget) const;

private:
  struct State
  {
    int mFailures = 0;
    /// Length of the next pause.
    Duration mNextPause = kInitialPause;
    MonotonicTime mAvoidUntil;
    double mLatencyUs = 0;
  };
  void StartPause(State& aState, MonotonicTime aNow);

  std::map<std::string, State> mStates;
};

} // namespace ragwortdeck
