#include "Filters/ServiceTransport.h"

#include "Core/Contains.h"
#include "Filters/ClassifyFilter.h"

#include <QTimer>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxReplyBytes = 8 << 20;

DispatchReport::Type
ToType(TransferEndKind aKind)
{
  switch (aKind) {
    case TransferEndKind::kReplied:
      return DispatchReport::Type::kAnswered;
    case TransferEndKind::kRefused:
    case TransferEndKind::kNotConnected:
      return DispatchReport::Type::kNotSent;
    case TransferEndKind::kTimedOut:
    case TransferEndKind::kDropped:
      break;
  }
  return DispatchReport::Type::kUnknown;
}

} // namespace

const Target*
ChooseServiceTarget(const SiteView& aView,
                    const std::string& aService,
                    const std::vector<TargetId>& aAvoid,
                    RandomSource& aRandom)
{
  std::vector<const Target*> fresh;
  std::vector<const Target*> all;
  for (const auto& [id, target] : aView.mTargets) {
    if (target.mState != TargetState::kLive ||
        !OffersService(target, aService)) {
      continue;
    }
    all.push_back(&target);
    if (!Contains(aAvoid, id)) {
      fresh.push_back(&target);
    }
  }
  const auto& choice = fresh.empty() ? all : fresh;
  return choice.empty() ? nullptr : choice[aRandom.Below(choice.size())];
}

ServiceTransport::ServiceTransport(ReadView aReadView,
                                   std::chrono::milliseconds aConnectTimeout,
                                   std::chrono::milliseconds aTimeout,
                                   RandomSource aRandom)
  : mReadView(std::move(aReadView))
  , mConnectTimeout(aConnectTimeout)
  , mTimeout(aTimeout)
  , mRandom(aRandom)
{
}

ActionDispatchHook
ServiceTransport::DispatchHook()
{
  return
    [this](const ActionCall& aCall, const std::string&, OnReport aOnReport) {
      Send(aCall, "POST", std::move(aOnReport));
    };
}

ActionQueryHook
ServiceTransport::QueryHook()
{
  return [this](const ActionCall& aCall, const OnReport& aOnReport) {
    Send(aCall, "GET", [aOnReport](DispatchReport aReport) {
      // A service that does not know the key proves nothing: the call may
      // still be on its way.
      constexpr int kFirstError = 300;
      if (aReport.mStatus >= kFirstError) {
        aReport.mType = DispatchReport::Type::kUnknown;
      }
      aOnReport(aReport);
    });
  };
}

void
ServiceTransport::Send(const ActionCall& aCall,
                       const std::string& aMethod,
                       OnReport aOnReport)
{
  const auto view = mReadView();
  const auto service = aCall.mOperation.substr(0, aCall.mOperation.find('/'));
  const auto* target = ChooseServiceTarget(*view, service, {}, mRandom);
  if (!target) {
    DispatchReport report;
    report.mType = DispatchReport::Type::kNotSent;
    QTimer::singleShot(0, &mCurl, [aOnReport, report] { aOnReport(report); });
    return;
  }
  HttpCall request;
  request.mMethod = aMethod;
  request.mUrl =
    "http://" + target->mAddress + "/v1/services/" + aCall.mOperation;
  request.mHeaders = { "Idempotency-Key: " + aCall.mIdempotencyKey,
                       "X-Ragwort-Team: " + aCall.mTeam.Value() };
  if (aMethod == "POST") {
    request.mBody = aCall.mBody;
    request.mHeaders.push_back("Content-Type: " + aCall.mContentType);
  }
  request.mConnectTimeout = mConnectTimeout;
  request.mTimeout = mTimeout;
  const auto call = mCalls.emplace(mCalls.end());
  call->mTransfer = mCurl.Start(
    request,
    [call](std::string_view aBytes) {
      auto& body = call->mReport.mBody;
      call->mIsTooLarge =
        call->mIsTooLarge || body.size() + aBytes.size() > kMaxReplyBytes;
      if (!call->mIsTooLarge) {
        body += aBytes;
      }
    },
    [this, call, onReport = std::move(aOnReport)](const TransferEnd& aEnd) {
      auto report = std::move(call->mReport);
      report.mType =
        call->mIsTooLarge ? DispatchReport::Type::kUnknown : ToType(aEnd.mKind);
      report.mStatus = aEnd.mStatus;
      report.mContentType = "application/json";
      mCalls.erase(call);
      onReport(report);
    });
}

} // namespace ragwortdeck
