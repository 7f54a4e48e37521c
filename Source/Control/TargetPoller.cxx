#include "Control/TargetPoller.h"

#include "Core/HttpStatus.h"
#include "Targets/LoadReportJson.h"

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxReportBytes = 65'536;

} // namespace

TargetPoller::TargetPoller(std::chrono::milliseconds aTimeout)
  : mTimeout(aTimeout)
  , mCalls(kMaxReportBytes)
{
}

void
TargetPoller::Poll(const Target& aTarget,
                   const LoadSharing::ReportCallback& aCallback)
{
  HttpCall call;
  call.mUrl = "http://" + aTarget.mAddress + "/load";
  call.mConnectTimeout = mTimeout;
  call.mTimeout = mTimeout;
  call.mMayReuseConnection = true;
  mCalls.Start(call,
               [aCallback](const TransferEnd& aEnd, const std::string& aBody) {
                 if (aEnd.mKind != TransferEndKind::kReplied ||
                     aEnd.mStatus != kStatusOk) {
                   aCallback(Failure(ErrorCode::kUnavailable,
                                     aEnd.mMessage + " (status " +
                                       std::to_string(aEnd.mStatus) + ")"));
                   return;
                 }
                 aCallback(ParseLoadReport(aBody));
               });
}

} // namespace ragwortdeck
