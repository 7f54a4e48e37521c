#pragma once

#include "Controllers/AliveToken.h"
#include "Core/Ids.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <string>

namespace ragwortdeck {

struct LeaderLeaseSettings
{
  std::string mKey = "/ragwort/leases/orders";
  std::chrono::seconds mTtl{ 15 };
  /// Three renewals fit into the time to live.
  Duration mRenewEvery = std::chrono::seconds(5);
  /// Mean pause between looks at the lease of another host, on a site of at
  /// most mPollHosts live hosts: together they make 1.3 reads/s. On a larger
  /// one the pause grows with the number of hosts, so that this rate, and the
  /// time until some host notices a lapse, stay as they are.
  Duration mPollEvery = std::chrono::seconds(15);
  std::size_t mPollHosts = 20;
  /// Mean pause after a failed call; doubles up to the maximum.
  Duration mMinRetry = std::chrono::seconds(1);
  Duration mMaxRetry = std::chrono::seconds(60);
  /// Subtracted from the holder's own deadline; covers clocks that run at
  /// different rates and the time between MayAct() and the act.
  Duration mMargin = std::chrono::seconds(1);
};

/// \brief A lease that at most one host holds, with a fencing token.
///
/// The holder counts its deadline on the monotonic clock from before the
/// grant or renewal was sent, so it stops before the service lets the lease
/// expire, whatever replies are lost and however the wall clock jumps. A clock
/// that stands still while the process is paused breaks this; engines that
/// check the fencing token are the second defence.
class LeaderLease
{
public:
  /// aOnChange runs after the lease is gained or lost.
  LeaderLease(Scheduler& aScheduler,
              KeyValueStore& aStore,
              RandomSource aRandom,
              HostId aHost,
              LeaderLeaseSettings aSettings,
              std::function<void()> aOnChange);

  /// Begins to look for the lease, after a jittered pause.
  void Start();
  /// Gives the lease up, for a graceful stop or a leaving host, and looks for
  /// it no more until the next Start().
  void Stop();

  /// The number of live hosts, which share the looks at the lease.
  void OnLiveHosts(std::size_t aCount);

  /// To be asked at each use, right before the act.
  bool MayAct() const { return Remaining() > Duration::zero(); }
  /// Time for which this host may still act; zero when it may not.
  Duration Remaining() const;
  /// Reads the lease key and tells whether this host still holds it; gives
  /// the lease up if not. For use after any doubt, and before a batch of
  /// acts on targets that do not check the fencing token.
  void Confirm(const std::function<void(bool)>& aCallback);
  /// The host that held the lease at the last look; empty for none.
  const HostId& Holder() const { return mHolder; }
  /// The lease key's create revision; 0 when the lease is not held.
  std::int64_t Fencing() const { return mFencing; }
  const LeaderLeaseSettings& Settings() const { return mSettings; }

private:
  using Step = void (LeaderLease::*)();

  void Next(Duration aMeanPause, Step aStep);
  void Retry(Step aStep);
  bool Lapsed() const;

  Duration LookPause() const;
  void Look();
  void LookAfterPause();
  void Acquire();
  void CommitKey();
  void OnCommitted(const KeyValueResult<KeyTransactionReply>& aReply);
  void Gain(std::int64_t aFencing);
  void Renew();
  void OnRenewed(MonotonicTime aSent,
                 const KeyValueResult<std::chrono::seconds>& aReply);
  void Verify();
  bool IsOwnKey(const KeyRangeReply& aReply) const;
  void Lose();

  template<typename T, typename F>
  KeyValueCallback<T> Reply(F aFunction);

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  HostId mHost;
  LeaderLeaseSettings mSettings;
  std::function<void()> mOnChange;
  /// Replies to calls of an earlier Start() are ignored.
  std::uint64_t mTerm = 0;
  std::int64_t mLease = 0;
  std::int64_t mFencing = 0;
  HostId mHolder;
  std::size_t mLiveHosts = 1;
  /// The timer waits for the next look at another host's lease.
  bool mIsWatching = false;
  /// The service keeps the lease at least until then.
  MonotonicTime mDeadline{};
  Duration mRetryPause{};
  TimerHandle mTimer;
  AliveToken mAlive;
};

} // namespace ragwortdeck
