#include "Filters/LoadPoller.h"

#include "Core/HttpStatus.h"
#include "Core/Log.h"
#include "Targets/LoadReportJson.h"

namespace ragwortdeck {

namespace {

const Log kLog("load");
constexpr std::size_t kMaxReportBytes = 64 << 10;

} // namespace

LoadPoller::LoadPoller(std::chrono::milliseconds aPeriod,
                       ReadView aReadView,
                       OnReport aOnReport)
  : mPeriod(aPeriod)
  , mReadView(std::move(aReadView))
  , mOnReport(std::move(aOnReport))
{
  QObject::connect(&mTimer, &QTimer::timeout, &mTimer, [this] { PollAll(); });
  mTimer.start(aPeriod);
  PollAll();
}

void
LoadPoller::OnHeard(const TargetId& aTarget)
{
  mHeard[aTarget] = std::chrono::steady_clock::now();
}

bool
LoadPoller::IsHeard(const TargetId& aTarget) const
{
  const auto it = mHeard.find(aTarget);
  return it != mHeard.end() &&
         std::chrono::steady_clock::now() - it->second < mPeriod * 2;
}

void
LoadPoller::PollAll()
{
  const auto view = mReadView();
  for (const auto& [id, target] : view->mTargets) {
    if (target.mRole == TargetRole::kEngine && !mCalls.contains(id) &&
        !IsHeard(id)) {
      Poll(target);
    }
  }
}

void
LoadPoller::Poll(const Target& aTarget)
{
  HttpCall call;
  call.mUrl = "http://" + aTarget.mAddress + "/load";
  call.mTimeout = mPeriod;
  call.mConnectTimeout = mPeriod;
  call.mMayReuseConnection = true;
  const auto reply = std::make_shared<std::string>();
  const auto id = aTarget.mId;
  const auto sent = std::chrono::steady_clock::now();
  mCalls[id] = mCurl.Start(
    call,
    [reply](std::string_view aBytes) {
      if (reply->size() + aBytes.size() <= kMaxReportBytes) {
        *reply += aBytes;
      }
    },
    [this, reply, id, sent](const TransferEnd& aEnd) {
      const auto keep = std::move(mCalls[id]);
      mCalls.erase(id);
      if (aEnd.mKind != TransferEndKind::kReplied ||
          aEnd.mStatus != kStatusOk) {
        return;
      }
      auto report = ParseLoadReport(*reply);
      if (!report) {
        kLog.Warning(id.Value() + ": " + report.error().mMessage);
        return;
      }
      // The engine measured at some time after the call was sent.
      report.value().mAgeMicros = std::chrono::duration_cast<Duration>(
                                    std::chrono::steady_clock::now() - sent)
                                    .count();
      mOnReport(id, report.value());
    });
}

} // namespace ragwortdeck
