#include "Filters/StreamRelay.h"

#include "Core/HttpStatus.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::chrono::milliseconds kRetryAfterFailure{ 500 };
constexpr std::uint32_t kMaxBackoffShift = 6;

/// Statuses by which an engine says that it did not accept the request.
bool
ProvesNotRun(int aStatus)
{
  return aStatus == kStatusNotFound || aStatus == kStatusTooMany ||
         aStatus == kStatusUnavailable;
}

/// Statuses that another engine would answer in the same way.
bool
IsCallersFault(int aStatus)
{
  return aStatus == kStatusBadRequest || aStatus == kStatusUnprocessable;
}

/// An engine's error that precedes the answer. "response.incomplete" is an
/// answer: it says that the limit was reached or the caller cancelled.
bool
IsEngineError(const EngineEvent& aEvent)
{
  return aEvent.mKind == EngineEventKind::kFailed &&
         (aEvent.mType == "error" || aEvent.mType == "response.failed");
}

bool
IsLast(const EngineEvent& aEvent)
{
  return aEvent.mKind == EngineEventKind::kCompleted ||
         aEvent.mKind == EngineEventKind::kFailed;
}

} // namespace

StreamRelay::StreamRelay(Scheduler& aScheduler,
                         RelayLimits aLimits,
                         MonotonicTime aDeadline,
                         Hooks aHooks)
  : mScheduler(aScheduler)
  , mLimits(aLimits)
  , mDeadline(aDeadline)
  , mHooks(std::move(aHooks))
  , mPhaseDue(aDeadline)
  , mWatchDue(aDeadline)
{
}

void
StreamRelay::Start(const TargetId& aTarget, Duration aFirstToken)
{
  if (mPhase == Phase::kEnded) {
    return;
  }
  ++mAttempt.mNumber;
  mAttempt.mTarget = aTarget;
  mAttempt.mEngineId = mHooks.mMakeEngineId(mAttempt.mNumber);
  mNext = 0;
  mHeld.clear();
  mHeldBytes = 0;
  mResumesSinceProgress = 0;
  mFirstToken = aFirstToken;
  Open(true);
}

void
StreamRelay::OnAttemptNotRun()
{
  if (mIsNewOpen && !mIsBound) {
    mMayHaveRun = mMayHaveRunBefore;
  }
}

void
StreamRelay::Resume(const Attempt& aAttempt,
                    std::optional<std::int64_t> aStartingAfter)
{
  mAttempt = aAttempt;
  mIsBound = true;
  mMayHaveRun = true;
  mNext = aStartingAfter ? *aStartingAfter + 1 : 0;
  mFirstToken = mLimits.mStall;
  Open(false);
}

void
StreamRelay::Open(bool aIsNew)
{
  mPhase = Phase::kReading;
  mMayExist = true;
  mIsNewOpen = aIsNew;
  if (aIsNew) {
    mMayHaveRunBefore = mMayHaveRun;
    // Until the engine proves otherwise.
    mMayHaveRun = true;
  }
  Touch(mIsBound ? mLimits.mStall : mFirstToken);
  std::optional<std::int64_t> after;
  if (!aIsNew && mNext > 0) {
    after = mNext - 1;
  }
  mHooks.mOpen(mAttempt, aIsNew, after);
}

void
StreamRelay::OnEvent(EngineEvent&& aEvent)
{
  if (mPhase != Phase::kReading) {
    return;
  }
  if (aEvent.mSequence < mNext) {
    ++mDuplicates;
    return;
  }
  if (aEvent.mSequence > mNext) {
    OnInterrupted("a gap in the event numbers");
    return;
  }
  ++mNext;
  mResumesSinceProgress = 0;
  if (!aEvent.mResponseId.empty() && !mIsBound) {
    mAttempt.mEngineId = aEvent.mResponseId;
  }
  if (!mIsBound) {
    if (IsEngineError(aEvent)) {
      Replace(DispatchOutcome::kTargetFailed, "the engine reported an error");
      return;
    }
    mHeldBytes += aEvent.mData.size();
    const bool binds =
      aEvent.mKind == EngineEventKind::kToken || IsLast(aEvent);
    const bool isLast = IsLast(aEvent);
    mHeld.push_back(std::move(aEvent));
    if (binds) {
      Bind();
      Touch(mLimits.mStall);
    } else if (mHeldBytes > mLimits.mMaxHeldBytes) {
      Replace(DispatchOutcome::kTargetFailed,
              "too much before the first token");
      return;
    }
    if (isLast) {
      mMayExist = false;
      End(RelayEndKind::kCompleted, {});
    }
    return;
  }
  Touch(mLimits.mStall);
  mHooks.mDeliver(mAttempt, aEvent);
  if (IsLast(aEvent)) {
    mMayExist = false;
    End(RelayEndKind::kCompleted, {});
  }
}

void
StreamRelay::Bind()
{
  mIsBound = true;
  const auto held = std::exchange(mHeld, {});
  mHeldBytes = 0;
  for (const auto& event : held) {
    mHooks.mDeliver(mAttempt, event);
  }
}

void
StreamRelay::OnStreamEnd(const StreamEnd& aEnd)
{
  if (mPhase != Phase::kReading) {
    return;
  }
  switch (aEnd.mKind) {
    case StreamEndKind::kRefused:
      mMayExist = mIsBound;
      OnAttemptNotRun();
      mIsBound ? Lose("the engine refuses connections")
               : Replace(DispatchOutcome::kTargetFailed,
                         "the engine refuses connections");
      return;
    case StreamEndKind::kNotConnected:
      if (mIsBound) {
        ScheduleResume();
      } else {
        mMayExist = !mIsNewOpen;
        OnAttemptNotRun();
        Replace(DispatchOutcome::kTargetFailed, "no connection to the engine");
      }
      return;
    case StreamEndKind::kRejected:
      break;
    case StreamEndKind::kEnded:
    case StreamEndKind::kDropped:
      OnInterrupted("the connection to the engine broke");
      return;
  }
  const auto status = std::to_string(aEnd.mStatus);
  if (mIsBound || mNext > 0) {
    const bool isUnknown =
      aEnd.mStatus == kStatusNotFound || aEnd.mStatus == kStatusGone;
    if (!isUnknown) {
      ScheduleResume();
      return;
    }
    mMayExist = false;
    mIsBound ? Lose("the engine no longer has the generation")
             : Replace(DispatchOutcome::kTargetFailed,
                       "the engine no longer has the generation");
    return;
  }
  mMayExist = false;
  if (IsCallersFault(aEnd.mStatus)) {
    OnAttemptNotRun();
    End(RelayEndKind::kFailed,
        { mMayHaveRun ? RunState::kMayHaveRun : RunState::kNotRun,
          kStatusBadRequest,
          "engine_rejected_request",
          "The engine rejected the request: " + aEnd.mMessage,
          std::chrono::milliseconds(0) });
    return;
  }
  if (ProvesNotRun(aEnd.mStatus)) {
    OnAttemptNotRun();
  } else {
    // A conflict means that the id exists, so there is something to cancel.
    mMayExist = aEnd.mStatus == kStatusConflict;
  }
  Replace(DispatchOutcome::kTargetFailed, "the engine answered " + status);
}

void
StreamRelay::OnInterrupted(const std::string& aReason)
{
  mHooks.mClose();
  const bool isGap = mNext > 0 && mPhase == Phase::kReading;
  if (mIsBound || (isGap && mResumesSinceProgress < mLimits.mResumeAttempts)) {
    ScheduleResume();
    return;
  }
  Replace(DispatchOutcome::kTargetFailed, aReason);
}

void
StreamRelay::ScheduleResume()
{
  mHooks.mClose();
  if (mResumesSinceProgress >= mLimits.mResumeAttempts) {
    mIsBound
      ? Lose("the engine cannot be reached")
      : Replace(DispatchOutcome::kTargetFailed, "the engine cannot be reached");
    return;
  }
  const auto shift = std::min(mResumesSinceProgress, kMaxBackoffShift);
  ++mResumesSinceProgress;
  ++mTotalResumes;
  mPhase = Phase::kResumeDelay;
  // The first resume is immediate; it is the usual case of a broken link.
  const auto delay = shift == 0
                       ? Duration::zero()
                       : mLimits.mFirstResumeDelay * (1U << (shift - 1));
  mResumeTimer = mScheduler.After(delay, [this] { Open(false); });
}

void
StreamRelay::Replace(DispatchOutcome aOutcome, const std::string& aReason)
{
  mHooks.mClose();
  CancelGeneration();
  mHeld.clear();
  mHeldBytes = 0;
  mNext = 0;
  if (mAttempt.mNumber >= mLimits.mMaxAttempts) {
    End(RelayEndKind::kFailed, FailureVerdict(aReason));
    return;
  }
  mPhase = Phase::kAwaitingTarget;
  mPhaseDue = mDeadline;
  if (!mHooks.mReplace(aOutcome)) {
    End(RelayEndKind::kFailed, FailureVerdict(aReason));
  }
}

Verdict
StreamRelay::FailureVerdict(const std::string& aReason) const
{
  return { mMayHaveRun ? RunState::kMayHaveRun : RunState::kNotRun,
           kStatusBadGateway,
           "target_failed",
           "The request failed before its first token: " + aReason +
             ". Repeat it.",
           kRetryAfterFailure };
}

void
StreamRelay::OnRefused(const Verdict& aVerdict)
{
  if (mPhase != Phase::kAwaitingTarget && mPhase != Phase::kIdle) {
    return;
  }
  auto verdict = aVerdict;
  if (mMayHaveRun) {
    verdict.mState = RunState::kMayHaveRun;
  }
  End(RelayEndKind::kFailed, std::move(verdict));
}

void
StreamRelay::Lose(const std::string& aReason)
{
  mHooks.mClose();
  CancelGeneration();
  End(RelayEndKind::kGenerationLost,
      { RunState::kMayHaveRun,
        kStatusBadGateway,
        "generation_lost",
        "The answer is incomplete: " + aReason +
          ". Start a new request for a whole answer.",
        std::chrono::milliseconds(0) });
}

void
StreamRelay::OnCallerGone()
{
  if (mPhase == Phase::kEnded) {
    return;
  }
  mHooks.mClose();
  CancelGeneration();
  End(RelayEndKind::kCallerGone, {});
}

void
StreamRelay::CancelGeneration()
{
  if (std::exchange(mMayExist, false)) {
    mHooks.mCancel(mAttempt);
  }
}

void
StreamRelay::End(RelayEndKind aKind, Verdict aVerdict)
{
  mPhase = Phase::kEnded;
  mWatch.Cancel();
  mResumeTimer.Cancel();
  mHeld.clear();
  mHooks.mEnd({ aKind, std::move(aVerdict) });
}

void
StreamRelay::SetPaused(bool aPaused)
{
  mIsPaused = aPaused;
  if (mPhase == Phase::kReading && mIsBound) {
    Touch(mLimits.mStall);
  }
}

void
StreamRelay::Touch(Duration aLimit)
{
  mPhaseDue = mIsPaused ? mDeadline : mScheduler.Now() + aLimit;
  ArmWatch();
}

void
StreamRelay::ArmWatch()
{
  // A timer per token would be expensive, so the watch only moves forward
  // when it fires early.
  const auto due = std::min(mPhaseDue, mDeadline);
  if (mWatch.IsSet() && mWatchDue <= due) {
    return;
  }
  mWatchDue = due;
  mWatch = mScheduler.After(due - mScheduler.Now(), [this] { OnWatch(); });
}

void
StreamRelay::OnWatch()
{
  mWatch.Cancel();
  if (mPhase == Phase::kEnded) {
    return;
  }
  const auto now = mScheduler.Now();
  if (now >= mDeadline) {
    mHooks.mClose();
    CancelGeneration();
    End(RelayEndKind::kDeadlineExceeded,
        { mMayHaveRun ? RunState::kMayHaveRun : RunState::kNotRun,
          kStatusTimeout,
          "deadline_exceeded",
          "The answer is not complete within the deadline of its kind.",
          std::chrono::milliseconds(0) });
    return;
  }
  if (mPhase == Phase::kReading && now >= mPhaseDue) {
    OnPhaseTimeout();
  }
  if (mPhase != Phase::kEnded && !mWatch.IsSet()) {
    if (mPhase != Phase::kReading) {
      mPhaseDue = mDeadline;
    }
    ArmWatch();
  }
}

void
StreamRelay::OnPhaseTimeout()
{
  if (mIsBound) {
    ScheduleResume();
    return;
  }
  Replace(DispatchOutcome::kTargetStalled, "no token in time");
}

} // namespace ragwortdeck
