#include "Filters/Router.h"

#include "Core/Log.h"
#include "Filters/LoadPoller.h"
#include "Filters/RouterThread.h"

#include <cerrno>
#include <cstring>
#include <utility>

namespace ragwortdeck {

namespace {

const Log kLog("router");

constexpr std::chrono::milliseconds kTickPeriod{ 20 };
constexpr std::chrono::milliseconds kDrainPeriod{ 20 };

} // namespace

Router::Router(RouterSettings aSettings,
               KeyRing aKeys,
               std::unique_ptr<Dispatcher> aDispatcher,
               ActionHook aActionHook)
  : mShared(std::move(aSettings),
            std::move(aKeys),
            std::move(aDispatcher),
            std::move(aActionHook))
{
  mShared.mMetricsText = [this] { return MetricsText(); };
  mShared.mHub.OnView(mShared.mView.Read());
}

Router::~Router()
{
  mTick.stop();
  mPoller.reset();
  // Any thread may read the metrics of all, so none goes before all stop.
  for (const auto& thread : mThreads) {
    thread->Stop();
  }
}

Result<std::unique_ptr<Router>>
Router::Start(RouterSettings aSettings,
              std::unique_ptr<Dispatcher> aDispatcher,
              ActionHook aActionHook)
{
  auto keys = KeyRing::Create(aSettings.mKeys);
  if (!keys) {
    return Failure(keys.error());
  }
  std::unique_ptr<Router> router(new Router(std::move(aSettings),
                                            std::move(keys.value()),
                                            std::move(aDispatcher),
                                            std::move(aActionHook)));
  if (auto listening = router->Listen(); !listening) {
    return Failure(listening.error());
  }
  return router;
}

Result<void>
Router::Listen()
{
  const auto& settings = mShared.mSettings;
  const auto tls = LoadTls(settings.mTls);
  if (!tls) {
    return Failure(tls.error());
  }
  auto endpoint = settings.mListen;
  const auto port = CheckAddress(endpoint);
  if (!port) {
    return Failure(port.error());
  }
  endpoint.mPort = port.value();
  std::vector<int> sockets;
  for (std::uint32_t n = 0; n < settings.mThreads; ++n) {
    const int fd = OpenReusablePort(endpoint);
    if (fd < 0) {
      return Failure(ErrorCode::kUnavailable,
                     "cannot listen on " + ToText(endpoint) + ": " +
                       std::strerror(errno));
    }
    sockets.push_back(fd);
  }
  mPort = endpoint.mPort;
  for (std::uint32_t n = 0; n < settings.mThreads; ++n) {
    mThreads.push_back(
      std::make_unique<RouterThread>(mShared, n, sockets[n], tls.value()));
  }
  connect(&mTick, &QTimer::timeout, this, [this] { mShared.mHub.Tick(); });
  mTick.start(kTickPeriod);
  if (settings.mLoadPeriod.count() > 0) {
    mPoller = std::make_unique<LoadPoller>(
      settings.mLoadPeriod,
      [this] { return mShared.mView.Read(); },
      [this](const TargetId& aTarget, const LoadReport& aReport) {
        mShared.mHub.OnLoadReport(aTarget, aReport);
      });
  }
  EventFields started;
  started.mType = EventType::kProcessStarted;
  mShared.mRecorder.Record(started);
  kLog.Info("listening on " + ToText(endpoint) + " with " +
            std::to_string(settings.mThreads) + " threads");
  return Success();
}

void
Router::SetView(std::shared_ptr<const SiteView> aView)
{
  const auto version = aView->mTable.mVersion;
  if (version != mShared.mView.Read()->mTable.mVersion) {
    EventFields applied;
    applied.mType = EventType::kTableApplied;
    applied.mTableVersion = version;
    mShared.mRecorder.Record(applied);
  }
  mShared.mView.Replace(aView);
  mShared.mHub.OnView(std::move(aView));
}

void
Router::OnLoadReports(const std::map<TargetId, LoadReport>& aReports)
{
  for (const auto& [target, report] : aReports) {
    mShared.mHub.OnLoadReport(target, report);
    if (mPoller) {
      mPoller->OnHeard(target);
    }
  }
}

std::string
Router::MetricsText() const
{
  auto text = RouterMetrics::Header();
  for (std::size_t n = 0; n < mThreads.size(); ++n) {
    text += mThreads[n]->Metrics().ToPrometheus(std::to_string(n));
  }
  return text;
}

int
Router::OpenStreams() const
{
  int count = 0;
  for (const auto& thread : mThreads) {
    count += thread->Metrics().OpenStreams();
  }
  return count;
}

void
Router::Shutdown(OnStopped aOnStopped)
{
  if (mShared.mShutdown != ShutdownPhase::kServing) {
    CutOff("second signal");
    return;
  }
  EventFields stopping;
  stopping.mType = EventType::kProcessStopping;
  mShared.mRecorder.Record(stopping);
  const auto& settings = mShared.mSettings;
  mOnStopped = std::move(aOnStopped);
  mShared.mShutdown = ShutdownPhase::kGrace;
  kLog.Info("shutting down: not ready, " + std::to_string(OpenStreams()) +
            " open streams");
  QTimer::singleShot(settings.mShutdownGrace, this, [this] {
    mShared.mShutdown = ShutdownPhase::kDraining;
    kLog.Info("shutting down: new work is refused, " +
              std::to_string(OpenStreams()) + " open streams");
    connect(&mDrainTimer, &QTimer::timeout, this, [this] { CheckDrained(); });
    mDrainTimer.start(kDrainPeriod);
  });
  if (settings.mShutdownDeadline.count() > 0) {
    QTimer::singleShot(settings.mShutdownDeadline, this, [this] {
      CutOff("deadline of " +
             std::to_string(mShared.mSettings.mShutdownDeadline.count()) +
             " ms");
    });
  }
}

void
Router::CheckDrained()
{
  if (OpenStreams() > 0) {
    return;
  }
  mDrainTimer.stop();
  kLog.Info("shutting down: all streams have ended");
  if (mOnStopped) {
    mOnStopped();
  }
}

void
Router::CutOff(const std::string& aReason)
{
  if (std::exchange(mIsCutOff, true)) {
    return;
  }
  mDrainTimer.stop();
  mShared.mShutdown = ShutdownPhase::kDraining;
  kLog.Warning("shutting down now (" + aReason + "): cutting off " +
               std::to_string(OpenStreams()) + " streams");
  for (const auto& thread : mThreads) {
    thread->CutOff();
  }
  if (mOnStopped) {
    mOnStopped();
  }
}

} // namespace ragwortdeck
