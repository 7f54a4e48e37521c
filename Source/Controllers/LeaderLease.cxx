#include "Controllers/LeaderLease.h"

#include "Controllers/CircuitBreaker.h"
#include "Core/Log.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

const Log sLog("lease");

} // namespace

LeaderLease::LeaderLease(Scheduler& aScheduler,
                         KeyValueStore& aStore,
                         RandomSource aRandom,
                         HostId aHost,
                         LeaderLeaseSettings aSettings,
                         std::function<void()> aOnChange)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom)
  , mHost(std::move(aHost))
  , mSettings(std::move(aSettings))
  , mOnChange(std::move(aOnChange))
{
}

template<typename T, typename F>
KeyValueCallback<T>
LeaderLease::Reply(F aFunction)
{
  return mAlive.Wrap([this, term = mTerm, function = std::move(aFunction)](
                       const KeyValueResult<T>& aReply) {
    if (term == mTerm) {
      function(aReply);
    }
  });
}

void
LeaderLease::Start()
{
  ++mTerm;
  mRetryPause = mSettings.mMinRetry;
  Next(mSettings.mMinRetry, &LeaderLease::Look);
}

void
LeaderLease::Stop()
{
  ++mTerm;
  mTimer.Cancel();
  mIsWatching = false;
  mHolder = {};
  const auto lease = std::exchange(mLease, 0);
  const bool held = std::exchange(mFencing, 0) != 0;
  if (lease != 0) {
    // Best effort: without an answer the lease expires by itself.
    mStore.RevokeLease(lease, [](const KeyValueResult<bool>&) {});
  }
  if (held) {
    mOnChange();
  }
}

Duration
LeaderLease::Remaining() const
{
  if (mFencing == 0) {
    return Duration::zero();
  }
  const auto left = mDeadline - mSettings.mMargin - mScheduler.Now();
  return std::max(left, Duration::zero());
}

bool
LeaderLease::Lapsed() const
{
  return mScheduler.Now() >= mDeadline - mSettings.mMargin;
}

void
LeaderLease::Next(Duration aMeanPause, Step aStep)
{
  mIsWatching = false;
  mTimer = mScheduler.After(Jittered(aMeanPause, mRandom),
                            [this, aStep] { (this->*aStep)(); });
}

void
LeaderLease::Retry(Step aStep)
{
  Next(mRetryPause, aStep);
  mRetryPause = std::min(mRetryPause * 2, mSettings.mMaxRetry);
}

void
LeaderLease::Look()
{
  mStore.Range(
    mSettings.mKey,
    false,
    Reply<KeyRangeReply>([this](const KeyValueResult<KeyRangeReply>& aReply) {
      if (!aReply) {
        Retry(&LeaderLease::Look);
        return;
      }
      mRetryPause = mSettings.mMinRetry;
      const auto& keys = aReply.value().mKeys;
      if (keys.empty()) {
        mHolder = {};
        Acquire();
      } else {
        mHolder = HostId(keys.front().mValue);
        LookAfterPause();
      }
    }));
}

Duration
LeaderLease::LookPause() const
{
  const auto hosts = std::max(mLiveHosts, mSettings.mPollHosts);
  return mSettings.mPollEvery * std::int64_t(hosts) /
         std::int64_t(mSettings.mPollHosts);
}

void
LeaderLease::LookAfterPause()
{
  Next(LookPause(), &LeaderLease::Look);
  mIsWatching = true;
}

void
LeaderLease::OnLiveHosts(std::size_t aCount)
{
  const auto before = LookPause();
  mLiveHosts = aCount;
  // The looks of hosts that are gone must not be waited for.
  if (mIsWatching && LookPause() * 2 <= before) {
    LookAfterPause();
  }
}

void
LeaderLease::Acquire()
{
  mStore.GrantLease(
    mSettings.mTtl,
    Reply<std::int64_t>([this, sent = mScheduler.Now()](
                          const KeyValueResult<std::int64_t>& aReply) {
      if (!aReply) {
        // A lease that was granted all the same expires by itself.
        Retry(&LeaderLease::Look);
        return;
      }
      mLease = aReply.value();
      mDeadline = sent + mSettings.mTtl;
      CommitKey();
    }));
}

void
LeaderLease::CommitKey()
{
  if (Lapsed()) {
    mLease = 0;
    Retry(&LeaderLease::Look);
    return;
  }
  const KeyTransaction transaction{
    { { mSettings.mKey, KeyCompare::Field::kCreateRevision, 0 } },
    { KeyOperation::Put(mSettings.mKey, mHost.Value(), mLease) },
    { KeyOperation::Range(mSettings.mKey) }
  };
  mStore.Commit(transaction,
                Reply<KeyTransactionReply>(
                  [this](const KeyValueResult<KeyTransactionReply>& aReply) {
                    OnCommitted(aReply);
                  }));
}

void
LeaderLease::OnCommitted(const KeyValueResult<KeyTransactionReply>& aReply)
{
  if (!aReply) {
    // The repeat also reads back whether the first one was applied.
    Retry(&LeaderLease::CommitKey);
    return;
  }
  if (aReply.value().mSucceeded) {
    Gain(aReply.value().mRevision);
    return;
  }
  const auto& keys = aReply.value().mRanges.at(0);
  if (!keys.empty() && keys.front().mLease == mLease) {
    Gain(keys.front().mCreateRevision);
    return;
  }
  // Another host was first; the unused lease expires by itself.
  mLease = 0;
  LookAfterPause();
}

void
LeaderLease::Gain(std::int64_t aFencing)
{
  if (Lapsed()) {
    Lose();
    return;
  }
  mFencing = aFencing;
  mHolder = mHost;
  mRetryPause = mSettings.mMinRetry;
  sLog.Info("lease gained, fencing " + std::to_string(mFencing));
  Next(mSettings.mRenewEvery, &LeaderLease::Renew);
  mOnChange();
}

void
LeaderLease::Renew()
{
  if (Lapsed()) {
    Lose();
    return;
  }
  mStore.KeepAlive(mLease,
                   Reply<std::chrono::seconds>(
                     [this, sent = mScheduler.Now()](
                       const KeyValueResult<std::chrono::seconds>& aReply) {
                       OnRenewed(sent, aReply);
                     }));
}

void
LeaderLease::OnRenewed(MonotonicTime aSent,
                       const KeyValueResult<std::chrono::seconds>& aReply)
{
  if (aReply && aReply.value() == std::chrono::seconds::zero()) {
    Lose();
    return;
  }
  if (aReply) {
    // The service may grant less than was asked for.
    const auto granted = std::min(aReply.value(), mSettings.mTtl);
    mDeadline = std::max(mDeadline, aSent + granted);
  }
  if (Lapsed()) {
    Lose();
    return;
  }
  if (!aReply) {
    Next(mSettings.mMinRetry, &LeaderLease::Renew);
    return;
  }
  Verify();
}

void
LeaderLease::Verify()
{
  // Guards against a key that was deleted by hand or lost by a restore while
  // the lease itself lives on.
  mStore.Range(
    mSettings.mKey,
    false,
    Reply<KeyRangeReply>([this](const KeyValueResult<KeyRangeReply>& aReply) {
      if (aReply && !IsOwnKey(aReply.value())) {
        Lose();
        return;
      }
      Next(mSettings.mRenewEvery, &LeaderLease::Renew);
    }));
}

bool
LeaderLease::IsOwnKey(const KeyRangeReply& aReply) const
{
  return !aReply.mKeys.empty() &&
         aReply.mKeys.front().mCreateRevision == mFencing;
}

void
LeaderLease::Confirm(const std::function<void(bool)>& aCallback)
{
  mStore.Range(mSettings.mKey,
               false,
               mAlive.Wrap([this, term = mTerm, fencing = mFencing, aCallback](
                             const KeyValueResult<KeyRangeReply>& aReply) {
                 if (term != mTerm || fencing != mFencing || !MayAct()) {
                   aCallback(false);
                   return;
                 }
                 const bool own = aReply && IsOwnKey(aReply.value());
                 if (aReply && !own) {
                   Lose();
                 }
                 aCallback(own && MayAct());
               }));
}

void
LeaderLease::Lose()
{
  mLease = 0;
  mHolder = {};
  const bool held = std::exchange(mFencing, 0) != 0;
  mRetryPause = mSettings.mMinRetry;
  Retry(&LeaderLease::Look);
  if (held) {
    sLog.Warning("lease lost");
    mOnChange();
  }
}

} // namespace ragwortdeck
