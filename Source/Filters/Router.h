#pragma once

#include "Filters/RequestEnvironment.h"

#include <QTimer>
#include <functional>
#include <memory>
#include <vector>

namespace ragwortdeck {

class RouterThread;
class LoadPoller;

/// \brief The whole request path: threads, listening sockets, shutdown.
///
/// Lives on the thread that creates it, which needs a Qt event loop.
class Router : public QObject
{
public:
  using OnStopped = std::function<void()>;

  /// Listens and starts the threads. Fails with kAddressInUse when another
  /// process listens at the address.
  static Result<std::unique_ptr<Router>> Start(
    RouterSettings aSettings,
    std::unique_ptr<Dispatcher> aDispatcher,
    ActionHook aActionHook);
  ~Router() override;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  std::uint16_t Port() const { return mPort; }
  /// Replaces the view that requests read, for example with one from the
  /// control process.
  void SetView(std::shared_ptr<const SiteView> aView);
  /// Reports from the control process; the router asks an engine itself only
  /// when none came for it for two load periods.
  void OnLoadReports(const std::map<TargetId, LoadReport>& aReports);
  /// Starts a graceful shutdown; aOnStopped runs when the last stream has
  /// ended. A second call ends the remaining streams.
  void Shutdown(OnStopped aOnStopped);
  std::string MetricsText() const;
  int OpenStreams() const;
  /// For the control link: credits, owners and cache events.
  DispatcherHub& Hub() { return mShared.mHub; }
  const EventRecorder& Events() const { return mShared.mRecorder; }
  /// The clock of the events; also for messages to and from control.
  HybridClock& EventClock() { return mShared.mClock; }
  std::shared_ptr<const SiteView> View() const { return mShared.mView.Read(); }

private:
  Router(RouterSettings aSettings,
         KeyRing aKeys,
         std::unique_ptr<Dispatcher> aDispatcher,
         ActionHook aActionHook);
  Result<void> Listen();
  void CheckDrained();
  void CutOff(const std::string& aReason);

  RouterShared mShared;
  std::uint16_t mPort = 0;
  std::vector<std::unique_ptr<RouterThread>> mThreads;
  std::unique_ptr<LoadPoller> mPoller;
  QTimer mTick;
  QTimer mDrainTimer;
  OnStopped mOnStopped;
  bool mIsCutOff = false;
};

} // namespace ragwortdeck
