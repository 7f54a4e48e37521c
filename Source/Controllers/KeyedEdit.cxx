#include "Controllers/KeyedEdit.h"

#include "Controllers/EditHistory.h"
#include "Controllers/TableKeys.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

KeyValue
FirstOf(const std::vector<KeyValue>& aKeys)
{
  return aKeys.empty() ? KeyValue{} : aKeys.front();
}

KeyCompare
Unchanged(const std::string& aKey, std::int64_t aModRevision)
{
  return { aKey, KeyCompare::Field::kModRevision, aModRevision };
}

KeyCompare
Missing(const std::string& aKey)
{
  return { aKey, KeyCompare::Field::kCreateRevision, 0 };
}

// The outcome that an existing edit record proves.
EditOutcome
FromRecord(const std::string& aId, const KeyValue& aKey)
{
  EditOutcome outcome;
  outcome.mEditId = aId;
  const auto record = EditRecordFromJson(aKey.mValue);
  if (!record) {
    outcome.mState = EditOutcome::State::kUnknown;
    outcome.mMessage = record.error().mMessage;
    return outcome;
  }
  outcome.mVersion = record.value().mVersion;
  outcome.mState = record.value().mCancelled ? EditOutcome::State::kNotApplied
                                             : EditOutcome::State::kAccepted;
  outcome.mMessage =
    record.value().mCancelled ? "the edit was settled as not applied" : "";
  return outcome;
}

// Puts a cancelled record in the place of the record unless that exists.
KeyTransaction
CancelTransaction(const std::string& aId,
                  const std::string& aAuthor,
                  WallTime aNow)
{
  EditRecord cancelled;
  cancelled.mId = aId;
  cancelled.mAuthor = aAuthor;
  cancelled.mTime = aNow;
  cancelled.mCancelled = true;
  const auto key = TableKeys::Edit(aId);
  return { { Missing(key) },
           { KeyOperation::Put(key, ToJson(cancelled)) },
           { KeyOperation::Range(key) } };
}

} // namespace

const char*
ToText(EditOutcome::State aState)
{
  switch (aState) {
    case EditOutcome::State::kAccepted:
      return "accepted";
    case EditOutcome::State::kUnchanged:
      return "unchanged";
    case EditOutcome::State::kConflict:
      return "conflict";
    case EditOutcome::State::kInvalid:
      return "invalid";
    case EditOutcome::State::kNotApplied:
      return "not-applied";
    case EditOutcome::State::kUnknown:
      break;
  }
  return "unknown";
}

KeyedEdit::KeyedEdit(Scheduler& aScheduler,
                     KeyValueStore& aStore,
                     RandomSource aRandom,
                     Spec aSpec,
                     Done aDone)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom)
  , mSpec(std::move(aSpec))
  , mDone(std::move(aDone))
  , mBackoff(mSpec.mLimits.mFirstBackoff)
{
}

std::weak_ptr<KeyedEdit>
KeyedEdit::Start(Scheduler& aScheduler,
                 KeyValueStore& aStore,
                 RandomSource aRandom,
                 Spec aSpec,
                 Done aDone)
{
  const std::shared_ptr<KeyedEdit> edit(new KeyedEdit(
    aScheduler, aStore, aRandom, std::move(aSpec), std::move(aDone)));
  edit->mSelf = edit;
  edit->mDeadline = aScheduler.After(edit->mSpec.mLimits.mDeadline,
                                     [weak = std::weak_ptr<KeyedEdit>(edit)] {
                                       if (const auto self = weak.lock()) {
                                         self->OnDeadline();
                                       }
                                     });
  edit->Read();
  return edit;
}

void
KeyedEdit::Abandon()
{
  mRetry.Cancel();
  mDeadline.Cancel();
  mDone = nullptr;
  mSelf.reset();
}

std::string
KeyedEdit::RecordKey() const
{
  return TableKeys::Edit(mSpec.mRecord.mId);
}

// The record, the head and the edited keys, in this order.
std::vector<KeyOperation>
KeyedEdit::ReadOperations() const
{
  std::vector<KeyOperation> reads = { KeyOperation::Range(RecordKey()),
                                      KeyOperation::Range(TableKeys::kHead) };
  for (const auto& key : mSpec.mKeys) {
    reads.push_back(KeyOperation::Range(key));
  }
  return reads;
}

void
KeyedEdit::Read()
{
  mStore.Commit({ {}, ReadOperations(), {} },
                [weak = weak_from_this()](
                  const KeyValueResult<KeyTransactionReply>& aReply) {
                  const auto self = weak.lock();
                  if (!self || !self->mDone) {
                    return;
                  }
                  if (!aReply) {
                    // A read has no effect, whatever became of it.
                    self->OnFailure({ KeyValueError::Effect::kNotApplied,
                                      aReply.error().mMessage });
                    return;
                  }
                  self->OnState(aReply.value().mRanges);
                });
}

void
KeyedEdit::OnState(const std::vector<std::vector<KeyValue>>& aRanges)
{
  if (aRanges.size() != mSpec.mKeys.size() + 2) {
    OnFailure({ KeyValueError::Effect::kNotApplied,
                "the service answered a different transaction" });
    return;
  }
  if (!aRanges[0].empty()) {
    OnRecord(aRanges[0].front());
    return;
  }
  Keys keys;
  for (std::size_t n = 0; n < mSpec.mKeys.size(); ++n) {
    if (!aRanges[n + 2].empty()) {
      keys[mSpec.mKeys[n]] = aRanges[n + 2].front();
    }
  }
  const auto head = FirstOf(aRanges[1]);
  const auto plan = mSpec.mPlan(keys);
  EditOutcome outcome;
  outcome.mEditId = mSpec.mRecord.mId;
  if (plan.mInvalid) {
    outcome.mState =
      mInDoubt ? EditOutcome::State::kUnknown : EditOutcome::State::kInvalid;
    outcome.mMessage = *plan.mInvalid;
    Finish(std::move(outcome));
    return;
  }
  if (!plan.mConflicts.empty()) {
    outcome.mState = EditOutcome::State::kConflict;
    outcome.mConflicts = plan.mConflicts;
    Conclude(std::move(outcome));
    return;
  }
  if (plan.mDeltas.empty()) {
    outcome.mState = EditOutcome::State::kUnchanged;
    outcome.mVersion =
      mSpec.mWritesHead ? static_cast<std::uint64_t>(head.mVersion) : 0;
    Conclude(std::move(outcome));
    return;
  }
  Write(plan, keys, head);
}

void
KeyedEdit::Write(const EditPlan& aPlan,
                 const Keys& aKeys,
                 const KeyValue& aHead)
{
  auto record = mSpec.mRecord;
  record.mCells = aPlan.mDeltas;
  record.mVersion =
    mSpec.mWritesHead ? static_cast<std::uint64_t>(aHead.mVersion) + 1 : 0;
  KeyTransaction transaction;
  transaction.mCompares.push_back(Missing(RecordKey()));
  for (const auto& key : mSpec.mKeys) {
    const auto it = aKeys.find(key);
    transaction.mCompares.push_back(
      Unchanged(key, it == aKeys.end() ? 0 : it->second.mModRevision));
  }
  transaction.mThen = aPlan.mWrites;
  transaction.mThen.push_back(KeyOperation::Put(RecordKey(), ToJson(record)));
  if (mSpec.mWritesHead) {
    // The head is compared as well, so that the record can state the version
    // that the edit produces.
    transaction.mCompares.push_back(
      Unchanged(TableKeys::kHead, aHead.mModRevision));
    transaction.mThen.push_back(
      KeyOperation::Put(TableKeys::kHead, mSpec.mRecord.mId));
  }
  transaction.mElse = ReadOperations();
  mWaitsForWrite = true;
  mStore.Commit(transaction,
                [weak = weak_from_this(), version = record.mVersion](
                  const KeyValueResult<KeyTransactionReply>& aReply) {
                  const auto self = weak.lock();
                  if (self && self->mDone) {
                    self->OnWritten(aReply, version);
                  }
                });
}

void
KeyedEdit::OnWritten(const KeyValueResult<KeyTransactionReply>& aReply,
                     std::uint64_t aVersion)
{
  mWaitsForWrite = false;
  if (!aReply) {
    OnFailure(aReply.error());
    return;
  }
  if (aReply.value().mSucceeded) {
    EditOutcome outcome;
    outcome.mState = EditOutcome::State::kAccepted;
    outcome.mEditId = mSpec.mRecord.mId;
    outcome.mVersion = aVersion;
    Finish(std::move(outcome));
    return;
  }
  // This attempt certainly did nothing, and the reply shows the current state.
  OnState(aReply.value().mRanges);
}

void
KeyedEdit::Conclude(EditOutcome aOutcome)
{
  if (!mInDoubt) {
    Finish(std::move(aOutcome));
    return;
  }
  mPending = std::move(aOutcome);
  mStore.Commit(CancelTransaction(mSpec.mRecord.mId,
                                  mSpec.mRecord.mAuthor,
                                  mScheduler.WallNow()),
                [weak = weak_from_this()](
                  const KeyValueResult<KeyTransactionReply>& aReply) {
                  const auto self = weak.lock();
                  if (self && self->mDone) {
                    self->OnCancelled(aReply);
                  }
                });
}

void
KeyedEdit::OnCancelled(const KeyValueResult<KeyTransactionReply>& aReply)
{
  if (!aReply) {
    OnFailure(aReply.error());
  } else if (aReply.value().mSucceeded) {
    Finish(*mPending);
  } else if (aReply.value().mRanges.size() == 1) {
    OnRecord(FirstOf(aReply.value().mRanges[0]));
  } else {
    RetryLater();
  }
}

// The record exists: an attempt took effect, or the edit was cancelled, by
// itself for the pending outcome or by SettleEdit.
void
KeyedEdit::OnRecord(const KeyValue& aKey)
{
  auto outcome = FromRecord(mSpec.mRecord.mId, aKey);
  if (outcome.mState == EditOutcome::State::kNotApplied && mPending) {
    outcome = *mPending;
  }
  Finish(std::move(outcome));
}

void
KeyedEdit::OnFailure(const KeyValueError& aError)
{
  mInDoubt = mInDoubt || aError.mEffect == KeyValueError::Effect::kUnknown;
  mLastError = aError.mMessage;
  RetryLater();
}

void
KeyedEdit::RetryLater()
{
  const auto delay =
    Duration(mBackoff.count() / 2 +
             static_cast<Duration::rep>(mRandom.Below(
               static_cast<std::uint64_t>(mBackoff.count() / 2 + 1))));
  mBackoff = std::min(mBackoff * 2, mSpec.mLimits.mMaxBackoff);
  mRetry = mScheduler.After(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Read();
    }
  });
}

void
KeyedEdit::OnDeadline()
{
  EditOutcome outcome;
  outcome.mEditId = mSpec.mRecord.mId;
  outcome.mState = mInDoubt || mWaitsForWrite ? EditOutcome::State::kUnknown
                                              : EditOutcome::State::kNotApplied;
  outcome.mMessage = mLastError;
  Finish(std::move(outcome));
}

void
KeyedEdit::Finish(EditOutcome aOutcome)
{
  const auto self = shared_from_this();
  const auto done = std::move(mDone);
  Abandon();
  done(std::move(aOutcome));
}

void
SettleEdit(Scheduler& aScheduler,
           KeyValueStore& aStore,
           const std::string& aEditId,
           const std::string& aAuthor,
           std::function<void(EditOutcome)> aDone)
{
  EditOutcome outcome;
  outcome.mEditId = aEditId;
  const auto time = TimeOfEditId(aEditId);
  if (!time || aScheduler.WallNow() - *time > kEditRetention) {
    outcome.mState = EditOutcome::State::kInvalid;
    outcome.mMessage =
      time ? "the edit is older than the kept records" : "expected an edit id";
    aScheduler.Post(Duration::zero(),
                    [aDone = std::move(aDone), outcome] { aDone(outcome); });
    return;
  }
  aStore.Commit(CancelTransaction(aEditId, aAuthor, aScheduler.WallNow()),
                [outcome, aDone = std::move(aDone)](
                  const KeyValueResult<KeyTransactionReply>& aReply) mutable {
                  if (!aReply) {
                    outcome.mMessage = aReply.error().mMessage;
                  } else if (aReply.value().mSucceeded) {
                    outcome.mState = EditOutcome::State::kNotApplied;
                    outcome.mMessage =
                      "the edit was not applied and can no longer be";
                  } else if (aReply.value().mRanges.size() == 1) {
                    outcome = FromRecord(outcome.mEditId,
                                         FirstOf(aReply.value().mRanges[0]));
                  }
                  aDone(std::move(outcome));
                });
}

} // namespace ragwortdeck
