#pragma once

#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

namespace ragwortdeck {

struct KeyPrefixWatcherSettings
{
  std::string mPrefix;
  /// Read from time to time, to notice a watch that stalls without an error.
  std::string mCheckKey;
  bool mCheckIsPrefix = false;
  Duration mCheckInterval{ std::chrono::seconds(5) };
  Duration mRetryMin{ std::chrono::milliseconds(200) };
  Duration mRetryMax{ std::chrono::seconds(5) };
};

/// \brief Follows a prefix of the key-value service: one read, then a watch
/// from the next revision, and both again after any failure, after growing,
/// jittered pauses.
///
/// At most one read or watch start is under way at a time.
class KeyPrefixWatcher
{
public:
  struct Hooks
  {
    /// Takes all keys of one revision. False: unusable, read again later.
    std::function<bool(const KeyRangeReply&)> mOnKeys;
    /// Takes one watched revision. False: does not connect, read again.
    std::function<bool(const KeyEventBatch&)> mOnBatch;
    /// True when the reply to a check shows a change that the watch should
    /// have delivered before.
    std::function<bool(const KeyRangeReply&)> mIsAhead;
  };

  KeyPrefixWatcher(Scheduler& aScheduler,
                   RandomSource aRandom,
                   KeyValueStore& aStore,
                   KeyPrefixWatcherSettings aSettings,
                   Hooks aHooks);

  void Start();
  void Stop();
  bool IsRunning() const { return mRunning; }
  /// True while a watch is open.
  bool IsWatching() const { return mWatch != nullptr; }

private:
  void Read();
  void OpenWatch(std::int64_t aFromRevision);
  void Check();
  void Retry(const std::string& aReason);

  Scheduler& mScheduler;
  RandomSource mRandom;
  KeyValueStore& mStore;
  KeyPrefixWatcherSettings mSettings;
  Hooks mHooks;
  bool mRunning = false;
  Duration mPause;
  std::unique_ptr<KeyWatch> mWatch;
  /// Replaced on each restart; replies to earlier calls find it gone.
  std::shared_ptr<int> mAttempt;
  TimerHandle mRetryTimer;
  TimerHandle mCheckTimer;
};

} // namespace ragwortdeck
