#include "Controllers/CircuitBreaker.h"

#include "Core/Log.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

const Log sLog("keyvalue");

} // namespace

Duration
Jittered(Duration aMean, RandomSource& aRandom)
{
  const auto factor = 0.5 + aRandom.Unit();
  return Duration(static_cast<Duration::rep>(double(aMean.count()) * factor));
}

CircuitBreaker::CircuitBreaker(Scheduler& aScheduler,
                               KeyValueStore& aStore,
                               RandomSource aRandom,
                               CircuitBreakerSettings aSettings,
                               std::function<void()> aOnClosed)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom)
  , mSettings(std::move(aSettings))
  , mOnClosed(std::move(aOnClosed))
{
}

void
CircuitBreaker::OnAnswer()
{
  mFailures = 0;
}

void
CircuitBreaker::OnFailure()
{
  ++mFailures;
  if (mOpen || mFailures < mSettings.mFailures) {
    return;
  }
  sLog.Warning("key-value service does not answer; calls stop");
  mOpen = true;
  mPause = mSettings.mMinPause;
  ScheduleProbe();
}

void
CircuitBreaker::ScheduleProbe()
{
  mTimer = mScheduler.After(Jittered(mPause, mRandom), [this] { Probe(); });
  mPause = std::min(mPause * 2, mSettings.mMaxPause);
}

void
CircuitBreaker::Probe()
{
  mStore.Range(mSettings.mProbeKey,
               false,
               mAlive.Wrap([this](const KeyValueResult<KeyRangeReply>& aReply) {
                 if (!aReply) {
                   ScheduleProbe();
                   return;
                 }
                 sLog.Info("key-value service answers again");
                 mOpen = false;
                 mFailures = 0;
                 mOnClosed();
               }));
}

} // namespace ragwortdeck
