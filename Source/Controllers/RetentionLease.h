#pragma once

#include "Controllers/AliveToken.h"
#include "Controllers/CircuitBreaker.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <vector>

namespace ragwortdeck {

struct RetentionSettings
{
  /// Every record lives at least this long after its creation.
  std::chrono::seconds mRetention = std::chrono::hours(24 * 7);
  /// All records of this period share one lease. 6 h and 20 hosts make 580
  /// live leases and 80 grants a day.
  std::chrono::seconds mBucket = std::chrono::hours(6);
  /// Covers a put that reaches the service late.
  std::chrono::seconds mSlack = std::chrono::minutes(10);
};

/// \brief The key-value lease that all action records of one host and time
/// bucket share, so that retention costs no call per action.
class RetentionLease
{
public:
  /// A lease id, or 0 when the grant failed.
  using Callback = std::function<void(std::int64_t)>;

  RetentionLease(Scheduler& aScheduler,
                 KeyValueStore& aStore,
                 CircuitBreaker& aBreaker,
                 RetentionSettings aSettings);

  /// The lease of the current bucket; 0 when a grant is needed first. In the
  /// last quarter of a bucket it also fetches the next lease.
  std::int64_t Current();
  /// Grants a lease; concurrent requests share one grant. aCallback may run
  /// after any delay up to the store's timeout, never inside the call.
  void Ensure(Callback aCallback);
  /// Drops a lease that the service no longer knows.
  void Forget(std::int64_t aLease);

private:
  void Grant();
  void OnGranted(MonotonicTime aSent,
                 const KeyValueResult<std::int64_t>& aReply);

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  CircuitBreaker& mBreaker;
  RetentionSettings mSettings;
  std::int64_t mLease = 0;
  /// Counted from before the grant was sent.
  MonotonicTime mUsableUntil{};
  bool mGranting = false;
  std::vector<Callback> mWaiting;
  AliveToken mAlive;
};

} // namespace ragwortdeck
