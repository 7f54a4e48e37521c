#pragma once

#include "Core/BootClock.h"
#include "Entry/Departures.h"
#include "Entry/EntryContext.h"
#include "Entry/HostExchange.h"
#include "Entry/SiteFeed.h"

#include <boost/asio/signal_set.hpp>

namespace ragwortdeck {

/// \brief The process of an entry host: serves callers, readiness probes and
/// metrics, and shuts down gracefully.
class EntryProcess
{
public:
  /// Reads the settings file again; returns nothing when it is invalid.
  using Reload = std::function<std::optional<EntrySettings>()>;

  EntryProcess(const PlatformCodec& aCodec,
               EntrySettings aSettings,
               Reload aReload);

  /// Serves until a signal to stop and then exits the process without
  /// returning. Returns an exit code only when it cannot start.
  int Run();

private:
  Result<void> Open(tcp::acceptor& aAcceptor, const Endpoint& aAt);
  Task<void> AcceptCallers();
  Task<void> AcceptStatusRequests(tcp::acceptor& aAcceptor);
  /// Serves readiness probes and metrics.
  Task<void> ServeStatus(tcp::socket aSocket);
  void WaitForSignal();
  void ReloadSettings(const char* aReason);
  void Stop();
  Task<void> Drain();
  bool IsReady() const;

  asio::io_context mIo;
  BootClock mClock;
  DecisionLog mLog;
  EntryContext mContext;
  HostExchange mExchange;
  SiteFeed mFeed;
  Departures mDepartures;
  Reload mReload;
  tcp::acceptor mCallers;
  /// For readiness probes.
  tcp::acceptor mReady;
  tcp::acceptor mMetrics;
  asio::signal_set mSignals;
  /// Connections of readiness probes and readers of metrics.
  int mStatusConnections = 0;
  /// The last result of a readiness probe; only changes are logged.
  bool mWasReady = false;
};

} // namespace ragwortdeck
