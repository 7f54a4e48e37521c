#include "Support/FakeKeyValueStore.h"

namespace ragwortdeck {

namespace {

// How often a fake watch looks for new events.
constexpr Duration kWatchPeriod = std::chrono::milliseconds(5);

KeyValueError
Refused()
{
  return { KeyValueError::Effect::kNotApplied, "connection refused", false };
}

KeyValueError
TimedOut()
{
  return { KeyValueError::Effect::kUnknown, "no reply in time", false };
}

} // namespace

/// \brief Lets callbacks notice that their client is gone.
struct FakeKeyValueStore::Shared
{};

/// \brief One open watch of a client.
class FakeKeyValueStore::Subscription
{
public:
  std::string mPrefix;
  std::int64_t mNextRevision = 0;
  std::function<void(const KeyEventBatch&)> mOnBatch;
  std::function<void(const KeyValueError&)> mOnError;
};

FakeKeyValueStore::FakeKeyValueStore(
  Scheduler& aScheduler,
  std::shared_ptr<FakeKeyValueService> aService)
  : mScheduler(aScheduler)
  , mService(std::move(aService))
  , mShared(std::make_shared<Shared>())
{
}

FakeKeyValueStore::~FakeKeyValueStore() = default;

template<typename T>
void
FakeKeyValueStore::Call(std::function<KeyValueResult<T>()> aApply,
                        KeyValueCallback<T> aCallback)
{
  const auto index = mCalls++;
  auto fault = mFaultHook ? mFaultHook(index) : KeyCallFault::kNone;
  if (mCutOff || mService->mDown) {
    fault = KeyCallFault::kRequestLost;
  }
  std::weak_ptr<Shared> alive = mShared;
  const auto reply = [alive, aCallback](KeyValueResult<T> aResult) {
    if (alive.lock()) {
      aCallback(std::move(aResult));
    }
  };
  const auto apply = [service = mService, aApply, &scheduler = mScheduler] {
    service->mState.ExpireLeases(scheduler.Now());
    return aApply();
  };
  const auto timeOut = [reply] { reply(Failure(TimedOut())); };
  switch (fault) {
    case KeyCallFault::kRefused:
      mScheduler.Post(mLatency, [reply] { reply(Failure(Refused())); });
      return;
    case KeyCallFault::kRequestLost:
      mScheduler.Post(mTimeout, timeOut);
      return;
    case KeyCallFault::kReplyLost:
      mScheduler.Post(mLatency, [apply] { static_cast<void>(apply()); });
      mScheduler.Post(mTimeout, timeOut);
      return;
    case KeyCallFault::kDelayedPastTimeout:
      mScheduler.Post(mTimeout, timeOut);
      mScheduler.Post(mTimeout + mLatency,
                      [apply] { static_cast<void>(apply()); });
      return;
    case KeyCallFault::kNone:
      break;
  }
  mScheduler.Post(mLatency,
                  [apply, reply, &scheduler = mScheduler, latency = mLatency] {
                    auto result = apply();
                    scheduler.Post(latency, [reply, result] { reply(result); });
                  });
}

void
FakeKeyValueStore::Range(const std::string& aKey,
                         bool aPrefix,
                         KeyValueCallback<KeyRangeReply> aCallback)
{
  ++mService->mReads;
  Call<KeyRangeReply>(
    [service = mService, aKey, aPrefix]() -> KeyValueResult<KeyRangeReply> {
      return service->mState.Range(aKey, aPrefix);
    },
    std::move(aCallback));
}

void
FakeKeyValueStore::Commit(const KeyTransaction& aTransaction,
                          KeyValueCallback<KeyTransactionReply> aCallback)
{
  ++mService->mWrites;
  Call<KeyTransactionReply>(
    [service = mService,
     aTransaction]() -> KeyValueResult<KeyTransactionReply> {
      auto reply = service->mState.Commit(aTransaction);
      if (!reply) {
        return Failure(KeyValueError{
          KeyValueError::Effect::kNotApplied, reply.error().mMessage, false });
      }
      return reply.value();
    },
    std::move(aCallback));
}

void
FakeKeyValueStore::GrantLease(std::chrono::seconds aTtl,
                              KeyValueCallback<std::int64_t> aCallback)
{
  ++mService->mWrites;
  Call<std::int64_t>(
    [service = mService,
     aTtl,
     &scheduler = mScheduler]() -> KeyValueResult<std::int64_t> {
      return service->mState.GrantLease(aTtl, scheduler.Now());
    },
    std::move(aCallback));
}

void
FakeKeyValueStore::KeepAlive(std::int64_t aLease,
                             KeyValueCallback<std::chrono::seconds> aCallback)
{
  ++mService->mWrites;
  Call<std::chrono::seconds>(
    [service = mService,
     aLease,
     &scheduler = mScheduler]() -> KeyValueResult<std::chrono::seconds> {
      const auto left = service->mState.KeepAlive(aLease, scheduler.Now());
      return std::chrono::floor<std::chrono::seconds>(
        left.value_or(Duration::zero()));
    },
    std::move(aCallback));
}

void
FakeKeyValueStore::RevokeLease(std::int64_t aLease,
                               KeyValueCallback<bool> aCallback)
{
  ++mService->mWrites;
  Call<bool>(
    [service = mService, aLease]() -> KeyValueResult<bool> {
      return service->mState.RevokeLease(aLease);
    },
    std::move(aCallback));
}

std::unique_ptr<KeyWatch>
FakeKeyValueStore::Watch(const std::string& aPrefix,
                         std::int64_t aFromRevision,
                         std::function<void(const KeyEventBatch&)> aOnBatch,
                         std::function<void(const KeyValueError&)> aOnError)
{
  /// \brief Keeps the subscription alive for the holder of the watch.
  class Handle : public KeyWatch
  {
  public:
    explicit Handle(std::shared_ptr<Subscription> aWatch)
      : mWatch(std::move(aWatch))
    {
    }

  private:
    std::shared_ptr<Subscription> mWatch;
  };

  ++mService->mWatches;
  auto watch = std::make_shared<Subscription>();
  watch->mPrefix = aPrefix;
  watch->mNextRevision = aFromRevision;
  watch->mOnBatch = std::move(aOnBatch);
  watch->mOnError = std::move(aOnError);
  std::weak_ptr<Subscription> weak = watch;
  std::weak_ptr<Shared> alive = mShared;
  mScheduler.Post(kWatchPeriod, [this, alive, weak] {
    if (alive.lock()) {
      PollWatch(weak);
    }
  });
  return std::make_unique<Handle>(std::move(watch));
}

void
FakeKeyValueStore::PollWatch(const std::weak_ptr<Subscription>& aWatch)
{
  const auto watch = aWatch.lock();
  if (!watch) {
    return;
  }
  if (mCutOff || mService->mDown) {
    watch->mOnError(TimedOut());
    return;
  }
  mService->mState.ExpireLeases(mScheduler.Now());
  const auto batches =
    mService->mState.EventsSince(watch->mPrefix, watch->mNextRevision);
  if (!batches) {
    watch->mOnError(
      { KeyValueError::Effect::kNotApplied, "revision is compacted", true });
    return;
  }
  for (const auto& batch : *batches) {
    watch->mNextRevision = batch.mRevision + 1;
    watch->mOnBatch(batch);
  }
  std::weak_ptr<Shared> alive = mShared;
  mScheduler.Post(kWatchPeriod, [this, alive, aWatch] {
    if (alive.lock()) {
      PollWatch(aWatch);
    }
  });
}

} // namespace ragwortdeck
