#pragma once

#include "Controllers/ActionCall.h"
#include "Controllers/AliveToken.h"
#include "Controllers/CircuitBreaker.h"
#include "Controllers/RecordRepair.h"
#include "Controllers/RetentionLease.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace ragwortdeck {

struct ActionSettings
{
  /// From before the first key-value call of an attempt; no dispatch starts
  /// later. A "not-run" because of the key-value service comes by then. Two
  /// calls with a timeout of 1 s fit.
  Duration mDispatchWindow = std::chrono::milliseconds(2500);
  /// Each caller is answered by then. Must exceed the dispatch window.
  Duration mAnswerLimit = std::chrono::seconds(10);
  std::size_t mMaxInFlight = 1024;
  /// Create calls of one attempt: repeats after a lost reply, and
  /// replacements of an abandoned record.
  int mMaxCreates = 4;
  /// Longer answers are kept as status and digest only.
  std::size_t mMaxKeptBody = 64U << 10U;
  RetentionSettings mRetention;
  RecordRepairSettings mRepair;
  CircuitBreakerSettings mBreaker;
};

/// \brief Counts since the start, for metrics.
struct ActionCounters
{
  std::uint64_t mCalls = 0;
  std::uint64_t mDispatches = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mMayHaveRun = 0;
  std::uint64_t mRan = 0;
  std::uint64_t mRepeated = 0;
};

/// \brief Runs at-most-once actions over records in the key-value service
/// (section 6.2 of the design page).
///
/// An attempt creates the intent of its key, dispatches once within its
/// dispatch window, and writes the outcome: two key-value calls. Lives on one
/// thread; give each router one executor on its control thread.
class ActionExecutor
{
public:
  using Callback = std::function<void(const ActionResult&)>;

  /// aQuery may be empty for services that cannot be asked.
  ActionExecutor(Scheduler& aScheduler,
                 KeyValueStore& aStore,
                 RandomSource aRandom,
                 HostId aHost,
                 ActionSettings aSettings,
                 ActionDispatchHook aDispatch,
                 ActionQueryHook aQuery);

  /// Calls back exactly once within the answer limit, never inside the call.
  /// Concurrent calls with the same key on this host share one attempt.
  void Execute(const ActionCall& aCall, const Callback& aCallback);

  const ActionCounters& Counters() const { return mCounters; }
  const RecordRepair& Repair() const { return mRepair; }
  std::size_t InFlight() const { return mInFlight.size(); }

private:
  enum class Phase
  {
    kCreating,
    /// Ended without a dispatch.
    kNotRun,
    kDispatched,
    /// Sent, and the result is unknown; or another attempt's intent.
    kUnknown,
    kRan,
  };
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  AttemptPtr NewAttempt(const ActionCall& aCall, const std::string& aKey);
  bool InWindow(const Attempt& aAttempt) const;
  void OnWindowEnd(const AttemptPtr& aAttempt);
  void OnAnswerLimit(const AttemptPtr& aAttempt);

  void Create(const AttemptPtr& aAttempt);
  void OnLease(const AttemptPtr& aAttempt, std::int64_t aLease);
  void SendCreate(const AttemptPtr& aAttempt, std::int64_t aLease);
  void OnCreateReply(const AttemptPtr& aAttempt,
                     const KeyValueResult<KeyTransactionReply>& aReply);
  void OnCreateError(const AttemptPtr& aAttempt, const KeyValueError& aError);
  void OnExisting(const AttemptPtr& aAttempt, const KeyValue& aKey);
  /// Ends the attempt for good before its dispatch.
  void Abandon(const AttemptPtr& aAttempt);

  void Dispatch(const AttemptPtr& aAttempt);
  void OnDispatchReport(const AttemptPtr& aAttempt,
                        const DispatchReport& aReport);
  void OnNotSent(const AttemptPtr& aAttempt);
  void Query(const AttemptPtr& aAttempt);
  void OnRan(const AttemptPtr& aAttempt, const DispatchReport& aReport);
  /// Writes the attempt's record, in the background when that fails, and then
  /// answers.
  void WriteRecord(const AttemptPtr& aAttempt, const ActionResult& aResult);

  void Answer(const AttemptPtr& aAttempt, const ActionResult& aResult);
  void Later(const Callback& aCallback, const ActionResult& aResult);
  void Count(const ActionResult& aResult);

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  HostId mHost;
  ActionSettings mSettings;
  ActionDispatchHook mDispatch;
  ActionQueryHook mQuery;
  CircuitBreaker mBreaker;
  RetentionLease mRetention;
  RecordRepair mRepair;
  ActionCounters mCounters;
  /// Unanswered attempts by record key.
  std::map<std::string, AttemptPtr> mInFlight;
  AliveToken mAlive;
};

} // namespace ragwortdeck
