#include "Controllers/RetentionLease.h"

#include <utility>

namespace ragwortdeck {

RetentionLease::RetentionLease(Scheduler& aScheduler,
                               KeyValueStore& aStore,
                               CircuitBreaker& aBreaker,
                               RetentionSettings aSettings)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mBreaker(aBreaker)
  , mSettings(aSettings)
{
}

std::int64_t
RetentionLease::Current()
{
  const auto left = mUsableUntil - mScheduler.Now();
  if (mLease == 0 || left <= Duration::zero()) {
    return 0;
  }
  if (left < Duration(mSettings.mBucket) / 4 && !mBreaker.IsOpen()) {
    Grant();
  }
  return mLease;
}

void
RetentionLease::Ensure(Callback aCallback)
{
  mWaiting.push_back(std::move(aCallback));
  Grant();
}

void
RetentionLease::Forget(std::int64_t aLease)
{
  if (mLease == aLease) {
    mLease = 0;
  }
}

void
RetentionLease::Grant()
{
  if (mGranting) {
    return;
  }
  mGranting = true;
  const auto ttl = mSettings.mRetention + mSettings.mBucket + mSettings.mSlack;
  mStore.GrantLease(ttl,
                    mAlive.Wrap([this, sent = mScheduler.Now()](
                                  const KeyValueResult<std::int64_t>& aReply) {
                      OnGranted(sent, aReply);
                    }));
}

void
RetentionLease::OnGranted(MonotonicTime aSent,
                          const KeyValueResult<std::int64_t>& aReply)
{
  mGranting = false;
  if (aReply) {
    mBreaker.OnAnswer();
    mLease = aReply.value();
    mUsableUntil = aSent + mSettings.mBucket;
  } else {
    mBreaker.OnFailure();
  }
  const auto waiting = std::exchange(mWaiting, {});
  for (const auto& callback : waiting) {
    callback(aReply ? mLease : 0);
  }
}

} // namespace ragwortdeck
