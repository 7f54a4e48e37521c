#pragma once

#include "Core/Ids.h"
#include "Core/Scheduler.h"
#include "Core/Verdict.h"
#include "Policy/Dispatcher.h"
#include "Targets/EngineStream.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Limits of one answer's relay.
struct RelayLimits
{
  /// Limit between two events after the first token.
  Duration mStall{ 5'000'000 };
  /// Resume attempts without a new event between them.
  std::uint32_t mResumeAttempts = 4;
  Duration mFirstResumeDelay{ 20'000 };
  /// Generations started for one request before its first token.
  std::uint32_t mMaxAttempts = 3;
  /// Answer events held back until the first token, in bytes.
  std::size_t mMaxHeldBytes = 1 << 20;

  bool operator==(const RelayLimits&) const = default;
};

/// \brief One generation, as the relay knows it.
struct Attempt
{
  /// Counts the generations of one request from 1.
  std::uint32_t mNumber = 0;
  TargetId mTarget;
  std::string mEngineId;

  bool operator==(const Attempt&) const = default;
};

enum class RelayEndKind : std::uint8_t
{
  /// The engine's last event was delivered, whatever its type.
  kCompleted,
  /// The generation is gone after a token was delivered.
  kGenerationLost,
  /// Nothing was delivered; the verdict says why.
  kFailed,
  kDeadlineExceeded,
  kCallerGone,
};

/// \brief How the relay of an answer ended.
struct RelayEnd
{
  RelayEndKind mKind = RelayEndKind::kCompleted;
  Verdict mVerdict;

  bool operator==(const RelayEnd&) const = default;
};

/// \brief Relays the events of one answer in order and without duplicates.
///
/// Events before the first token are held back, so that until then another
/// engine can serve the request; the first token binds the answer to its
/// generation. After a gap, a break or a stall the relay resumes the same
/// generation from the last event in order. It opens no sockets itself.
class StreamRelay
{
public:
  /// \brief What the relay asks of its surroundings. The hooks must not
  /// destroy the relay.
  struct Hooks
  {
    /// Starts the generation, or, with a sequence number, reads the rest of it
    /// after that number. aIsNew tells which.
    std::function<void(const Attempt&,
                       bool aIsNew,
                       std::optional<std::int64_t> aStartingAfter)>
      mOpen;
    /// Drops the connection to the engine.
    std::function<void()> mClose;
    /// Frees the generation on its engine, repeated until confirmed.
    std::function<void(const Attempt&)> mCancel;
    std::function<void(const Attempt&, const EngineEvent&)> mDeliver;
    /// Asks for another target. Answers by Start() or OnRefused(); returns
    /// false when a retry is not permitted.
    std::function<bool(DispatchOutcome)> mReplace;
    std::function<void(const RelayEnd&)> mEnd;
    /// Engine-side id for a new generation.
    std::function<std::string(std::uint32_t aAttempt)> mMakeEngineId;
  };

  StreamRelay(Scheduler& aScheduler,
              RelayLimits aLimits,
              MonotonicTime aDeadline,
              Hooks aHooks);

  /// Starts a generation on a target; aFirstToken limits the wait for its
  /// first token.
  void Start(const TargetId& aTarget, Duration aFirstToken);
  /// Reads an existing generation. It is never replaced by another one.
  void Resume(const Attempt& aAttempt,
              std::optional<std::int64_t> aStartingAfter);
  void OnEvent(EngineEvent&& aEvent);
  /// The connection ended before the last event of the answer.
  void OnStreamEnd(const StreamEnd& aEnd);
  /// No other target takes the request.
  void OnRefused(const Verdict& aVerdict);
  void OnCallerGone();
  /// While the caller reads too slowly, a silent engine is no stall.
  void SetPaused(bool aPaused);

  bool IsEnded() const { return mPhase == Phase::kEnded; }
  /// True once the answer is bound to its generation.
  bool IsBound() const { return mIsBound; }
  /// False only if no engine can have run the request.
  bool MayHaveRun() const { return mMayHaveRun; }
  const Attempt& Current() const { return mAttempt; }
  std::uint32_t Resumes() const { return mTotalResumes; }
  std::uint32_t Duplicates() const { return mDuplicates; }

private:
  enum class Phase : std::uint8_t
  {
    kIdle,
    kReading,
    kResumeDelay,
    kAwaitingTarget,
    kEnded,
  };

  void Open(bool aIsNew);
  /// The engine proved that the attempt that was just opened did not run.
  void OnAttemptNotRun();
  void Bind();
  void OnInterrupted(const std::string& aReason);
  void ScheduleResume();
  void Replace(DispatchOutcome aOutcome, const std::string& aReason);
  void Lose(const std::string& aReason);
  void CancelGeneration();
  void End(RelayEndKind aKind, Verdict aVerdict);
  void Touch(Duration aLimit);
  void ArmWatch();
  void OnWatch();
  void OnPhaseTimeout();
  Verdict FailureVerdict(const std::string& aReason) const;

  Scheduler& mScheduler;
  RelayLimits mLimits;
  MonotonicTime mDeadline;
  Hooks mHooks;
  Phase mPhase = Phase::kIdle;
  Attempt mAttempt;
  bool mIsBound = false;
  /// Set while the generation may exist on the engine.
  bool mMayExist = false;
  /// Set when the open connection was to create the generation.
  bool mIsNewOpen = false;
  /// Set when an attempt may have had an effect on an engine: from its opening
  /// on, unless the engine proves that it did not run.
  bool mMayHaveRun = false;
  /// The same for the attempts before the current one.
  bool mMayHaveRunBefore = false;
  bool mIsPaused = false;
  /// Sequence number of the next event in order.
  std::int64_t mNext = 0;
  std::vector<EngineEvent> mHeld;
  std::size_t mHeldBytes = 0;
  std::uint32_t mResumesSinceProgress = 0;
  std::uint32_t mTotalResumes = 0;
  std::uint32_t mDuplicates = 0;
  Duration mFirstToken{};
  MonotonicTime mPhaseDue;
  MonotonicTime mWatchDue;
  TimerHandle mWatch;
  TimerHandle mResumeTimer;
};

} // namespace ragwortdeck
