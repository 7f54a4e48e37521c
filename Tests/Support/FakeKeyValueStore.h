#pragma once

#include "Core/Scheduler.h"
#include "StandIns/KeyValueState.h"

#include <list>
#include <memory>

namespace ragwortdeck {

/// \brief The shared service behind any number of FakeKeyValueStore clients.
struct FakeKeyValueService
{
  KeyValueState mState;
  /// Counts of calls since the start, as the real service bills them.
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
  /// While true, no call of any client reaches the service.
  bool mDown = false;
};

/// What happens to one call of a client.
enum class KeyCallFault
{
  kNone,
  /// The request never arrives; the client sees a certain failure.
  kRefused,
  /// The request never arrives; the client only sees a timeout.
  kRequestLost,
  /// The request takes effect, its reply is lost.
  kReplyLost,
  /// The request takes effect only after the client has timed out.
  kDelayedPastTimeout,
};

/// \brief In-process client of a fake key-value service in virtual time, with
/// faults per call. One per host under test.
class FakeKeyValueStore : public KeyValueStore
{
public:
  FakeKeyValueStore(Scheduler& aScheduler,
                    std::shared_ptr<FakeKeyValueService> aService);
  ~FakeKeyValueStore() override;

  /// One way from this client to the service.
  Duration mLatency{ std::chrono::milliseconds(1) };
  Duration mTimeout{ std::chrono::seconds(1) };
  /// Asked for each call, with its index counted from 0; empty means kNone.
  std::function<KeyCallFault(std::uint64_t aCallIndex)> mFaultHook;
  /// While true, this client is cut off from the service.
  bool mCutOff = false;

  void Range(const std::string& aKey,
             bool aPrefix,
             KeyValueCallback<KeyRangeReply> aCallback) override;
  void Commit(const KeyTransaction& aTransaction,
              KeyValueCallback<KeyTransactionReply> aCallback) override;
  void GrantLease(std::chrono::seconds aTtl,
                  KeyValueCallback<std::int64_t> aCallback) override;
  void KeepAlive(std::int64_t aLease,
                 KeyValueCallback<std::chrono::seconds> aCallback) override;
  void RevokeLease(std::int64_t aLease,
                   KeyValueCallback<bool> aCallback) override;
  std::unique_ptr<KeyWatch> Watch(
    const std::string& aPrefix,
    std::int64_t aFromRevision,
    std::function<void(const KeyEventBatch&)> aOnBatch,
    std::function<void(const KeyValueError&)> aOnError) override;

private:
  class Subscription;
  struct Shared;

  template<typename T>
  void Call(std::function<KeyValueResult<T>()> aApply,
            KeyValueCallback<T> aCallback);
  void PollWatch(const std::weak_ptr<Subscription>& aWatch);

  Scheduler& mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::shared_ptr<Shared> mShared;
  std::uint64_t mCalls = 0;
};

} // namespace ragwortdeck
