#include "Filters/ServiceCaller.h"

#include "Core/HttpStatus.h"
#include "Filters/ServiceTransport.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 500 };

/// A look-up is repeated after these, because another target may answer.
bool
IsRetryable(const TransferEnd& aEnd)
{
  return aEnd.mKind != TransferEndKind::kReplied ||
         aEnd.mStatus == kStatusBadGateway ||
         aEnd.mStatus == kStatusUnavailable || aEnd.mStatus == kStatusTimeout;
}

Verdict
NoTarget(const std::string& aService)
{
  auto verdict =
    Refusal(kStatusUnavailable,
            "no_target",
            "No target of service '" + aService + "' is available.");
  verdict.mRetryAfter = kRetryAfter;
  return verdict;
}

Verdict
TooLarge()
{
  return { RunState::kRan,
           kStatusBadGateway,
           "reply_too_large",
           "The service's reply exceeds " +
             std::to_string(ReplyBuffer::kMaxBytes) + " bytes.",
           std::chrono::milliseconds(0) };
}

/// True when no connection was established, so nothing was sent.
bool
WasNotSent(TransferEndKind aKind)
{
  return aKind == TransferEndKind::kRefused ||
         aKind == TransferEndKind::kNotConnected;
}

} // namespace

ServiceCaller::ServiceCaller(RequestEnvironment& aEnvironment,
                             RequestContext aContext,
                             RandomSource aRandom)
  : mEnvironment(aEnvironment)
  , mContext(std::move(aContext))
  , mRandom(aRandom)
{
}

HttpCall
ServiceCaller::MakeCall(const Target& aTarget) const
{
  const auto& request = mContext.mRequest;
  HttpCall call;
  call.mMethod = request.mIsPost ? "POST" : "GET";
  call.mUrl = "http://" + aTarget.mAddress + "/v1/services/" +
              mContext.mService + "/" + mContext.mOperation;
  if (!request.mQuery.empty()) {
    call.mUrl += "?" + request.mQuery;
  }
  call.mHeaders = { "X-Ragwort-Team: " + mContext.mTeam.Value(),
                    "X-Request-Id: " + mContext.mId.Value() };
  if (!request.mIdempotencyKey.empty()) {
    call.mHeaders.push_back("Idempotency-Key: " + request.mIdempotencyKey);
  }
  if (call.mMethod == "POST") {
    call.mBody = request.mBody;
    call.mHeaders.emplace_back("Content-Type: application/json");
  }
  const auto& phases = mEnvironment.mShared.mSettings.mLimits;
  call.mConnectTimeout = phases.mConnect;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    mContext.mDeadline - mEnvironment.mScheduler.Now());
  call.mTimeout =
    std::max(std::chrono::milliseconds(1), std::min(phases.mService, left));
  return call;
}

void
ServiceCaller::StartLookUp()
{
  mEnvironment.mShared.mRetries.OnRequest();
  if (!TryLookUp()) {
    Refuse(NoTarget(mContext.mService));
    return;
  }
  ArmHedge();
}

bool
ServiceCaller::TryLookUp()
{
  const auto* target =
    ChooseServiceTarget(*mContext.mView, mContext.mService, mTried, mRandom);
  if (!target) {
    return false;
  }
  mTried.push_back(target->mId);
  ++mAttempts;
  const auto call = mCalls.emplace(mCalls.end(), mEnvironment.mShared.mMemory);
  // The transfer keeps this object until it ends.
  call->mTransfer = mEnvironment.mCurl.Start(
    MakeCall(*target),
    [call](std::string_view aBytes) { call->mReply.Append(aBytes); },
    [self = shared_from_this(), call](const TransferEnd& aEnd) {
      self->OnLookUpEnd(call, aEnd);
    });
  return true;
}

void
ServiceCaller::ArmHedge()
{
  const auto& phases = mEnvironment.mShared.mSettings.mLimits;
  if (phases.mHedge.count() == 0) {
    return;
  }
  mHedge =
    mEnvironment.mScheduler.After(phases.mHedge, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->mIsDone &&
          self->mEnvironment.mShared.mRetries.TrySpend()) {
        self->TryLookUp();
      }
    });
}

void
ServiceCaller::OnLookUpEnd(std::list<InFlight>::iterator aCall,
                           const TransferEnd& aEnd)
{
  if (mIsDone) {
    return;
  }
  if (aCall->mReply.IsTooLarge()) {
    Refuse(TooLarge());
    return;
  }
  if (!IsRetryable(aEnd)) {
    mIsDone = true;
    const auto reply = std::move(aCall->mReply);
    // Abandons a slower hedged call.
    mCalls.clear();
    mEnvironment.mMetrics.OnEnded("completed");
    Record(EventType::kRequestFinished, "completed");
    mContext.mExchange->Reply(aEnd.mStatus,
                              "application/json",
                              reply.Bytes(),
                              { { "X-Ragwort-Verdict", ToText(RunState::kRan) },
                                { "X-Request-Id", mContext.mId.Value() } });
    return;
  }
  mMayHaveRun = mMayHaveRun || !WasNotSent(aEnd.mKind);
  mCalls.erase(aCall);
  if (!mCalls.empty()) {
    return;
  }
  const auto& shared = mEnvironment.mShared;
  const bool hasTime = mEnvironment.mScheduler.Now() < mContext.mDeadline;
  const bool mayRetry = hasTime && mContext.mExchange->IsOpen() &&
                        mAttempts < shared.mSettings.mLimits.mServiceAttempts;
  if (mayRetry && mEnvironment.mShared.mRetries.TrySpend() && TryLookUp()) {
    return;
  }
  const bool isLate = !hasTime || aEnd.mKind == TransferEndKind::kTimedOut;
  Refuse({ mMayHaveRun ? RunState::kMayHaveRun : RunState::kNotRun,
           isLate ? kStatusTimeout : kStatusBadGateway,
           isLate ? "deadline_exceeded" : "target_failed",
           "The service did not answer.",
           kRetryAfter });
}

void
ServiceCaller::StartAction()
{
  Record(EventType::kActionIntent, {});
  const auto& request = mContext.mRequest;
  const ActionCall call{ mContext.mTeam,
                         mContext.mService + "/" + mContext.mOperation,
                         request.mIdempotencyKey,
                         "application/json",
                         request.mBody };
  auto* context = &mEnvironment.mThreadContext;
  // Other threads hold only the box, so that this object is destroyed on its
  // own thread, whichever copy of the callback goes last.
  auto box =
    std::make_shared<std::shared_ptr<ServiceCaller>>(shared_from_this());
  mEnvironment.mShared.mActionHook(
    call, [box, context](const ActionResult& aResult) {
      QMetaObject::invokeMethod(
        context,
        [box, aResult] {
          const auto self = std::exchange(*box, nullptr);
          self->FinishAction(aResult);
        },
        Qt::QueuedConnection);
    });
}

void
ServiceCaller::FinishAction(const ActionResult& aResult)
{
  if (mIsDone) {
    return;
  }
  Record(EventType::kActionOutcome, ToText(aResult.mVerdict.mState));
  if (aResult.mVerdict.mState != RunState::kRan) {
    Refuse(aResult.mVerdict);
    return;
  }
  mIsDone = true;
  mEnvironment.mMetrics.OnEnded("completed");
  Record(EventType::kRequestFinished, "completed");
  auto headers = VerdictHeaders(aResult.mVerdict);
  headers.emplace_back("X-Request-Id", mContext.mId.Value());
  const auto& outcome = aResult.mOutcome;
  mContext.mExchange->Reply(
    outcome.mStatus, outcome.mContentType, outcome.mBody, std::move(headers));
}

void
ServiceCaller::Record(EventType aType, std::string_view aVerdict) const
{
  const auto detail = mContext.mService + "/" + mContext.mOperation;
  EventFields fields;
  fields.mType = aType;
  fields.mRequest = mContext.mId.Value();
  fields.mAttempt = std::uint32_t(mAttempts);
  fields.mVerdict = aVerdict;
  fields.mDetail = detail;
  mEnvironment.mShared.mRecorder.Record(fields);
}

void
ServiceCaller::Refuse(const Verdict& aVerdict)
{
  mIsDone = true;
  mCalls.clear();
  mEnvironment.mMetrics.OnEnded(aVerdict.mCode);
  Record(EventType::kRequestFinished, aVerdict.mCode);
  mContext.mExchange->Refuse(aVerdict,
                             { { "X-Request-Id", mContext.mId.Value() } });
}

} // namespace ragwortdeck
