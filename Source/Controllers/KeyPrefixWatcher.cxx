#include "Controllers/KeyPrefixWatcher.h"

#include "Core/Log.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

const Log sLog("watcher");

} // namespace

KeyPrefixWatcher::KeyPrefixWatcher(Scheduler& aScheduler,
                                   RandomSource aRandom,
                                   KeyValueStore& aStore,
                                   KeyPrefixWatcherSettings aSettings,
                                   Hooks aHooks)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mStore(aStore)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mPause(mSettings.mRetryMin)
{
}

void
KeyPrefixWatcher::Start()
{
  if (!mRunning) {
    mRunning = true;
    mPause = mSettings.mRetryMin;
    Read();
  }
}

void
KeyPrefixWatcher::Stop()
{
  mRunning = false;
  mAttempt.reset();
  mWatch.reset();
  mRetryTimer.Cancel();
  mCheckTimer.Cancel();
}

void
KeyPrefixWatcher::Read()
{
  mAttempt = std::make_shared<int>(0);
  std::weak_ptr<int> alive = mAttempt;
  mStore.Range(mSettings.mPrefix,
               true,
               [this, alive](const KeyValueResult<KeyRangeReply>& aReply) {
                 if (alive.expired()) {
                   return;
                 }
                 if (!aReply) {
                   Retry(aReply.error().mMessage);
                   return;
                 }
                 if (!mHooks.mOnKeys(aReply.value())) {
                   Retry("the keys are not usable");
                   return;
                 }
                 OpenWatch(aReply.value().mRevision + 1);
               });
}

void
KeyPrefixWatcher::OpenWatch(std::int64_t aFromRevision)
{
  std::weak_ptr<int> alive = mAttempt;
  mWatch = mStore.Watch(
    mSettings.mPrefix,
    aFromRevision,
    [this, alive](const KeyEventBatch& aBatch) {
      if (alive.expired()) {
        return;
      }
      if (!mHooks.mOnBatch(aBatch)) {
        Retry("a change does not connect");
        return;
      }
      mPause = mSettings.mRetryMin;
    },
    [this, alive](const KeyValueError& aError) {
      if (!alive.expired()) {
        Retry(aError.mMessage);
      }
    });
  mCheckTimer = mScheduler.After(mSettings.mCheckInterval, [this] { Check(); });
}

void
KeyPrefixWatcher::Check()
{
  std::weak_ptr<int> alive = mAttempt;
  mStore.Range(mSettings.mCheckKey,
               mSettings.mCheckIsPrefix,
               [this, alive](const KeyValueResult<KeyRangeReply>& aReply) {
                 if (alive.expired()) {
                   return;
                 }
                 if (aReply && mHooks.mIsAhead(aReply.value())) {
                   Retry("the watch is behind");
                   return;
                 }
                 if (aReply) {
                   mPause = mSettings.mRetryMin;
                 }
                 // A failed check alone does not end a watch that may work.
                 mCheckTimer = mScheduler.After(mSettings.mCheckInterval,
                                                [this] { Check(); });
               });
}

void
KeyPrefixWatcher::Retry(const std::string& aReason)
{
  // Called from hooks of the watch, which must not be destroyed under them.
  mScheduler.Post(Duration::zero(),
                  [watch = std::shared_ptr<KeyWatch>(std::move(mWatch))] {});
  mAttempt.reset();
  mCheckTimer.Cancel();
  const auto half = std::uint64_t(mPause.count() / 2);
  const Duration pause(std::int64_t(half + mRandom.Below(half + 1)));
  sLog.Warning("following " + mSettings.mPrefix + " failed: " + aReason +
               "; next attempt in " + std::to_string(pause.count() / 1000) +
               " ms");
  mPause = std::min(2 * mPause, mSettings.mRetryMax);
  mRetryTimer = mScheduler.After(pause, [this] { Read(); });
}

} // namespace ragwortdeck
