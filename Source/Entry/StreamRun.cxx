#include "Entry/StreamRun.h"

#include "Core/HttpStatus.h"
#include "Entry/TargetExchange.h"
#include "Serving/ServerChoice.h"

#include <charconv>

namespace ragwortdeck {

namespace {

/// A stream with a larger event fails.
constexpr std::size_t kMaxEventBytes = std::size_t(1) << 20U;
/// A longer wait for one event says nothing more about the engine: this host
/// may have been suspended meanwhile.
constexpr Duration kLongestCountedRead = std::chrono::milliseconds(200);
/// Unreachable engines after which the request is refused.
constexpr int kMaxUnreachable = 3;
/// Destinations that are tried in turn for the memory of one run.
constexpr int kMaxDestinations = 3;
/// Pause before a copy is retried that the engine could not start yet.
constexpr Milliseconds kMoveRetry{ 90 };
/// Interval at which a copied run checks whether it may stop.
constexpr Milliseconds kStopPoll{ 8 };
/// Timeout of one copy; a queue of eight copies takes about 2 s.
constexpr Milliseconds kCopyTimeout{ 2500 };
/// Longest wait for the end of a move after the engine closed the stream.
constexpr Milliseconds kMoveTimeout{ 2600 };
/// Penalty for an engine in another failure domain, as delay of the first
/// token: traffic between domains costs money.
constexpr double kOtherDomainPenaltyMs = 25;

std::optional<std::int64_t>
ParseEventNumber(const std::string& aText)
{
  std::int64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [parsedEnd, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || parsedEnd != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

/// \brief Ends a move when it goes out of scope, however it ended.
class StreamRun::MoveEnd
{
public:
  explicit MoveEnd(StreamRun& aRun)
    : mRun(aRun)
  {
  }
  ~MoveEnd()
  {
    mRun.NotifyFirstCopyDone();
    mRun.mMoving = false;
    mRun.mSignal.cancel();
  }
  MoveEnd(const MoveEnd&) = delete;
  MoveEnd& operator=(const MoveEnd&) = delete;

private:
  StreamRun& mRun;
};

StreamRun::StreamRun(EntryContext& aContext,
                     std::shared_ptr<CallerRequest> aRequest,
                     beast::tcp_stream& aCaller)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mCaller(aCaller, *mRequest)
  , mId(aContext.mNextRun++)
  , mMoveReservationId(aContext.mNextRun++)
  , mLastEventId(mRequest->mCallerHeaders.mLastEventId)
  , mProgressTimer(aContext.mIo)
  , mSignal(aContext.mIo)
{
  if (const auto* service = mRequest->mTable->FindService(mRequest->mService);
      service && service->mEngine) {
    mLimits = &*service->mEngine;
  }
  const auto& headers = mRequest->mCallerHeaders;
  mOutputEstimate =
    ReservedOutput(headers.mExpectedOutputTokens, headers.mMaxOutputTokens);
  mContext.mStreams.emplace(mId, this);
}

StreamRun::~StreamRun()
{
  // The hook refers to this run, which an exception may have ended.
  mRequest->mOnEnd = nullptr;
  mContext.mStreams.erase(mId);
  mContext.mLoad.End(mId);
  mContext.mLoad.End(mMoveReservationId);
}

std::int64_t
StreamRun::GeneratedTokens() const
{
  return mLimits ? mEvents * mLimits->mTokensPerEvent : mEvents;
}

GenerationNeed
StreamRun::Need() const
{
  return { mRequest->mCallerHeaders.mPromptTokens,
           std::max(mOutputEstimate, GeneratedTokens()) };
}

FinalAnswer
StreamRun::RefuseRequest(const std::string& aReason)
{
  mRequest->mReason = aReason;
  return MakeRefusal(aReason,
                     mContext.RefusalSeconds(
                       mRequest->mService, mRequest->TimeLeft(mContext.Now())));
}

std::optional<Target>
StreamRun::ChooseTarget(const std::set<std::string>& aExcluded,
                        const std::string& aDomain,
                        double aOtherDomainPenaltyMs)
{
  const auto now = mContext.Now();
  const auto open = mContext.OpenTargets(mRequest->mService);
  std::optional<std::string> chosen;
  if (mLimits) {
    std::vector<EngineCandidate> candidates;
    for (const auto* entry : open) {
      const auto& target = entry->mTarget;
      if (aExcluded.contains(target.mId) ||
          mContext.mHealth.IsAvoided(target.mId, now)) {
        continue;
      }
      candidates.push_back(
        { target.mId,
          mContext.mLoad.TotalOn(target.mId),
          target.mFailureDomain == aDomain ? 0 : aOtherDomainPenaltyMs,
          now < entry->mWarmUpEnd });
    }
    if (auto pick =
          ChooseEngine(candidates, *mLimits, Need(), mContext.mRandom)) {
      chosen = *pick;
    }
  } else {
    std::vector<ServerCandidate> candidates;
    for (const auto* entry : open) {
      const auto& target = entry->mTarget;
      if (!aExcluded.contains(target.mId)) {
        candidates.push_back(
          { target.mId,
            target.mSlots,
            mContext.mInFlight[target.mId],
            0,
            mContext.mHealth.Latency(target.mId),
            target.mFailureDomain == mContext.mSettings.mFailureDomain,
            mContext.mHealth.IsAvoided(target.mId, now) });
      }
    }
    chosen = ChooseServer(candidates, mContext.mRandom);
  }
  if (!chosen) {
    return std::nullopt;
  }
  return mContext.mTargets.Find(*chosen)->mTarget;
}

void
StreamRun::SetEngine(const Target& aTarget, bool aPrefillDone)
{
  mEngine = aTarget;
  mRequest->mTarget = aTarget.mId;
  const auto need = Need();
  mContext.mLoad.Start(
    mId, { aTarget.mId, need.mPromptTokens, need.mOutputTokens, aPrefillDone });
}

bool
StreamRun::TryPlace()
{
  const auto target = ChooseTarget(
    mExcluded, mContext.mSettings.mFailureDomain, kOtherDomainPenaltyMs);
  if (!target) {
    return false;
  }
  mExpectedFirstToken =
    ExpectedFirstToken(mContext.mLoad.TotalOn(target->mId), Need());
  SetEngine(*target, false);
  mPlacedWhileWaiting = true;
  mSignal.cancel();
  return true;
}

Task<bool>
StreamRun::WaitForEngine()
{
  mPlacedWhileWaiting = false;
  // Requests that already wait go first.
  if (mContext.mLine.Size() == 0 && TryPlace()) {
    co_return true;
  }
  const auto began = mContext.Now();
  const auto wait = std::min(LongestWait(mRequest->mRoute->mLatencyGoal),
                             mRequest->TimeLeft(began));
  const int routePriority = mRequest->mRoute->mPriority;
  const int priority = mRequest->mTeam
                         ? mRequest->mTeam->mPriority.value_or(routePriority)
                         : routePriority;
  const auto ticket =
    mContext.mLine.Enter({ priority, mRequest->mArrived, began + wait });
  bool isRefused = false;
  mContext.mWaiting[ticket] = [this, &isRefused] {
    if (TryPlace()) {
      return true;
    }
    if (mContext.PauseOf(mRequest->mService)) {
      isRefused = true;
      mSignal.cancel();
    }
    return isRefused;
  };
  mContext.OfferCapacity();
  if (!mPlacedWhileWaiting && !isRefused && !mRequest->HasEnded()) {
    mSignal.expires_after(wait);
    error_code ec;
    co_await mSignal.async_wait(RedirectError(ec));
  }
  mContext.mLine.Leave(ticket);
  mContext.mWaiting.erase(ticket);
  mRequest->mWaitedMs +=
    std::chrono::duration_cast<Milliseconds>(mContext.Now() - began).count();
  co_return mPlacedWhileWaiting;
}

Task<StreamRun::Result>
StreamRun::Run()
{
  auto self = shared_from_this();
  mRequest->mOnEnd = [this] {
    mSignal.cancel();
    if (mConnection) {
      mConnection->Close();
    }
  };
  mContext.CountRequest(mRequest->mService);
  Result result;
  int unreachable = 0;
  bool mayHaveRun = false;
  bool wasFull = false;
  bool returns = false;
  const auto& parts = mRequest->mCallerHeaders.mPromptParts;
  while (!mRequest->HasEnded()) {
    mBlock = mContext.mCrashWatch.Find(parts);
    if (mBlock) {
      break;
    }
    const bool placed =
      !std::exchange(returns, false) && co_await WaitForEngine();
    if (!placed) {
      mBlock = mContext.mCrashWatch.Find(parts);
    }
    if (!placed && (mBlock || !ReturnToSilentEngine())) {
      break;
    }
    if (mRequest->HasEnded()) {
      break;
    }
    ++mRequest->mAttempts;
    mRetryCharged = false;
    mMayBeStopped = false;
    auto sent = co_await SendOnce(std::nullopt);
    const bool mayRepeat = sent != SendResult::kBroken || MayRepeatAfterBreak();
    while (sent == SendResult::kBroken && !mRequest->HasEnded()) {
      auto moved = co_await AwaitMove();
      if (!moved) {
        break;
      }
      sent = co_await ResumeAfterMove(std::move(*moved));
    }
    mContext.mLoad.End(mId);
    mContext.OfferCapacity();
    if (sent == SendResult::kComplete) {
      result.mComplete = true;
      co_return result;
    }
    if (sent == SendResult::kPlain) {
      result.mAnswer = std::move(*mPlainAnswer);
      co_return result;
    }
    if (sent == SendResult::kCallerGone) {
      co_return result;
    }
    mExcluded.insert(mEngine.mId);
    if (sent == SendResult::kNotSent) {
      --mRequest->mAttempts;
      if (mBlock || ++unreachable >= kMaxUnreachable) {
        break;
      }
      continue;
    }
    mayHaveRun = mayHaveRun || sent == SendResult::kBroken;
    wasFull = wasFull || sent == SendResult::kNotRun;
    if (!mayRepeat) {
      break;
    }
    if (!mRetryCharged && !TryNextEngine()) {
      // The refusal ran nothing, and the engine that fell silent may be sound.
      returns = sent == SendResult::kNotRun && !mSilentEngine.empty() &&
                mContext.TryRetry(mRequest->mService);
      if (!returns) {
        break;
      }
    }
    mContext.mMetrics.Count("entry_retries_total");
  }
  if (mCaller.HasBegun()) {
    co_return result;
  }
  if (mBlock && !mayHaveRun && !mRequest->HasEnded()) {
    mRequest->mReason = "prompt part " + mBlock->mPart + " is quarantined";
    result.mAnswer =
      mContext.mCrashWatch.Refuse(mRequest->mCallerHeaders.mId, *mBlock);
  } else if (!mayHaveRun && !mRequest->HasEnded()) {
    const char* reason = wasFull ? "engine full" : "no engine has room";
    result.mAnswer = RefuseRequest(
      mContext.PauseOf(mRequest->mService) ? "all engines paused" : reason);
  } else if (mRequest->mEnd == CallerRequest::End::kTimedOut) {
    result.mAnswer = mayHaveRun || mRequest->mAttempts > 0
                       ? MakeLocalAnswer(kStatusTimeout, "no answer in time")
                       : RefuseRequest("no engine in time");
  } else {
    result.mAnswer = MakeLocalAnswer(kStatusBadGateway, "engine broke off");
  }
  co_return result;
}

bool
StreamRun::MayRepeatAfterBreak()
{
  if (mBlock) {
    return false;
  }
  const bool closedHere = mMoving || mRetryCharged || mRequest->HasEnded();
  if (closedHere || mWriteTime >= CrashWatch::kSoundAfter) {
    return true;
  }
  const auto& headers = mRequest->mCallerHeaders;
  mContext.mCrashWatch.OnBrokenOff(mEngine, headers.mId, headers.mPromptParts);
  mBlock = mContext.mCrashWatch.Find(headers.mPromptParts);
  return !mBlock &&
         mContext.mCrashWatch.MayRepeat(headers.mPromptParts, mEngine.mId);
}

void
StreamRun::RecordSound()
{
  if (mWritingSince && !std::exchange(mSoundRecorded, true)) {
    mContext.mCrashWatch.OnSound(mRequest->mCallerHeaders.mPromptParts,
                                 *mWritingSince);
  }
}

void
StreamRun::OnQuarantine()
{
  if (mRequest->HasEnded() || mMoving || mEvents > 0 || mWritingSince) {
    return;
  }
  auto block = mContext.mCrashWatch.Find(mRequest->mCallerHeaders.mPromptParts);
  if (!block) {
    return;
  }
  mBlock = std::move(block);
  if (mConnection) {
    mConnection->Close();
  }
  mSignal.cancel();
}

bool
StreamRun::TryNextEngine()
{
  const auto& route = *mRequest->mRoute;
  return route.IsIdempotent() && mRequest->mAttempts < route.mMaxAttempts &&
         mContext.TryRetry(mRequest->mService);
}

void
StreamRun::WatchProgress(const TargetConnectionPtr& aConnection,
                         MonotonicTime aDue)
{
  mProgressDue = aDue;
  mLongestGap = Duration(0);
  mHasEventOfRun = false;
  if (mRequest->mRoute->IsIdempotent()) {
    CheckProgress(aConnection);
  }
}

void
StreamRun::CheckProgress(const TargetConnectionPtr& aConnection)
{
  mProgressTimer.expires_after(
    std::max(Duration(0), mProgressDue - mContext.Now()));
  mProgressTimer.async_wait(
    [self = weak_from_this(), aConnection](const error_code& aError) {
      const auto run = self.lock();
      if (aError || !run || run->mConnection != aConnection ||
          run->mRequest->HasEnded()) {
        return;
      }
      const auto now = run->mContext.Now();
      if (now < run->mProgressDue) {
        run->CheckProgress(aConnection);
      } else if (run->HasOtherEngine() && run->TryNextEngine()) {
        run->mRetryCharged = true;
        run->mSilentEngine = run->mEngine.mId;
        aConnection->Close();
      } else {
        // There is no other engine to go on at, and this one may still answer.
        run->mProgressDue = now + Duration(run->Patience());
        run->CheckProgress(aConnection);
      }
    });
}

bool
StreamRun::HasOtherEngine()
{
  if (mMoving) {
    return false;
  }
  auto excluded = mExcluded;
  excluded.insert(mEngine.mId);
  return ChooseTarget(
           excluded, mContext.mSettings.mFailureDomain, kOtherDomainPenaltyMs)
    .has_value();
}

bool
StreamRun::ReturnToSilentEngine()
{
  const auto* silent = mContext.mTargets.Find(std::exchange(mSilentEngine, {}));
  if (!silent || silent->mLeaving || mRequest->HasEnded()) {
    return false;
  }
  mExpectedFirstToken =
    ExpectedFirstToken(mContext.mLoad.TotalOn(silent->mTarget.mId), Need());
  SetEngine(silent->mTarget, false);
  mContext.mMetrics.Count("entry_returns_total");
  return true;
}

Milliseconds
StreamRun::Patience() const
{
  return LongestSilence(mRequest->mRoute->mEventGapGoal, mLongestGap);
}

void
StreamRun::RecordProgress(MonotonicTime aNow)
{
  // The gap before the first event of a run says nothing about its engine.
  if (std::exchange(mHasEventOfRun, true)) {
    mLongestGap = std::max(mLongestGap, aNow - mLastEventAt);
  }
  mProgressDue = aNow + Duration(Patience());
}

void
StreamRun::RecordFailure(const error_code& aError)
{
  mRequest->mReason =
    mEngine.mId + ": " + (mRetryCharged ? "no progress" : aError.message());
  mRequest->mAnswerEnd = mRetryCharged ? "silence" : DescribeEnd(aError, false);
}

Task<StreamRun::SendResult>
StreamRun::SendOnce(std::optional<RunMemory> aMemory)
{
  const auto engine = mEngine;
  const InFlight inFlight(mContext.mInFlight[engine.mId]);
  auto connection = co_await mContext.mPool.Acquire(
    engine.mEndpoint, false, mRequest->mCallerHeaders.mId);
  if (!connection) {
    mContext.mHealth.Unreachable(engine.mId, mContext.Now());
    mRequest->mReason = engine.mId + ": cannot connect";
    co_return SendResult::kNotSent;
  }
  if (mRequest->HasEnded()) {
    co_return SendResult::kNotSent;
  }
  if (!mContext.MaySend(
        engine, aMemory.has_value(), mRequest->mCallerHeaders.mId)) {
    mRequest->mReason = engine.mId + ": wants no requests";
    co_return SendResult::kNotSent;
  }
  if (!aMemory) {
    mBlock =
      mContext.mCrashWatch.FindAtSend(mRequest->mCallerHeaders.mPromptParts);
    if (mBlock) {
      mContext.mPool.Release(std::move(connection), 0);
      co_return SendResult::kNotSent;
    }
  }
  mConnection = connection;
  auto headers =
    MakeTargetRequestHeaders(*mRequest, engine.mId, mContext.Now());
  headers.mMemory = std::move(aMemory);
  headers.mLastEventId = mLastEventId;
  auto request = MakeTargetRequest(mRequest, mContext.mCodec, headers);
  mSentAt = mContext.Now();
  mWritingSince.reset();
  mWriteTime = Duration(0);
  mSoundRecorded = false;
  connection->mStream.expires_never();
  WatchProgress(connection,
                mSentAt + FirstTokenTimeout(mExpectedFirstToken,
                                            mRequest->mRoute->mLatencyGoal));
  connection->Send(std::move(request));
  std::unique_ptr<AnswerReader> reader;
  const auto ec = co_await ReadAnswerHeader(mContext,
                                            engine,
                                            connection,
                                            mRequest->mCallerHeaders.mId,
                                            AnswerReader::Request::kOther,
                                            reader);
  if (ec) {
    connection->Close();
    if (!mRequest->HasEnded()) {
      RecordFailure(ec);
      mContext.mHealth.Failed(engine.mId, mContext.Now());
    }
    co_return SendResult::kBroken;
  }
  const auto& header = reader->Head();
  const auto responseHeaders =
    mContext.mCodec.ReadTargetResponseHeaders(header);
  const auto type = header[http::field::content_type];
  const bool isStream = header.result() == http::status::ok &&
                        type.find("text/event-stream") != type.npos;
  if (!isStream) {
    co_return co_await ReadPlain(connection, std::move(reader));
  }
  if (!responseHeaders.mSigned ||
      header.count(http::field::content_encoding) > 0) {
    connection->Close();
    mRequest->mReason = engine.mId + ": not the engine's answer";
    co_return SendResult::kBroken;
  }
  if (!mCaller.HasHead()) {
    http::response<http::empty_body> head;
    head.version(11);
    head.result(header.result_int());
    head.reason(header.reason());
    CopyAnswerHeaders(header, head);
    head.set(http::field::transfer_encoding, "chunked");
    if (!mRequest->mRequest.keep_alive() || mContext.mStopping) {
      head.set(http::field::connection, "close");
    }
    mCaller.SetHead(std::move(head));
  }
  co_return co_await RelayEvents(connection, std::move(reader));
}

Task<StreamRun::SendResult>
StreamRun::ReadPlain(TargetConnectionPtr aConnection,
                     std::unique_ptr<AnswerReader> aReader)
{
  std::string body;
  MemoryCharge charge(mContext.mMemory, MemoryUse::kAnswer);
  // aReader shows whether the body is complete.
  const auto ec =
    co_await ReadBody(*aReader, TargetExchange::kMaxAnswerBytes, charge, body);
  mRequest->mAnswerEnd = DescribeEnd(ec, aReader->EndsWithConnection());
  const auto& header = aReader->Head();
  const auto responseHeaders =
    mContext.mCodec.ReadTargetResponseHeaders(header);
  const auto status = header.result_int();
  mConnection.reset();
  const bool notRun = responseHeaders.mNotRun;
  if (notRun) {
    aConnection->mRefused.insert(mRequest->mCallerHeaders.mId);
  }
  mContext.mPool.ReleaseOrClose(aConnection, *aReader);
  if (notRun) {
    mRequest->mReason =
      mEngine.mId + ": not run, status " + std::to_string(status);
    mContext.mHealth.Failed(mEngine.mId, mContext.Now());
    co_return SendResult::kNotRun;
  }
  // This route serves streams only, so any other success is a failure. An error
  // answer cannot be forwarded once the stream to the caller has begun.
  if (!aReader->IsDone() || status < 300 || StatesNotRun(status) ||
      mCaller.HasBegun()) {
    mRequest->mReason =
      mEngine.mId + ": broken answer, status " + std::to_string(status);
    co_return SendResult::kBroken;
  }
  mPlainAnswer = FinalAnswer{ MakeForwardedAnswer(header, std::move(body)),
                              true,
                              std::move(charge) };
  co_return SendResult::kPlain;
}

Task<StreamRun::SendResult>
StreamRun::RelayEvents(TargetConnectionPtr aConnection,
                       std::unique_ptr<AnswerReader> aReader)
{
  EventSplitter events;
  MemoryCharge held(mContext.mMemory, MemoryUse::kEvent);
  bool first = true;
  bool isEnded = false;
  // An engine that continues a stream does so with the next numbered event.
  bool continues = !ParseEventNumber(mLastEventId);
  while (true) {
    while (auto event = events.Next()) {
      const auto now = mContext.Now();
      if (first && event->mHasContent) {
        first = false;
        mWritingSince = now;
        mContext.mLoad.OnPrefillDone(mId);
      }
      // A resumed run may repeat events that the caller already has.
      const auto id = ParseEventNumber(event->mId);
      const auto last = ParseEventNumber(mLastEventId);
      if (id && last && *id <= *last) {
        continue;
      }
      continues = continues || id;
      if (!continues && !event->IsComment()) {
        mRequest->mReason = mEngine.mId + ": not a continuation of the stream";
        mContext.mHealth.Failed(mEngine.mId, now);
        aConnection->Close();
        co_return SendResult::kBroken;
      }
      if (event->mHasContent) {
        RecordProgress(now);
        if (mEvents == 0) {
          mFirstEventAt = now;
          mRequest->mFirstEventMs =
            std::chrono::duration_cast<Milliseconds>(now - mRequest->mArrived)
              .count();
          mContext.mMetrics.Observe("entry_first_event_ms",
                                    now - mRequest->mArrived);
        }
        mLastEventAt = now;
        ++mEvents;
        mRequest->mEvents = mEvents;
        if (!event->mId.empty()) {
          mLastEventId = event->mId;
        }
        mContext.mLoad.OnTokensGenerated(mId, GeneratedTokens());
      }
      const auto size = event->mBytes.size();
      if (!held.Resize(events.HeldBytes() + size)) {
        co_return FailForMemory(*aConnection, "events fill the memory");
      }
      held.SetOnEvict([this] { mCaller.Abort(); });
      const auto ec = co_await mCaller.WriteEvent(std::move(event->mBytes));
      held.SetOnEvict(nullptr);
      held.AddProgress(size);
      if (ec) {
        mRequest->Finish(CallerRequest::End::kCallerGone);
        aConnection->Close();
        co_return SendResult::kCallerGone;
      }
    }
    if (isEnded) {
      break;
    }
    if (events.Size() > kMaxEventBytes) {
      co_return FailForMemory(*aConnection, "event too large");
    }
    if (!held.Resize(events.HeldBytes())) {
      co_return FailForMemory(*aConnection,
                              "incomplete events fill the memory");
    }
    std::string_view part;
    const auto readAt = mContext.Now();
    const auto ec = co_await aReader->ReadPart(part);
    isEnded = !ec && part.empty();
    if (mWritingSince && !ec) {
      mWriteTime += std::min(mContext.Now() - readAt, kLongestCountedRead);
      if (mWriteTime >= CrashWatch::kSoundAfter) {
        RecordSound();
      }
    }
    events.Append(part);
    if (ec) {
      aConnection->Close();
      if (mRequest->HasEnded()) {
        co_return SendResult::kBroken;
      }
      RecordFailure(ec);
      if (!mMoving) {
        mContext.mHealth.Failed(mEngine.mId, mContext.Now());
      }
      co_return SendResult::kBroken;
    }
  }
  mRequest->mAnswerEnd = events.HasPartial()
                           ? "inside_event"
                           : DescribeEnd({}, aReader->EndsWithConnection());
  // An unmarked stream is complete where its connection ends between events,
  // unless the engine was stopped there or the generation had not begun.
  bool brokenOff = events.HasPartial();
  if (!brokenOff && aReader->EndsWithConnection()) {
    aConnection->Close();
    if (mMayBeStopped) {
      co_await WaitForMove();
    }
    if (mMayBeStopped) {
      mRequest->mAnswerEnd = "stopped";
    }
    brokenOff = first || mMayBeStopped;
  }
  if (brokenOff) {
    mRequest->mReason = mEngine.mId + ": stream ended early";
    aConnection->Close();
    co_return SendResult::kBroken;
  }
  if (!aReader->EndsWithConnection()) {
    RecordSound();
  } else if (mWritingSince && !mSoundRecorded && !mMoving) {
    const auto& headers = mRequest->mCallerHeaders;
    mContext.mCrashWatch.OnUnmarkedEnd(
      mEngine, headers.mId, headers.mPromptParts, *mWritingSince);
  }
  mContext.mHealth.Succeeded(mEngine.mId, mFirstEventAt - mSentAt);
  mConnection.reset();
  mContext.mPool.ReleaseOrClose(aConnection, *aReader);
  const auto ec = co_await mCaller.Complete();
  co_return ec ? SendResult::kCallerGone : SendResult::kComplete;
}

StreamRun::SendResult
StreamRun::FailForMemory(TargetConnection& aConnection, const char* aReason)
{
  mContext.mMetrics.Count("entry_oversized_events_total");
  mRequest->mReason = mEngine.mId + ": " + aReason;
  aConnection.Close();
  return SendResult::kBroken;
}

std::optional<DepartingRun>
StreamRun::Departing() const
{
  if (mMoving || !mLimits || !mLimits->mCanCopyMemory || mRequest->HasEnded()) {
    return std::nullopt;
  }
  // Time per token of a loaded engine; used until the run's own is known.
  constexpr double kDefaultMsPerToken = 10;
  constexpr double kMicrosecondsPerMs = 1000;
  const auto& headers = mRequest->mCallerHeaders;
  const auto generated = GeneratedTokens();
  const auto expected =
    headers.mExpectedOutputTokens > 0
      ? std::min(headers.mMaxOutputTokens, headers.mExpectedOutputTokens)
      : headers.mMaxOutputTokens;
  // A run that has exceeded its estimate may continue up to its limit.
  const auto remaining = generated < expected
                           ? expected - generated
                           : headers.mMaxOutputTokens - generated;
  double msPerToken = kDefaultMsPerToken;
  if (mEvents > 1) {
    msPerToken = static_cast<double>((mLastEventAt - mFirstEventAt).count()) /
                 kMicrosecondsPerMs / static_cast<double>(generated);
  }
  DepartingRun run;
  run.mEngine = mEngine.mId;
  run.mHost = mContext.mSettings.mPeers.mAddress;
  run.mRun = mId;
  run.mTokens = headers.mPromptTokens + generated;
  const auto need = Need();
  run.mNeededTokens = need.mPromptTokens + need.mOutputTokens;
  run.mRemainingMs =
    static_cast<std::int64_t>(static_cast<double>(remaining) * msPerToken);
  run.mValue = std::max(expected, generated);
  return run;
}

std::optional<RunningStream>
StreamRun::Running() const
{
  if (mMoving || mEvents == 0 || !mConnection || mRequest->HasEnded()) {
    return std::nullopt;
  }
  return RunningStream{ mEngine.mId, mLastEventAt };
}

bool
StreamRun::CopyEndsInTime(const Target& aTo) const
{
  const double ms =
    CopyMsPerToken(*mLimits) *
    static_cast<double>(mRequest->mCallerHeaders.mPromptTokens +
                        GeneratedTokens()) *
    (aTo.mFailureDomain == mEngine.mFailureDomain ? 1 : kOtherDomainCopyFactor);
  return mContext.Now() +
           Duration(Milliseconds(static_cast<std::int64_t>(ms))) <
         mPlan.mLatestStop;
}

void
StreamRun::StartMove(MovePlan aPlan)
{
  if (mMoving) {
    return;
  }
  mMoving = true;
  mPlan = std::move(aPlan);
  mContext.Spawn("move", [](std::shared_ptr<StreamRun> aSelf) -> Task<void> {
    const MoveEnd end(*aSelf);
    co_await aSelf->Move();
  }(shared_from_this()));
}

void
StreamRun::NotifyFirstCopyDone()
{
  if (const auto onCopied = std::exchange(mPlan.mOnCopied, nullptr)) {
    onCopied();
  }
}

void
StreamRun::ReleaseMoveReservation()
{
  mContext.mLoad.End(mMoveReservationId);
}

Task<void>
StreamRun::SleepUntil(MonotonicTime aTime)
{
  const auto now = mContext.Now();
  if (now >= aTime) {
    co_return;
  }
  co_await SleepFor(mContext.mIo, aTime - now);
}

Task<void>
StreamRun::Move()
{
  // A copy to another failure domain takes twice as long and delays the copies
  // that are queued after it.
  constexpr double kOtherDomainCopyPenaltyMs = 400;
  co_await SleepUntil(mPlan.mFirstCopyAt);
  auto excluded = mExcluded;
  excluded.insert(mEngine.mId);
  for (int i = 0; i < kMaxDestinations && !mRequest->HasEnded(); ++i) {
    const auto* planned =
      i == 0 ? mContext.mTargets.Find(mPlan.mDestination) : nullptr;
    const auto to = planned && mContext.IsOpen(*planned)
                      ? std::optional(planned->mTarget)
                      : ChooseTarget(excluded,
                                     mEngine.mFailureDomain,
                                     kOtherDomainCopyPenaltyMs);
    if (!to) {
      mContext.mLog.Write(
        "move_without_room",
        { { "id", mRequest->mCallerHeaders.mId }, { "engine", mEngine.mId } });
      co_return;
    }
    const auto need = Need();
    mContext.mLoad.Start(
      mMoveReservationId,
      { to->mId, need.mPromptTokens, need.mOutputTokens, true });
    if (!co_await CopyTo(*to)) {
      co_return;
    }
    ReleaseMoveReservation();
    excluded.insert(to->mId);
  }
}

Task<bool>
StreamRun::CopyTo(Target aTo)
{
  const auto source = mEngine;
  bool last = false;
  while (!mRequest->HasEnded() && mConnection) {
    if (!mContext.MaySend(aTo, false, mRequest->mCallerHeaders.mId)) {
      co_return true;
    }
    if (!last && !CopyEndsInTime(aTo)) {
      // The copy would delay the last copies of other runs.
      mContext.mLog.Write("move_too_late",
                          { { "id", mRequest->mCallerHeaders.mId },
                            { "from", source.mId },
                            { "to", aTo.mId } });
      co_return false;
    }
    const auto began = mContext.Now();
    const bool mightBeStopped = mMayBeStopped;
    mMayBeStopped = mMayBeStopped || last;
    auto reply = co_await mContext.mCalls.Call(
      source.mEndpoint,
      mContext.mCodec.MoveCall(
        mRequest->mCallerHeaders.mId, aTo.mEndpoint, last),
      kCopyTimeout);
    mContext.mLog.Write(
      "move_call",
      { { "id", mRequest->mCallerHeaders.mId },
        { "from", source.mId },
        { "to", aTo.mId },
        { "same_domain", source.mFailureDomain == aTo.mFailureDomain },
        { "last", last },
        { "took_ms",
          std::chrono::duration_cast<Milliseconds>(mContext.Now() - began)
            .count() },
        { "status", reply ? reply.value().mStatus : 0 },
        { "why", reply ? reply.value().mBody : reply.error().mMessage } });
    if (!reply) {
      co_return false;
    }
    const auto status = reply.value().mStatus;
    mContext.RecordNotices(
      source,
      status,
      mContext.mCodec.ReadTargetResponseHeaders(reply.value().mHeaders));
    if (status == kStatusOk && !last) {
      last = true;
      mMayBeStopped = false;
      NotifyFirstCopyDone();
      while (!mRequest->HasEnded() && mConnection && !mPlan.mMayStop() &&
             mContext.Now() < mPlan.mLatestStop) {
        co_await SleepUntil(mContext.Now() + Duration(kStopPoll));
      }
      continue;
    }
    if (status == kStatusOk || (last && status == kStatusUnavailable)) {
      auto move = mContext.mCodec.ReadMove(reply.value().mBody);
      if (!move) {
        // Without a handle the run goes on at its engine: the destination has
        // gone since the first copy, and another one may still be reached.
        mMayBeStopped = mightBeStopped || status == kStatusOk;
        co_return status != kStatusOk;
      }
      // If the destination has no room, the source keeps the memory.
      mMoved = MovedRun{ { source.mEndpoint, move.value().mHandle },
                         status == kStatusOk ? aTo : source };
      co_return false;
    }
    if (status == kStatusNotFound || status == kStatusConflict) {
      // The engine still processes the prompt, has completed the run, or makes
      // another copy; the other runs do not wait for this one.
      mMayBeStopped = mightBeStopped;
      NotifyFirstCopyDone();
      if (status == kStatusNotFound && last) {
        co_return false;
      }
      co_await SleepUntil(mContext.Now() + Duration(kMoveRetry));
      continue;
    }
    co_return true;
  }
  co_return false;
}

Task<void>
StreamRun::WaitForMove()
{
  const auto until = mContext.Now() + kMoveTimeout;
  while (mMoving && !mMoved && !mRequest->HasEnded() &&
         mContext.Now() < until) {
    mSignal.expires_after(
      std::chrono::duration_cast<Milliseconds>(until - mContext.Now()));
    error_code ec;
    co_await mSignal.async_wait(RedirectError(ec));
  }
}

Task<std::optional<StreamRun::MovedRun>>
StreamRun::AwaitMove()
{
  co_await WaitForMove();
  co_return std::exchange(mMoved, std::nullopt);
}

Task<StreamRun::SendResult>
StreamRun::ResumeAfterMove(MovedRun aMoved)
{
  const auto source = mEngine;
  SetEngine(aMoved.mDestination, true);
  mMayBeStopped = false;
  ReleaseMoveReservation();
  mContext.mMetrics.Count("entry_moves_total");
  auto sent = co_await SendOnce(aMoved.mMemory);
  if ((sent == SendResult::kNotSent || sent == SendResult::kNotRun) &&
      aMoved.mDestination.mId != source.mId && !mRequest->HasEnded()) {
    // Nothing has run, so the handle may still be valid at the source.
    SetEngine(source, true);
    sent = co_await SendOnce(aMoved.mMemory);
  }
  // The run was stopped, so the request has run whatever the engines state now.
  co_return sent == SendResult::kNotRun || sent == SendResult::kNotSent
    ? SendResult::kBroken
    : sent;
}

} // namespace ragwortdeck
