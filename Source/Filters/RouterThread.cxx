#include "Filters/RouterThread.h"

#include "Core/ErrorGuard.h"
#include "Targets/EngineStream.h"

#include <QEventLoop>
#include <QPointer>
#include <QSemaphore>
#include <QTcpServer>
#include <QTcpSocket>
#include <list>
#include <map>

namespace ragwortdeck {

namespace {

const Log kLog("router");

constexpr std::chrono::milliseconds kCancelTimeout{ 2'000 };

CancelReply
ToCancelReply(const TransferEnd& aEnd)
{
  if (aEnd.mKind == TransferEndKind::kRefused) {
    return CancelReply::kRefused;
  }
  const bool isConfirmed =
    aEnd.mKind == TransferEndKind::kReplied &&
    (aEnd.mStatus == kStatusOk || aEnd.mStatus == kStatusNotFound);
  return isConfirmed ? CancelReply::kConfirmed : CancelReply::kUnknown;
}

} // namespace

/// \brief What lives on the thread's event loop.
struct RouterThread::Loop
{
  Loop(RouterThread& aThread)
    : mCancels(mScheduler,
               RandomSource(RandomSource::SystemSeed()),
               aThread.MakeCancelSend(mCurl))
    , mConnections(aThread.mShared.mSettings.mConnections,
                   aThread.mShared.mMemory,
                   [&aThread](const Verdict& aVerdict) {
                     aThread.mMetrics.OnEnded(aVerdict.mCode);
                   })
    , mEnvironment{ aThread.mShared, mScheduler,       mCurl,
                    mCancels,        aThread.mMetrics, mContext }
    , mPath(mEnvironment, mConnections, IdPrefix(aThread))
  {
    mConnections.SetHttpServer(mHttp);
    mHttp.setMissingHandler([this](const QHttpServerRequest& aRequest,
                                   QHttpServerResponder&& aResponder) {
      const QPointer<QTcpSocket> socket(aResponder.socket());
      const bool isHandled =
        RunGuarded(kLog, "a request", [&] { mPath.Handle(aRequest, *socket); });
      if (!isHandled && socket) {
        // Nothing is known about the request, so nothing is claimed.
        socket->abort();
      }
    });
    auto server = MakeCallerServer(mConnections, aThread.mTls);
    server->setSocketDescriptor(aThread.mListenSocket);
    // QHttpServer becomes the owner.
    mHttp.bind(server.release());
  }

  static std::string IdPrefix(const RouterThread& aThread)
  {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    return aThread.mShared.mSettings.mHost.Value() + "-" +
           std::to_string(micros) + "-" + std::to_string(aThread.mIndex);
  }

  QObject mContext;
  QtScheduler mScheduler;
  CurlMulti mCurl;
  CancelQueue mCancels;
  CallerConnections mConnections;
  RequestEnvironment mEnvironment;
  RequestPath mPath;
  QHttpServer mHttp;
};

RouterThread::RouterThread(RouterShared& aShared,
                           std::uint32_t aIndex,
                           int aListenSocket,
                           std::optional<QSslConfiguration> aTls)
  : mShared(aShared)
  , mIndex(aIndex)
  , mListenSocket(aListenSocket)
  , mTls(std::move(aTls))
{
  QSemaphore ready;
  mThread.reset(QThread::create([this, &ready] {
    const RcuReaderThread reader;
    mLoop = std::make_unique<Loop>(*this);
    ready.release();
    QEventLoop().exec();
    mLoop.reset();
  }));
  // The name shows in the process table; benchmarks find the threads by it.
  mThread->setObjectName("router-" + QString::number(mIndex));
  mThread->start();
  ready.acquire();
}

RouterThread::~RouterThread()
{
  Stop();
}

void
RouterThread::Stop()
{
  mThread->quit();
  mThread->wait();
}

CancelQueue::Send
RouterThread::MakeCancelSend(CurlMulti& aCurl)
{
  using Transfers = std::list<std::unique_ptr<CurlTransfer>>;
  // The queue owns the transfers. A callback holds them weakly, since a
  // transfer that owned itself would outlive the thread.
  const auto transfers = std::make_shared<Transfers>();
  return [this, &aCurl, transfers](const Attempt& aAttempt,
                                   const CancelQueue::OnReply& aReply) {
    const auto view = mShared.mView.Read();
    const auto found = view->mTargets.find(aAttempt.mTarget);
    if (found == view->mTargets.end()) {
      aReply(CancelReply::kTargetGone);
      return;
    }
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl =
      ResponseUrl(found->second.mAddress, aAttempt.mEngineId) + "/cancel";
    call.mConnectTimeout = kCancelTimeout;
    call.mTimeout = kCancelTimeout;
    const auto entry = transfers->emplace(transfers->end());
    const std::weak_ptr<Transfers> weak = transfers;
    *entry = aCurl.Start(
      call,
      [](std::string_view) {},
      [weak, entry, aReply](const TransferEnd& aEnd) {
        std::unique_ptr<CurlTransfer> keep;
        if (const auto owner = weak.lock()) {
          keep = std::move(*entry);
          owner->erase(entry);
        }
        aReply(ToCancelReply(aEnd));
      });
  };
}

void
RouterThread::CutOff()
{
  auto* loop = mLoop.get();
  QMetaObject::invokeMethod(
    &loop->mContext,
    [loop] { loop->mPath.CutOff(); },
    Qt::BlockingQueuedConnection);
}

} // namespace ragwortdeck
