#include "Filters/ServiceCaller.h"

#include "Filters/ClassifyFilter.h"

#include <QPointer>
#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
constexpr int kFirstErrorStatus = 300;
constexpr std::chrono::milliseconds kRetryAfter{ 500 };
constexpr std::size_t kMaxReplyBytes = 8 << 20;

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
           "The service's reply exceeds " + std::to_string(kMaxReplyBytes) +
             " bytes.",
           std::chrono::milliseconds(0) };
}

ServiceReplyKind
ToReplyKind(TransferEndKind aKind)
{
  switch (aKind) {
    case TransferEndKind::kReplied:
      return ServiceReplyKind::kReplied;
    case TransferEndKind::kRefused:
    case TransferEndKind::kNotConnected:
      return ServiceReplyKind::kNotSent;
    case TransferEndKind::kTimedOut:
    case TransferEndKind::kDropped:
      break;
  }
  return ServiceReplyKind::kUnknown;
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

void
ServiceCaller::Collect(std::string_view aBytes, InFlight& aCall)
{
  if (aCall.mReply.size() + aBytes.size() > kMaxReplyBytes) {
    aCall.mIsTooLarge = true;
    return;
  }
  aCall.mReply += aBytes;
}

const Target*
ServiceCaller::ChooseTarget()
{
  std::vector<const Target*> fresh;
  std::vector<const Target*> all;
  for (const auto& [id, target] : mContext.mView->mTargets) {
    if (target.mState != TargetState::kLive ||
        !OffersService(target, mContext.mService)) {
      continue;
    }
    all.push_back(&target);
    if (std::find(mTried.begin(), mTried.end(), id) == mTried.end()) {
      fresh.push_back(&target);
    }
  }
  const auto& choice = fresh.empty() ? all : fresh;
  return choice.empty() ? nullptr : choice[mRandom.Below(choice.size())];
}

HttpCall
ServiceCaller::MakeCall(const Target& aTarget, bool aIsQuery) const
{
  const auto& request = mContext.mRequest;
  HttpCall call;
  call.mMethod = request.mIsPost && !aIsQuery ? "POST" : "GET";
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
  const auto& phases = mEnvironment.mShared.mSettings.mPhases;
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
  const auto* target = ChooseTarget();
  if (!target) {
    return false;
  }
  mTried.push_back(target->mId);
  ++mAttempts;
  const auto call = mCalls.emplace(mCalls.end());
  // The transfer keeps this object until it ends.
  call->mTransfer = mEnvironment.mCurl.Start(
    MakeCall(*target, false),
    [call](std::string_view aBytes) { Collect(aBytes, *call); },
    [self = shared_from_this(), call](const TransferEnd& aEnd) {
      self->OnLookUpEnd(call, aEnd);
    });
  return true;
}

void
ServiceCaller::ArmHedge()
{
  const auto& phases = mEnvironment.mShared.mSettings.mPhases;
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
  if (aCall->mIsTooLarge) {
    Refuse(TooLarge());
    return;
  }
  if (!IsRetryable(aEnd)) {
    mIsDone = true;
    const auto reply = std::move(aCall->mReply);
    // Abandons a slower hedged call.
    mCalls.clear();
    mEnvironment.mMetrics.OnEnded("completed");
    mContext.mExchange->Reply(aEnd.mStatus,
                              "application/json",
                              reply,
                              { { "X-Ragwort-Verdict", ToText(RunState::kRan) },
                                { "X-Request-Id", mContext.mId.Value() } });
    return;
  }
  mMayHaveRun =
    mMayHaveRun || ToReplyKind(aEnd.mKind) != ServiceReplyKind::kNotSent;
  mCalls.erase(aCall);
  if (!mCalls.empty()) {
    return;
  }
  const auto& shared = mEnvironment.mShared;
  const bool hasTime = mEnvironment.mScheduler.Now() < mContext.mDeadline;
  const bool mayRetry = hasTime && mContext.mExchange->IsOpen() &&
                        mAttempts < shared.mSettings.mPhases.mServiceAttempts;
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
  const auto& request = mContext.mRequest;
  const ServiceAction call{
    mContext.mId,        mContext.mTeam,          mContext.mService,
    mContext.mOperation, request.mIdempotencyKey, request.mBody,
    mContext.mDeadline
  };
  const auto self = shared_from_this();
  ActionTransport transport;
  transport.mDispatch = [self](OnServiceReply aOnReply) {
    self->SendOnce(false, std::move(aOnReply));
  };
  transport.mQuery = [self](OnServiceReply aOnReply) {
    self->SendOnce(true, std::move(aOnReply));
  };
  auto* context = &mEnvironment.mThreadContext;
  mEnvironment.mShared.mActionHook(
    call,
    std::move(transport),
    [self, context](const ServiceActionResult& aResult) {
      QMetaObject::invokeMethod(
        context,
        [self, aResult] { self->FinishAction(aResult); },
        Qt::QueuedConnection);
    });
}

void
ServiceCaller::SendOnce(bool aIsQuery, OnServiceReply aOnReply)
{
  const auto* target = ChooseTarget();
  if (!target) {
    aOnReply({ ServiceReplyKind::kNotSent, 0, "" });
    return;
  }
  auto request = MakeCall(*target, aIsQuery);
  // libcurl may repeat a request on a reused connection.
  request.mFreshConnection = true;
  const auto call = mCalls.emplace(mCalls.end());
  call->mTransfer = mEnvironment.mCurl.Start(
    request,
    [call](std::string_view aBytes) { Collect(aBytes, *call); },
    [self = shared_from_this(), call, onReply = std::move(aOnReply)](
      const TransferEnd& aEnd) {
      const auto kind = call->mIsTooLarge ? ServiceReplyKind::kUnknown
                                          : ToReplyKind(aEnd.mKind);
      const ServiceReply reply{ kind, aEnd.mStatus, std::move(call->mReply) };
      self->mCalls.erase(call);
      onReply(reply);
    });
}

void
ServiceCaller::FinishAction(const ServiceActionResult& aResult)
{
  if (std::exchange(mIsDone, true)) {
    return;
  }
  const auto& verdict = aResult.mVerdict;
  if (verdict.mStatus >= kFirstErrorStatus) {
    mIsDone = false;
    Refuse(verdict);
    return;
  }
  mEnvironment.mMetrics.OnEnded("completed");
  auto headers = VerdictHeaders(verdict);
  headers.emplace_back("X-Request-Id", mContext.mId.Value());
  mContext.mExchange->Reply(
    verdict.mStatus, "application/json", aResult.mBody, std::move(headers));
}

void
ServiceCaller::Refuse(Verdict aVerdict)
{
  mIsDone = true;
  mCalls.clear();
  mEnvironment.mMetrics.OnEnded(aVerdict.mCode);
  mContext.mExchange->Refuse(aVerdict,
                             { { "X-Request-Id", mContext.mId.Value() } });
}

} // namespace ragwortdeck
