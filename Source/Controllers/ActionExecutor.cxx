#include "Controllers/ActionExecutor.h"

#include "Core/Log.h"

#include <stdexcept>
#include <utility>

namespace ragwortdeck {

namespace {

using namespace std::chrono_literals;

const Log sLog("actions");

constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
// A repeat may succeed once the key-value service answers again.
constexpr std::chrono::milliseconds kRetryAfter = 2s;

ActionResult
NotRun(int aStatus,
       const char* aCode,
       const char* aMessage,
       std::chrono::milliseconds aRetryAfter = 0ms)
{
  return {
    { RunState::kNotRun, aStatus, aCode, aMessage, aRetryAfter }, {}, false, {}
  };
}

ActionResult
RecordsUnavailable()
{
  return NotRun(503,
                "action_records_unavailable",
                "This attempt did not run. Repeat it with the same "
                "Idempotency-Key.",
                kRetryAfter);
}

ActionResult
TargetUnreachable()
{
  return NotRun(503,
                "service_unreachable",
                "The service could not be reached; this attempt did not run. "
                "Repeat it with the same Idempotency-Key.",
                kRetryAfter);
}

ActionResult
KeyReused()
{
  return NotRun(409,
                "idempotency_key_reused",
                "The Idempotency-Key belongs to a request with another body. "
                "Use a new key for a new action.");
}

ActionResult
MayHaveRun()
{
  return { { RunState::kMayHaveRun,
             504,
             "action_may_have_run",
             "The action may have run. Repeat it with the same "
             "Idempotency-Key or check with the service; never use a new key.",
             kRetryAfter },
           {},
           false,
           {} };
}

ActionResult
Ran(const ActionOutcome& aOutcome, bool aRepeated)
{
  Verdict verdict{ RunState::kRan, aOutcome.mStatus, "ran", "", 0ms };
  if (!aOutcome.mBodyKept) {
    verdict.mCode = "outcome_body_not_kept";
    verdict.mMessage = "The action ran; its answer was too long to keep.";
  }
  return { verdict, aOutcome, aRepeated, {} };
}

std::string
RandomId(RandomSource& aRandom)
{
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kLength = 32;
  std::string id;
  for (int n = 0; n < kLength; ++n) {
    id += kDigits[aRandom.Below(16)];
  }
  return id;
}

} // namespace

/// \brief One attempt to run an action, and the callers that wait for it.
struct ActionExecutor::Attempt
{
  std::string mKey;
  ActionCall mCall;
  ActionRecord mRecord;
  MonotonicTime mStart;
  Phase mPhase = Phase::kCreating;
  /// What the create transaction expects of the key: 0 for absent.
  std::int64_t mExpectedRevision = 0;
  /// Revision of the intent, once known.
  std::int64_t mIntentRevision = 0;
  std::int64_t mLease = 0;
  int mCreates = 0;
  /// Creates that may have been applied, or may still be.
  int mOpenCreates = 0;
  bool mReported = false;
  bool mAnswered = false;
  /// Its own id; the record may become that of another attempt.
  std::string mAttempt;
  /// What a call that is being written to the record will be told.
  ActionResult mResult;
  std::vector<Callback> mCallbacks;
  TimerHandle mWindowTimer;
  TimerHandle mLimitTimer;
};

ActionExecutor::ActionExecutor(Scheduler& aScheduler,
                               KeyValueStore& aStore,
                               RandomSource aRandom,
                               HostId aHost,
                               ActionSettings aSettings,
                               ActionDispatchHook aDispatch,
                               ActionQueryHook aQuery)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom)
  , mHost(std::move(aHost))
  , mSettings(std::move(aSettings))
  , mDispatch(std::move(aDispatch))
  , mQuery(std::move(aQuery))
  , mBreaker(aScheduler,
             aStore,
             mRandom.Split(),
             mSettings.mBreaker,
             [this] { mRepair.Resume(); })
  , mRetention(aScheduler, aStore, mBreaker, mSettings.mRetention)
  , mRepair(aScheduler, aStore, mBreaker, mRandom.Split(), mSettings.mRepair)
{
  if (mSettings.mAnswerLimit <= mSettings.mDispatchWindow) {
    throw std::invalid_argument(
      "the answer limit must exceed the dispatch window");
  }
}

void
ActionExecutor::Execute(const ActionCall& aCall, const Callback& aCallback)
{
  ++mCounters.mCalls;
  if (aCall.mIdempotencyKey.empty()) {
    Later(aCallback,
          NotRun(400,
                 "idempotency_key_missing",
                 "This operation requires an Idempotency-Key header."));
    return;
  }
  if (aCall.mIdempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    Later(aCallback,
          NotRun(400,
                 "idempotency_key_too_long",
                 "The Idempotency-Key must be at most 255 bytes long."));
    return;
  }
  const auto key =
    ActionRecordKey(aCall.mTeam, aCall.mOperation, aCall.mIdempotencyKey);
  if (const auto it = mInFlight.find(key); it != mInFlight.end()) {
    if (it->second->mRecord.mRequestDigest != ActionDigest(aCall.mBody)) {
      Later(aCallback, KeyReused());
      return;
    }
    it->second->mCallbacks.push_back(aCallback);
    return;
  }
  if (mInFlight.size() >= mSettings.mMaxInFlight) {
    Later(aCallback,
          NotRun(503,
                 "too_many_actions",
                 "This host has too many actions in progress.",
                 kRetryAfter));
    return;
  }
  if (mBreaker.IsOpen()) {
    Later(aCallback, RecordsUnavailable());
    return;
  }
  const auto attempt = NewAttempt(aCall, key);
  attempt->mCallbacks.push_back(aCallback);
  Create(attempt);
}

ActionExecutor::AttemptPtr
ActionExecutor::NewAttempt(const ActionCall& aCall, const std::string& aKey)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->mKey = aKey;
  attempt->mCall = aCall;
  attempt->mAttempt = RandomId(mRandom);
  attempt->mRecord.mAttempt = attempt->mAttempt;
  attempt->mRecord.mHost = mHost;
  attempt->mRecord.mRequestDigest = ActionDigest(aCall.mBody);
  attempt->mRecord.mCreated = mScheduler.WallNow();
  attempt->mStart = mScheduler.Now();
  const std::weak_ptr<Attempt> weak = attempt;
  attempt->mWindowTimer =
    mScheduler.After(mSettings.mDispatchWindow, mAlive.Wrap([this, weak] {
      if (const auto attempt = weak.lock()) {
        OnWindowEnd(attempt);
      }
    }));
  attempt->mLimitTimer =
    mScheduler.After(mSettings.mAnswerLimit, mAlive.Wrap([this, weak] {
      if (const auto attempt = weak.lock()) {
        OnAnswerLimit(attempt);
      }
    }));
  mInFlight[aKey] = attempt;
  return attempt;
}

bool
ActionExecutor::InWindow(const Attempt& aAttempt) const
{
  return mScheduler.Now() - aAttempt.mStart < mSettings.mDispatchWindow;
}

void
ActionExecutor::OnWindowEnd(const AttemptPtr& aAttempt)
{
  if (aAttempt->mPhase == Phase::kCreating) {
    Abandon(aAttempt);
  }
}

void
ActionExecutor::OnAnswerLimit(const AttemptPtr& aAttempt)
{
  switch (aAttempt->mPhase) {
    case Phase::kCreating:
      Abandon(aAttempt);
      return;
    case Phase::kNotRun:
    case Phase::kRan:
      Answer(aAttempt, aAttempt->mResult);
      return;
    case Phase::kDispatched:
    case Phase::kUnknown:
      Answer(aAttempt, MayHaveRun());
      return;
  }
}

void
ActionExecutor::Create(const AttemptPtr& aAttempt)
{
  const auto lease = mRetention.Current();
  if (lease != 0) {
    SendCreate(aAttempt, lease);
    return;
  }
  mRetention.Ensure(mAlive.Wrap(
    [this, aAttempt](std::int64_t aLease) { OnLease(aAttempt, aLease); }));
}

void
ActionExecutor::OnLease(const AttemptPtr& aAttempt, std::int64_t aLease)
{
  if (aAttempt->mPhase != Phase::kCreating) {
    return;
  }
  if (InWindow(*aAttempt) && aLease != 0) {
    SendCreate(aAttempt, aLease);
    return;
  }
  if (InWindow(*aAttempt) && !mBreaker.IsOpen() &&
      aAttempt->mCreates < mSettings.mMaxCreates) {
    // Counts as a create so that failing grants are bounded as well.
    ++aAttempt->mCreates;
    Create(aAttempt);
    return;
  }
  Abandon(aAttempt);
}

void
ActionExecutor::SendCreate(const AttemptPtr& aAttempt, std::int64_t aLease)
{
  ++aAttempt->mCreates;
  aAttempt->mLease = aLease;
  ++aAttempt->mOpenCreates;
  const KeyTransaction transaction{
    { { aAttempt->mKey,
        KeyCompare::Field::kModRevision,
        aAttempt->mExpectedRevision } },
    { KeyOperation::Put(
      aAttempt->mKey, EncodeActionRecord(aAttempt->mRecord), aLease) },
    { KeyOperation::Range(aAttempt->mKey) }
  };
  mStore.Commit(
    transaction,
    mAlive.Wrap(
      [this, aAttempt](const KeyValueResult<KeyTransactionReply>& aReply) {
        OnCreateReply(aAttempt, aReply);
      }));
}

void
ActionExecutor::OnCreateReply(const AttemptPtr& aAttempt,
                              const KeyValueResult<KeyTransactionReply>& aReply)
{
  if (aReply || IsLeaseLost(aReply.error())) {
    mBreaker.OnAnswer();
  } else {
    mBreaker.OnFailure();
  }
  if (aAttempt->mPhase != Phase::kCreating) {
    // The attempt was abandoned meanwhile, and the repair settles its record.
    return;
  }
  // Checked on the clock because this process may have been paused; the timer
  // of the window can then run after this reply.
  if (!InWindow(*aAttempt)) {
    Abandon(aAttempt);
    return;
  }
  if (!aReply) {
    OnCreateError(aAttempt, aReply.error());
    return;
  }
  if (aReply.value().mSucceeded) {
    aAttempt->mIntentRevision = aReply.value().mRevision;
    Dispatch(aAttempt);
    return;
  }
  const auto& keys = aReply.value().mRanges.at(0);
  OnExisting(aAttempt, keys.empty() ? KeyValue{} : keys.front());
}

void
ActionExecutor::OnCreateError(const AttemptPtr& aAttempt,
                              const KeyValueError& aError)
{
  if (aError.mEffect == KeyValueError::Effect::kNotApplied) {
    --aAttempt->mOpenCreates;
  }
  if (IsLeaseLost(aError)) {
    mRetention.Forget(aAttempt->mLease);
  } else if (mBreaker.IsOpen()) {
    Abandon(aAttempt);
    return;
  }
  if (aAttempt->mCreates >= mSettings.mMaxCreates) {
    Abandon(aAttempt);
    return;
  }
  // The same transaction again also is the read-back of the attempt id: when
  // the first one was applied, the compare fails and returns this attempt's
  // own intent; when it is still on its way, its compare will fail.
  Create(aAttempt);
}

void
ActionExecutor::OnExisting(const AttemptPtr& aAttempt, const KeyValue& aKey)
{
  const auto record = DecodeActionRecord(aKey.mValue);
  if (aKey.mModRevision != 0 && !record) {
    sLog.Error("record " + aKey.mKey + " is not readable");
    Answer(aAttempt, MayHaveRun());
    aAttempt->mPhase = Phase::kUnknown;
    return;
  }
  if (record && record->mAttempt == aAttempt->mRecord.mAttempt &&
      record->mState == ActionState::kIntent) {
    aAttempt->mIntentRevision = aKey.mModRevision;
    Dispatch(aAttempt);
    return;
  }
  // From here on no create of this attempt can take effect any more: the key
  // has moved past the revision that it expects.
  aAttempt->mOpenCreates = 0;
  if (record && record->mRequestDigest != aAttempt->mRecord.mRequestDigest) {
    aAttempt->mPhase = Phase::kNotRun;
    Answer(aAttempt, KeyReused());
    return;
  }
  if (!record || record->mState == ActionState::kAbandoned) {
    aAttempt->mExpectedRevision = aKey.mModRevision;
    if (aAttempt->mCreates < mSettings.mMaxCreates) {
      Create(aAttempt);
    } else {
      Abandon(aAttempt);
    }
    return;
  }
  aAttempt->mRecord = *record;
  aAttempt->mIntentRevision = aKey.mModRevision;
  aAttempt->mLease = aKey.mLease;
  if (record->mState == ActionState::kOutcome) {
    aAttempt->mPhase = Phase::kRan;
    Answer(aAttempt, Ran(record->mOutcome, true));
    return;
  }
  aAttempt->mPhase = Phase::kUnknown;
  Query(aAttempt);
}

void
ActionExecutor::Abandon(const AttemptPtr& aAttempt)
{
  aAttempt->mPhase = Phase::kNotRun;
  if (aAttempt->mOpenCreates > 0) {
    auto record = aAttempt->mRecord;
    record.mState = ActionState::kAbandoned;
    mRepair.Add({ aAttempt->mKey,
                  std::move(record),
                  aAttempt->mExpectedRevision,
                  aAttempt->mLease });
  }
  Answer(aAttempt, RecordsUnavailable());
}

void
ActionExecutor::Dispatch(const AttemptPtr& aAttempt)
{
  aAttempt->mPhase = Phase::kDispatched;
  ++mCounters.mDispatches;
  mDispatch(aAttempt->mCall,
            aAttempt->mRecord.mAttempt,
            mAlive.Wrap([this, aAttempt](const DispatchReport& aReport) {
              OnDispatchReport(aAttempt, aReport);
            }));
}

void
ActionExecutor::OnDispatchReport(const AttemptPtr& aAttempt,
                                 const DispatchReport& aReport)
{
  if (std::exchange(aAttempt->mReported, true)) {
    return;
  }
  switch (aReport.mType) {
    case DispatchReport::Type::kNotSent:
      OnNotSent(aAttempt);
      return;
    case DispatchReport::Type::kAnswered:
      OnRan(aAttempt, aReport);
      return;
    case DispatchReport::Type::kUnknown:
      aAttempt->mPhase = Phase::kUnknown;
      Query(aAttempt);
      return;
  }
}

void
ActionExecutor::OnNotSent(const AttemptPtr& aAttempt)
{
  aAttempt->mPhase = Phase::kNotRun;
  aAttempt->mRecord.mState = ActionState::kAbandoned;
  // Written before the answer, so that an immediate repeat can run.
  WriteRecord(aAttempt, TargetUnreachable());
}

void
ActionExecutor::Query(const AttemptPtr& aAttempt)
{
  if (!mQuery || aAttempt->mAnswered) {
    Answer(aAttempt, MayHaveRun());
    return;
  }
  mQuery(aAttempt->mCall,
         mAlive.Wrap([this, aAttempt](const DispatchReport& aReport) {
           if (aAttempt->mPhase != Phase::kUnknown) {
             return;
           }
           // "Not seen" proves nothing: the call may still be on its way.
           if (aReport.mType == DispatchReport::Type::kAnswered) {
             OnRan(aAttempt, aReport);
           } else {
             Answer(aAttempt, MayHaveRun());
           }
         }));
}

void
ActionExecutor::OnRan(const AttemptPtr& aAttempt, const DispatchReport& aReport)
{
  auto& outcome = aAttempt->mRecord.mOutcome;
  outcome.mStatus = aReport.mStatus;
  outcome.mContentType = aReport.mContentType;
  outcome.mBody = aReport.mBody;
  outcome.mBodyDigest = ActionDigest(aReport.mBody);
  const auto result = Ran(outcome, false);
  if (outcome.mBody.size() > mSettings.mMaxKeptBody) {
    outcome.mBody.clear();
    outcome.mBodyKept = false;
  }
  aAttempt->mPhase = Phase::kRan;
  aAttempt->mRecord.mState = ActionState::kOutcome;
  WriteRecord(aAttempt, result);
}

void
ActionExecutor::WriteRecord(const AttemptPtr& aAttempt,
                            const ActionResult& aResult)
{
  const RecordRepair::Item item{ aAttempt->mKey,
                                 aAttempt->mRecord,
                                 aAttempt->mIntentRevision,
                                 aAttempt->mLease };
  aAttempt->mResult = aResult;
  if (mBreaker.IsOpen() || aAttempt->mAnswered) {
    mRepair.Add(item);
    Answer(aAttempt, aResult);
    return;
  }
  const KeyTransaction transaction{
    { { item.mKey, KeyCompare::Field::kModRevision, item.mExpectedRevision } },
    { KeyOperation::Put(
      item.mKey, EncodeActionRecord(item.mRecord), item.mLease) },
    {}
  };
  mStore.Commit(transaction,
                mAlive.Wrap([this, aAttempt, item, aResult](
                              const KeyValueResult<KeyTransactionReply>& aR) {
                  if (aR || IsLeaseLost(aR.error())) {
                    mBreaker.OnAnswer();
                  } else {
                    mBreaker.OnFailure();
                    mRepair.Add(item);
                  }
                  Answer(aAttempt, aResult);
                }));
}

void
ActionExecutor::Answer(const AttemptPtr& aAttempt, const ActionResult& aResult)
{
  if (std::exchange(aAttempt->mAnswered, true)) {
    return;
  }
  aAttempt->mWindowTimer.Cancel();
  aAttempt->mLimitTimer.Cancel();
  const auto it = mInFlight.find(aAttempt->mKey);
  if (it != mInFlight.end() && it->second == aAttempt) {
    mInFlight.erase(it);
  }
  auto result = aResult;
  result.mAttempt = aAttempt->mAttempt;
  const auto callbacks = std::exchange(aAttempt->mCallbacks, {});
  for (const auto& callback : callbacks) {
    Count(result);
    callback(result);
  }
}

void
ActionExecutor::Later(const Callback& aCallback, const ActionResult& aResult)
{
  mScheduler.Post(Duration::zero(), mAlive.Wrap([this, aCallback, aResult] {
    Count(aResult);
    aCallback(aResult);
  }));
}

void
ActionExecutor::Count(const ActionResult& aResult)
{
  switch (aResult.mVerdict.mState) {
    case RunState::kNotRun:
      ++mCounters.mNotRun;
      break;
    case RunState::kMayHaveRun:
      ++mCounters.mMayHaveRun;
      break;
    case RunState::kRan:
      ++mCounters.mRan;
      break;
  }
  if (aResult.mRepeated) {
    ++mCounters.mRepeated;
  }
}

} // namespace ragwortdeck
