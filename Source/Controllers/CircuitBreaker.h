#pragma once

#include "Controllers/AliveToken.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <string>

namespace ragwortdeck {

struct CircuitBreakerSettings
{
  /// Consecutive failures after which the circuit opens.
  int mFailures = 2;
  /// Mean pause before the first probe; doubles up to the maximum. Each pause
  /// is drawn from 0.5 to 1.5 times its mean.
  Duration mMinPause = std::chrono::milliseconds(500);
  Duration mMaxPause = std::chrono::seconds(10);
  /// A key to read as the probe; it need not exist.
  std::string mProbeKey = "/ragwort/probe";
};

/// A pause between 0.5 and 1.5 times aMean.
Duration
Jittered(Duration aMean, RandomSource& aRandom);

/// \brief Stops calls to a key-value service that fails repeatedly, and probes
/// it with one read per jittered, growing pause until it answers.
class CircuitBreaker
{
public:
  CircuitBreaker(Scheduler& aScheduler,
                 KeyValueStore& aStore,
                 RandomSource aRandom,
                 CircuitBreakerSettings aSettings,
                 std::function<void()> aOnClosed);

  /// While open, callers make no calls of their own.
  bool IsOpen() const { return mOpen; }
  /// Each caller reports each of its calls.
  void OnAnswer();
  void OnFailure();

private:
  void ScheduleProbe();
  void Probe();

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  CircuitBreakerSettings mSettings;
  std::function<void()> mOnClosed;
  bool mOpen = false;
  int mFailures = 0;
  Duration mPause{};
  TimerHandle mTimer;
  AliveToken mAlive;
};

} // namespace ragwortdeck
