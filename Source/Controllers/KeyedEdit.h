#pragma once

#include "Controllers/EditRecord.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortdeck {

/// \brief A cell whose value is not the one that the edit was based on.
struct CellConflict
{
  CellDelta mCell;
  std::optional<std::string> mCurrent;

  bool operator==(const CellConflict&) const = default;
};

/// \brief How an edit ended.
struct EditOutcome
{
  enum class State
  {
    /// Applied exactly once.
    kAccepted,
    /// All cells already had the wanted values; nothing was written.
    kUnchanged,
    /// A cell had changed; nothing was or will be written.
    kConflict,
    /// A value was refused before anything was sent.
    kInvalid,
    /// The service could not be reached; nothing was or will be written.
    kNotApplied,
    /// The edit may have been applied or may still be; SettleEdit tells.
    kUnknown,
  };
  State mState = State::kUnknown;
  std::string mEditId;
  /// The table version that the edit produced, or the current one for
  /// kUnchanged; 0 for host marks.
  std::uint64_t mVersion = 0;
  std::vector<CellConflict> mConflicts;
  std::string mMessage;
};

/// "accepted", "unchanged", "conflict", "invalid", "not-applied" or "unknown".
const char*
ToText(EditOutcome::State aState);

/// \brief What an edit writes, given the current keys.
struct EditPlan
{
  /// An edit with conflicts writes nothing.
  std::vector<CellConflict> mConflicts;
  /// Set when the current values cannot be edited, for example a row that is
  /// not valid JSON.
  std::optional<std::string> mInvalid;
  /// Without deltas there is nothing to change.
  std::vector<CellDelta> mDeltas;
  std::vector<KeyOperation> mWrites;
};

/// \brief Limits of the time that an edit takes.
struct EditLimits
{
  Duration mDeadline{ std::chrono::seconds(10) };
  Duration mFirstBackoff{ std::chrono::milliseconds(50) };
  Duration mMaxBackoff{ std::chrono::seconds(1) };
};

/// \brief One edit by compare-and-swap, from the first read to its outcome.
///
/// Each attempt is a transaction that requires that the edit's record does not
/// exist and that neither the edited keys nor the table's head changed since
/// they were read. All attempts of an edit use the same record key, so that
/// at most one of them takes effect, however late it arrives. When a reply is
/// lost, the next attempt finds the record or replaces the lost attempt.
/// Before an edit with a lost attempt ends without being applied, a cancelled
/// record takes the place of its record, so that the lost attempt can no
/// longer take effect. The compared revisions alone do not ensure that: a key
/// that was missing can be missing again later.
class KeyedEdit : public std::enable_shared_from_this<KeyedEdit>
{
public:
  using Keys = std::map<std::string, KeyValue>;
  /// Called with the edited keys that exist, once per attempt. The first call
  /// determines what the edit is based on.
  using Planner = std::function<EditPlan(const Keys& aKeys)>;
  using Done = std::function<void(EditOutcome)>;

  struct Spec
  {
    /// Id, author, time and part; the rest is filled in.
    EditRecord mRecord;
    std::vector<std::string> mKeys;
    /// True for edits of the table: the head is compared and written.
    bool mWritesHead = true;
    Planner mPlan;
    EditLimits mLimits;
  };

  /// Starts the edit. The edit keeps itself alive until aDone was called;
  /// the returned pointer only serves to abandon it earlier.
  static std::weak_ptr<KeyedEdit> Start(Scheduler& aScheduler,
                                        KeyValueStore& aStore,
                                        RandomSource aRandom,
                                        Spec aSpec,
                                        Done aDone);
  /// Ends the edit without an outcome, as the death of its process would.
  void Abandon();

private:
  KeyedEdit(Scheduler& aScheduler,
            KeyValueStore& aStore,
            RandomSource aRandom,
            Spec aSpec,
            Done aDone);

  std::vector<KeyOperation> ReadOperations() const;
  void Read();
  void OnState(const std::vector<std::vector<KeyValue>>& aRanges);
  void Write(const EditPlan& aPlan, const Keys& aKeys, const KeyValue& aHead);
  void OnWritten(const KeyValueResult<KeyTransactionReply>& aReply,
                 std::uint64_t aVersion);
  void Conclude(EditOutcome aOutcome);
  void OnCancelled(const KeyValueResult<KeyTransactionReply>& aReply);
  void OnRecord(const KeyValue& aKey);
  void OnFailure(const KeyValueError& aError);
  void RetryLater();
  void OnDeadline();
  void Finish(EditOutcome aOutcome);
  std::string RecordKey() const;

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  RandomSource mRandom;
  Spec mSpec;
  Done mDone;
  std::shared_ptr<KeyedEdit> mSelf;
  TimerHandle mRetry;
  TimerHandle mDeadline;
  Duration mBackoff;
  /// True while an attempt has neither succeeded nor certainly failed.
  bool mInDoubt = false;
  bool mWaitsForWrite = false;
  /// The outcome while a cancelled record is being written for it.
  std::optional<EditOutcome> mPending;
  std::string mLastError = "the service did not answer";
};

/// Finds out what became of an edit that ended as kUnknown. When its record
/// does not exist, a cancelled record takes its place, so that the edit can
/// never be applied later. Ends as kAccepted, kNotApplied, kUnknown (ask
/// again), or kInvalid when the id is malformed or older than the retention of
/// edit records.
void
SettleEdit(Scheduler& aScheduler,
           KeyValueStore& aStore,
           const std::string& aEditId,
           const std::string& aAuthor,
           std::function<void(EditOutcome)> aDone);

} // namespace ragwortdeck
