#include "Filters/RelaySession.h"

#include "Core/HttpStatus.h"
#include "Core/Log.h"
#include "Filters/ResponseId.h"

#include <QJsonDocument>
#include <utility>

namespace ragwortdeck {

namespace {

const Log kLog("relay");

/// The dispatcher hears of tokens in groups of this size, so that its lock is
/// not taken for each token.
constexpr std::uint32_t kTokensPerReport = 16;
/// How long a finished stream may take to read the end of its reply.
constexpr Duration kReleaseTime{ 1'000'000 };

std::string
ToCompact(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString();
}

std::string_view
OutcomeOf(const RelayEnd& aEnd)
{
  switch (aEnd.mKind) {
    case RelayEndKind::kCompleted:
      return "completed";
    case RelayEndKind::kCallerGone:
      return "caller_gone";
    default:
      return aEnd.mVerdict.mCode;
  }
}

} // namespace

RelaySession::RelaySession(RequestEnvironment& aEnvironment,
                           RequestContext aContext,
                           OnOver aOnOver)
  : mEnvironment(aEnvironment)
  , mContext(std::move(aContext))
  , mOnOver(std::move(aOnOver))
  , mRelay(aEnvironment.mScheduler,
           aEnvironment.mShared.mSettings.mLimits.mRelay,
           mContext.mDeadline,
           MakeHooks())
{
  mEnvironment.mMetrics.OnStreams(1);
  mContext.mExchange->SetOnGone([this] { mRelay.OnCallerGone(); });
  mContext.mExchange->SetOnPaused([this](bool aPaused) {
    mRelay.SetPaused(aPaused);
    if (mStream) {
      mStream->SetPaused(aPaused);
    }
  });
}

RelaySession::~RelaySession()
{
  CloseStream();
  FinishTicket(DispatchOutcome::kCancelled);
  mEnvironment.mMetrics.OnStreams(-1);
}

StreamRelay::Hooks
RelaySession::MakeHooks()
{
  StreamRelay::Hooks hooks;
  hooks.mOpen = [this](const Attempt& aAttempt,
                       bool aIsNew,
                       std::optional<std::int64_t> aStartingAfter) {
    Open(aAttempt, aIsNew, aStartingAfter);
  };
  hooks.mClose = [this] { CloseStream(); };
  hooks.mCancel = [this](const Attempt& aAttempt) { Cancel(aAttempt); };
  hooks.mDeliver = [this](const Attempt& aAttempt, const EngineEvent& aEvent) {
    Deliver(aAttempt, aEvent);
  };
  hooks.mReplace = [this](DispatchOutcome aOutcome) {
    return Replace(aOutcome);
  };
  hooks.mEnd = [this](const RelayEnd& aEnd) { OnEnd(aEnd); };
  hooks.mMakeEngineId = [this](std::uint32_t aAttempt) {
    return "resp_" + mContext.mId.Value() + "-" + std::to_string(aAttempt);
  };
  return hooks;
}

void
RelaySession::Record(EventType aType, std::string_view aVerdict) const
{
  const auto& attempt = mRelay.Current();
  EventFields fields;
  fields.mType = aType;
  fields.mRequest = mContext.mId.Value();
  fields.mTarget = attempt.mTarget.Value();
  fields.mAttempt = attempt.mNumber;
  fields.mVerdict = aVerdict;
  mEnvironment.mShared.mRecorder.Record(fields);
}

void
RelaySession::StartNew()
{
  Record(EventType::kRequestQueued);
  Submit();
}

void
RelaySession::StartExisting()
{
  mRelay.Resume(mContext.mExisting, mContext.mStartingAfter);
}

bool
RelaySession::Submit()
{
  const std::weak_ptr<RelaySession> weak = weak_from_this();
  const auto ticket = std::make_shared<Ticket>(0);
  *ticket = mEnvironment.mShared.mHub.Submit(
    mContext.mTraits,
    &mEnvironment.mThreadContext,
    [weak, ticket](const DispatchDecision& aDecision) {
      if (const auto self = weak.lock()) {
        self->OnDecision(*ticket, aDecision);
      }
    });
  mTicket = *ticket;
  return true;
}

void
RelaySession::OnDecision(Ticket aTicket, const DispatchDecision& aDecision)
{
  // A decision can cross with the end of the request, whose ticket has then
  // been cancelled already.
  if (aTicket != mTicket || mRelay.IsEnded()) {
    return;
  }
  if (const auto* refusal = std::get_if<Verdict>(&aDecision)) {
    mTicket = 0;
    mRelay.OnRefused(*refusal);
    return;
  }
  mIsDispatched = true;
  const auto& target = std::get<TargetId>(aDecision);
  mRelay.Start(target, FirstTokenLimit());
  Record(EventType::kRequestDispatched);
}

Duration
RelaySession::FirstTokenLimit() const
{
  const Duration fixed = mEnvironment.mShared.mSettings.mLimits.mFirstToken;
  return fixed.count() > 0
           ? fixed
           : mEnvironment.mShared.mHub.Limits(mTicket).mFirstToken;
}

std::string
RelaySession::EngineBody(const Attempt& aAttempt) const
{
  auto body = mContext.mBody;
  body["stream"] = true;
  body["request_id"] = QString::fromStdString(aAttempt.mEngineId);
  body["max_output_tokens"] = qint64(mContext.mTraits.mMaxOutputTokens);
  body["priority"] = qint64(mContext.mTraits.mPriority);
  return ToCompact(body);
}

void
RelaySession::Open(const Attempt& aAttempt,
                   bool aIsNew,
                   std::optional<std::int64_t> aStartingAfter)
{
  CloseStream();
  if (!aIsNew) {
    Record(EventType::kStreamResumed);
  }
  const auto view = mEnvironment.mShared.mView.Read();
  const auto found = view->mTargets.find(aAttempt.mTarget);
  if (found == view->mTargets.end()) {
    // The host list no longer has the target, so nothing can be read from it.
    mEnvironment.mScheduler.Post(Duration::zero(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->mRelay.OnStreamEnd({ StreamEndKind::kRefused, 0, "" });
      }
    });
    return;
  }
  EngineRequest request;
  request.mMemory = &mEnvironment.mShared.mMemory;
  request.mAddress = found->second.mAddress;
  request.mConnectTimeout = mEnvironment.mShared.mSettings.mLimits.mConnect;
  if (aIsNew) {
    request.mBody = EngineBody(aAttempt);
  } else {
    request.mEngineId = aAttempt.mEngineId;
    request.mStartingAfter = aStartingAfter;
  }
  // The stream is closed before this object goes, so the hooks can use it.
  mStream = EngineStream::Open(
    mEnvironment.mCurl,
    request,
    [this](EngineEvent&& aEvent) { mRelay.OnEvent(std::move(aEvent)); },
    [this](const StreamEnd& aEnd) { mRelay.OnStreamEnd(aEnd); });
  mStream->SetOnBatch([this] { mContext.mExchange->Flush(); });
}

void
RelaySession::CloseStream()
{
  if (const auto stream = std::exchange(mStream, nullptr)) {
    stream->Close();
  }
}

void
RelaySession::Cancel(const Attempt& aAttempt)
{
  mEnvironment.mMetrics.OnCancelled();
  Record(EventType::kRequestCancelled);
  mEnvironment.mCancels.Add(aAttempt);
}

bool
RelaySession::Replace(DispatchOutcome aOutcome)
{
  kLog.Info(mContext.mId.Value() + ": attempt " +
            std::to_string(mRelay.Current().mNumber) + " on " +
            mRelay.Current().mTarget.Value() +
            " failed before its first token");
  FinishTicket(aOutcome);
  if (!mEnvironment.mShared.mHub.TryRetry(mContext.mTraits)) {
    return false;
  }
  mContext.mTraits.mExcluded.push_back(mRelay.Current().mTarget);
  return Submit();
}

const std::string&
RelaySession::CallerId(const Attempt& aAttempt)
{
  if (mCallerId.empty()) {
    mCallerId = EncodeResponseId({ aAttempt, mContext.mTeam },
                                 mEnvironment.mShared.mKeys);
  }
  return mCallerId;
}

HttpHeaders
RelaySession::Headers() const
{
  return { { "X-Request-Id", mContext.mId.Value() } };
}

void
RelaySession::Deliver(const Attempt& aAttempt, const EngineEvent& aEvent)
{
  mNextSequence = aEvent.mSequence + 1;
  if (aEvent.mKind == EngineEventKind::kToken) {
    CountToken();
  }
  auto& exchange = *mContext.mExchange;
  if (!mContext.mStreams) {
    mLast = aEvent;
    return;
  }
  if (!exchange.IsStreaming()) {
    // The answer is bound, so the request is not sent again.
    mContext.mBody = {};
    mContext.mRequest = {};
    mContext.mTraits.mPrefixHashes = {};
    exchange.BeginStream(Headers());
  }
  if (aEvent.mResponseId.empty()) {
    exchange.Append(ToSse(aEvent.mType, aEvent.mData));
  } else {
    const auto data = WithResponseId(aEvent, CallerId(aAttempt));
    exchange.Append(ToSse(aEvent.mType, data));
  }
}

void
RelaySession::CountToken()
{
  const auto now = mEnvironment.mScheduler.Now();
  const auto stall = mEnvironment.mShared.mSettings.mLimits.mStallThreshold;
  if (mTokens == 0) {
    Record(EventType::kFirstToken);
    if (mContext.mRoute == Route::kCreateResponse) {
      mEnvironment.mMetrics.OnFirstToken(now - mContext.mArrived);
    }
  } else {
    mEnvironment.mMetrics.OnToken(now - mLastToken, stall);
    if (now - mLastToken > stall) {
      Record(EventType::kStreamStalled);
    }
  }
  mLastToken = now;
  ++mTokens;
  ReportTokens(mTokens == 1);
}

void
RelaySession::ReportTokens(bool aAll)
{
  const auto fresh = mTokens - mReportedTokens;
  if (!mIsDispatched || fresh == 0 || (!aAll && fresh < kTokensPerReport)) {
    return;
  }
  mReportedTokens = mTokens;
  mEnvironment.mShared.mHub.OnTokens(mTicket, fresh);
}

void
RelaySession::FinishTicket(DispatchOutcome aOutcome)
{
  ReportTokens(true);
  const auto ticket = std::exchange(mTicket, 0);
  if (ticket == 0) {
    return;
  }
  if (std::exchange(mIsDispatched, false)) {
    mEnvironment.mShared.mHub.OnFinished(ticket, aOutcome);
  } else {
    mEnvironment.mShared.mHub.Cancel(ticket);
  }
}

void
RelaySession::OnEnd(const RelayEnd& aEnd)
{
  auto& metrics = mEnvironment.mMetrics;
  metrics.OnResumed(mRelay.Resumes());
  Record(EventType::kRequestFinished, OutcomeOf(aEnd));
  metrics.OnEnded(std::string(OutcomeOf(aEnd)));
  switch (aEnd.mKind) {
    case RelayEndKind::kCompleted:
      FinishTicket(DispatchOutcome::kCompleted);
      Complete();
      break;
    case RelayEndKind::kCallerGone:
      FinishTicket(DispatchOutcome::kCancelled);
      break;
    case RelayEndKind::kGenerationLost:
    case RelayEndKind::kDeadlineExceeded:
      FinishTicket(DispatchOutcome::kTargetStalled);
      EndWithFailure(aEnd);
      break;
    case RelayEndKind::kFailed:
      FinishTicket(DispatchOutcome::kTargetFailed);
      mContext.mExchange->Refuse(aEnd.mVerdict, Headers());
      break;
  }
  // The relay calls this as its last step, but its callers are still running.
  mEnvironment.mScheduler.Post(
    Duration::zero(), [self = shared_from_this()] { self->mOnOver(*self); });
}

void
RelaySession::Complete()
{
  if (const auto stream = std::exchange(mStream, nullptr)) {
    stream->Release();
    mEnvironment.mScheduler.Post(kReleaseTime, [stream] { stream->Close(); });
  }
  if (mContext.mStreams) {
    mContext.mExchange->EndStream();
  } else {
    CompleteWhole();
  }
}

void
RelaySession::CompleteWhole()
{
  const auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(mLast.mData)).object();
  auto response = object["response"].toObject();
  if (response.isEmpty()) {
    mContext.mExchange->Refuse({ RunState::kMayHaveRun,
                                 kStatusBadGateway,
                                 "target_failed",
                                 "The engine ended the answer with an error.",
                                 std::chrono::milliseconds(0) },
                               Headers());
    return;
  }
  response["id"] = QString::fromStdString(CallerId(mRelay.Current()));
  mContext.mExchange->Reply(
    kStatusOk, "application/json", ToCompact(response), Headers());
}

void
RelaySession::EndWithFailure(const RelayEnd& aEnd)
{
  auto& exchange = *mContext.mExchange;
  kLog.Warning(Describe() + ": " + aEnd.mVerdict.mCode);
  const bool isRead =
    mContext.mRoute == Route::kReadResponse && mContext.mStreams;
  if (isRead && !exchange.IsStreaming()) {
    if (mContext.mStartingAfter) {
      mNextSequence = *mContext.mStartingAfter + 1;
    }
    exchange.BeginStream(Headers());
  }
  if (!exchange.IsStreaming()) {
    exchange.Refuse(aEnd.mVerdict, Headers());
    return;
  }
  exchange.Append(ToSse("response.failed", FailedEvent(aEnd.mVerdict)));
  exchange.EndStream();
}

std::string
RelaySession::FailedEvent(const Verdict& aVerdict)
{
  const QJsonObject error{
    { "code", QString::fromStdString(aVerdict.mCode) },
    { "message", QString::fromStdString(aVerdict.mMessage) },
    { "verdict", ToText(aVerdict.mState) },
  };
  const QJsonObject response{
    { "id", QString::fromStdString(CallerId(mRelay.Current())) },
    { "object", "response" },
    { "status", "failed" },
    { "error", error },
  };
  return ToCompact({ { "type", "response.failed" },
                     { "sequence_number", qint64(mNextSequence) },
                     { "response", response } });
}

void
RelaySession::CutOff()
{
  if (mRelay.IsEnded()) {
    return;
  }
  auto& exchange = *mContext.mExchange;
  exchange.SetOnGone(nullptr);
  if (exchange.IsStreaming()) {
    Record(EventType::kRequestFinished, "cut_off");
    CloseStream();
    FinishTicket(DispatchOutcome::kCancelled);
    exchange.Flush();
    return;
  }
  Record(EventType::kRequestFinished, "shutting_down");
  if (mContext.mRoute == Route::kReadResponse) {
    // The caller has the id and can read the generation on another host.
    CloseStream();
  } else {
    mRelay.OnCallerGone();
  }
  auto verdict =
    Refusal(kStatusUnavailable, "shutting_down", "This host is shutting down.");
  verdict.mState =
    mRelay.MayHaveRun() ? RunState::kMayHaveRun : RunState::kNotRun;
  exchange.Refuse(verdict, Headers());
}

std::string
RelaySession::Describe() const
{
  return mContext.mId.Value() + " of team " + mContext.mTeam.Value() + " on " +
         mRelay.Current().mTarget.Value() + ", " + std::to_string(mTokens) +
         " tokens delivered";
}

} // namespace ragwortdeck
