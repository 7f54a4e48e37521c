#pragma once

#include "Entry/AnswerReader.h"
#include "Entry/CallerStream.h"
#include "Entry/EntryContext.h"
#include "Serving/DeparturePlan.h"
#include "Serving/EngineChoice.h"
#include "Serving/EventSplitter.h"
#include "Serving/SilenceWatch.h"

#include <set>

namespace ragwortdeck {

/// \brief Serves one generation: waits for an engine, relays its events, and
/// continues at another engine when the first one leaves or fails.
class StreamRun : public std::enable_shared_from_this<StreamRun>
{
public:
  /// How the request ended.
  struct Result
  {
    /// Set when nothing has been sent to the caller yet.
    std::optional<FinalAnswer> mAnswer;
    /// The whole stream was sent.
    bool mComplete = false;
  };

  StreamRun(EntryContext& aContext,
            std::shared_ptr<CallerRequest> aRequest,
            beast::tcp_stream& aCaller);
  ~StreamRun();
  StreamRun(const StreamRun&) = delete;
  StreamRun& operator=(const StreamRun&) = delete;

  Task<Result> Run();
  /// Describes this run to the other hosts when its engine leaves; empty when
  /// the run cannot be moved.
  std::optional<DepartingRun> Departing() const;
  /// Schedule for copying the run's memory, coordinated with the other runs on
  /// its engine.
  struct MovePlan
  {
    /// The engine that is tried first.
    std::string mDestination;
    /// Start of the first copy.
    MonotonicTime mFirstCopyAt;
    /// Latest time at which the run stops for its last copy.
    MonotonicTime mLatestStop;
    /// Whether the run may stop before mLatestStop.
    std::function<bool()> mMayStop;
    /// Called once, when the first copy is complete or abandoned.
    std::function<void()> mOnCopied;
  };
  /// Starts to move the run; has no effect while a move is in progress.
  void StartMove(MovePlan aPlan);
  /// Parts of prompts were quarantined: ends the run if it has one of them and
  /// its engine has written nothing yet.
  void OnQuarantine();
  const std::string& Engine() const { return mEngine.mId; }
  const std::string& RequestId() const { return mRequest->mCallerHeaders.mId; }
  /// The stream that relays events now; empty before the first event and during
  /// a move.
  std::optional<RunningStream> Running() const;

private:
  class MoveEnd;

  /// How one attempt at an engine ended.
  enum class SendResult
  {
    kComplete,
    /// Nothing was sent to the engine.
    kNotSent,
    /// The engine states that it did not run the request.
    kNotRun,
    /// The answer failed or ended early; the request may have run.
    kBroken,
    /// The answer is not a stream; mPlainAnswer holds it.
    kPlain,
    kCallerGone,
  };

  /// False when no engine could be chosen in time.
  Task<bool> WaitForEngine();
  /// Chooses an engine for this run; false when none has room.
  bool TryPlace();
  std::optional<Target> ChooseTarget(const std::set<std::string>& aExcluded,
                                     const std::string& aDomain,
                                     double aOtherDomainPenaltyMs);
  /// Starts to check the progress on aConnection; the first event is due by
  /// aDue.
  void WatchProgress(const TargetConnectionPtr& aConnection,
                     MonotonicTime aDue);
  void CheckProgress(const TargetConnectionPtr& aConnection);
  void RecordProgress(MonotonicTime aNow);
  /// Whether an engine other than the current one has room for this run, which
  /// is not being moved.
  bool HasOtherEngine();
  /// Chooses the engine that was given up for its silence once more; false when
  /// there is none or it has left.
  bool ReturnToSilentEngine();
  /// How long the stream may make no progress.
  Milliseconds Patience() const;
  /// Whether the request may be sent to one more engine; charges the retry
  /// allowance if so.
  bool TryNextEngine();
  /// Records for the log why the current engine's answer failed.
  void RecordFailure(const error_code& aError);
  Task<SendResult> SendOnce(std::optional<RunMemory> aMemory);
  Task<SendResult> RelayEvents(TargetConnectionPtr aConnection,
                               std::unique_ptr<AnswerReader> aReader);
  /// Ends an answer whose events take too much memory.
  SendResult FailForMemory(TargetConnection& aConnection, const char* aReason);
  Task<SendResult> ReadPlain(TargetConnectionPtr aConnection,
                             std::unique_ptr<AnswerReader> aReader);
  Task<void> Move();
  /// Copies the run's memory to aTo, first while it runs and then stopped. True
  /// when another destination may be tried.
  Task<bool> CopyTo(Target aTo);
  /// Whether a first copy to aTo would end before this run has to stop.
  bool CopyEndsInTime(const Target& aTo) const;
  /// The answer of the current engine broke off. Returns whether the request
  /// may be sent to another one.
  bool MayRepeatAfterBreak();
  /// Records that the prompt does not crash engines.
  void RecordSound();
  void NotifyFirstCopyDone();
  Task<void> SleepUntil(MonotonicTime aTime);
  /// \brief A run that was stopped and can continue from its memory.
  struct MovedRun
  {
    RunMemory mMemory;
    /// The engine that holds the memory or can fetch it.
    Target mDestination;
  };
  /// Waits until the move in progress has ended or the run can continue.
  Task<void> WaitForMove();
  /// Waits for a move in progress; empty when the run cannot continue.
  Task<std::optional<MovedRun>> AwaitMove();
  Task<SendResult> ResumeAfterMove(MovedRun aMoved);
  void SetEngine(const Target& aTarget, bool aPrefillDone);
  void ReleaseMoveReservation();
  FinalAnswer RefuseRequest(const std::string& aReason);
  std::int64_t GeneratedTokens() const;
  GenerationNeed Need() const;

  EntryContext& mContext;
  std::shared_ptr<CallerRequest> mRequest;
  CallerStream mCaller;
  const EngineLimits* mLimits = nullptr;
  std::uint64_t mId;
  /// Identifies the capacity that is reserved at the destination of a move.
  std::uint64_t mMoveReservationId;
  Target mEngine;
  TargetConnectionPtr mConnection;
  std::set<std::string> mExcluded;
  std::string mLastEventId;
  std::int64_t mEvents = 0;
  std::int64_t mOutputEstimate = 0;
  MonotonicTime mFirstEventAt;
  MonotonicTime mSentAt;
  MonotonicTime mLastEventAt;
  /// Expected time to the first token at the chosen engine.
  Milliseconds mExpectedFirstToken{ 0 };
  std::optional<FinalAnswer> mPlainAnswer;
  bool mPlacedWhileWaiting = false;
  /// Closes mConnection when the stream makes no progress until mProgressDue
  /// and may go on at another engine.
  asio::steady_timer mProgressTimer;
  MonotonicTime mProgressDue;
  /// Longest gap between two events of the current run.
  Duration mLongestGap{ 0 };
  bool mHasEventOfRun = false;
  /// When the current engine began to write; empty before that.
  std::optional<MonotonicTime> mWritingSince;
  /// How long this host has seen the current engine write.
  Duration mWriteTime{ 0 };
  bool mSoundRecorded = false;
  /// The quarantined part that ends the run.
  std::optional<CrashWatch::Block> mBlock;
  /// The retry allowance was charged when the engine was given up.
  bool mRetryCharged = false;
  /// The engine that was given up for its silence.
  std::string mSilentEngine;
  /// Cancelled to wake the coroutine that waits.
  asio::steady_timer mSignal;

  bool mMoving = false;
  MovePlan mPlan;
  std::optional<MovedRun> mMoved;
  /// The engine was called to stop the run and has not stated that it goes on.
  bool mMayBeStopped = false;
};

} // namespace ragwortdeck
