#pragma once

#include "Entry/CallerStream.h"
#include "Entry/EntryContext.h"
#include "Serving/DeparturePlan.h"
#include "Serving/EngineChoice.h"
#include "Serving/EventSplitter.h"
#include "Serving/SilenceWatch.h"

#include <set>

namespace ragwortdeck {

/// \brief Serves one generation: waits for an engine, relays its events, goes
/// on at another engine when the first one leaves or breaks off.
class StreamRun : public std::enable_shared_from_this<StreamRun>
{
public:
  /// How the answer to the caller ended.
  struct Result
  {
    /// Set when nothing has been sent to the caller yet.
    std::optional<FinalAnswer> mAnswer;
    /// The stream was sent whole.
    bool mComplete = false;
  };

  StreamRun(EntryContext& aContext,
            std::shared_ptr<CallerRequest> aRequest,
            beast::tcp_stream& aCaller);
  ~StreamRun();
  StreamRun(const StreamRun&) = delete;
  StreamRun& operator=(const StreamRun&) = delete;

  Task<Result> Run();
  /// What the other hosts need to know when the engine of this run leaves;
  /// nothing when the run cannot be moved.
  std::optional<DepartingRun> Departing() const;
  /// How the run's memory is copied, in step with other runs on its engine.
  struct MovePlan
  {
    /// The engine that is tried first.
    std::string mDestination;
    /// Start of the first copy.
    MonotonicTime mFirst;
    /// The run stops for its last copy at this time at the latest.
    MonotonicTime mLatestStop;
    /// Whether the run may stop already.
    std::function<bool()> mMayStop;
    /// Called once, when the first copy is done or was given up.
    std::function<void()> mOnCopied;
  };
  void MoveAt(MovePlan aPlan);
  const std::string& Engine() const { return mEngine.mId; }
  /// Nothing while no events are expected.
  std::optional<RunningStream> Running() const;

private:
  /// How one send to an engine ended.
  enum class Sent
  {
    kComplete,
    kNotSent,
    kNotRun,
    kBroken,
    /// An answer that is no stream; mPlainAnswer holds it.
    kPlain,
    kCallerGone,
  };

  Task<bool> WaitForEngine();
  bool TryPlace();
  std::optional<Target> ChooseTarget(const std::set<std::string>& aExcluded,
                                     const std::string& aDomain,
                                     double aOtherDomainMs);
  Task<Sent> SendOnce(std::optional<RunMemory> aMemory);
  Task<Sent> RelayEvents(
    TargetConnectionPtr aConnection,
    std::unique_ptr<http::response_parser<http::buffer_body>> aParser);
  Task<Sent> ReadPlain(
    TargetConnectionPtr aConnection,
    std::unique_ptr<http::response_parser<http::buffer_body>> aParser);
  Task<void> Move();
  /// True when another destination may be tried.
  Task<bool> CopyTo(Target aTo);
  /// Whether a first copy to aTo would end before this run has to stop.
  bool CopyEndsInTime(const Target& aTo) const;
  void FirstCopyOver();
  Task<void> SleepUntil(MonotonicTime aTime);
  Task<bool> AwaitMove();
  Task<Sent> GoOnAfterMove();
  void SetEngine(const Target& aTarget, bool aPromptRead);
  void ReleaseMoveRoom();
  FinalAnswer Refuse(const std::string& aWhy);
  std::int64_t MadeTokens() const;
  GenerationNeed Need() const;

  EntryContext& mContext;
  std::shared_ptr<CallerRequest> mRequest;
  CallerStream mCaller;
  const EngineLimits* mLimits = nullptr;
  std::uint64_t mId;
  /// Names the room that is reserved at the destination of a move.
  std::uint64_t mMoveId;
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
  Milliseconds mExpectedFirst{ 0 };
  std::optional<http::response<http::string_body>> mPlainAnswer;
  bool mPlacedWhileWaiting = false;
  asio::steady_timer mSignal;

  bool mMoving = false;
  MovePlan mPlan;
  /// The run was stopped and can go on from here.
  std::optional<RunMemory> mMemory;
  std::optional<Target> mDestination;
};

} // namespace ragwortdeck
