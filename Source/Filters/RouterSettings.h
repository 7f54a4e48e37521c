#pragma once

#include "Core/Ids.h"
#include "Core/KeyRing.h"
#include "Core/Settings.h"
#include "Core/SiteView.h"
#include "Core/TlsFiles.h"
#include "Filters/CallerExchange.h"
#include "Filters/CallerServer.h"
#include "Filters/StreamRelay.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Timeouts of the phases of a request, and retry limits.
struct RequestLimits
{
  /// Long enough for one lost SYN, which TCP sends again after 1 s.
  std::chrono::milliseconds mConnect{ 2'500 };
  /// Limit for the first token; zero takes the dispatcher's limit, which grows
  /// with the engine's queue.
  std::chrono::milliseconds mFirstToken{ 0 };
  RelayLimits mRelay;
  /// Limit of one call to a service.
  std::chrono::milliseconds mService{ 5'000 };
  /// Calls to services for one look-up, retries included.
  std::uint32_t mServiceAttempts = 3;
  /// A look-up without a reply is sent to a second target after this; zero
  /// turns hedging off.
  std::chrono::milliseconds mHedge{ 0 };
  /// Share of recent look-ups that may be retried.
  double mRetryShare = 0.1;
  /// Gaps between tokens above this count as stalls in the metrics.
  std::chrono::milliseconds mStallThreshold{ 1000 };
};

/// \brief Settings of ragwort-router.
struct RouterSettings
{
  HostId mHost;
  FailureDomain mFailureDomain;
  Endpoint mListen;
  std::uint32_t mThreads = 2;
  /// Memory that this process may use.
  std::size_t mMemoryBytes = std::size_t(96) << 20U;
  std::vector<SharedKey> mKeys;
  ConnectionLimits mConnections;
  CallerBufferLimits mBuffers;
  RequestLimits mLimits;
  std::string mDispatcher;
  /// Towards callers.
  TlsFiles mTls;
  /// How long new work is still served after SIGTERM.
  std::chrono::milliseconds mShutdownGrace{ 2'000 };
  /// Streams are cut off this long after SIGTERM; zero waits without limit.
  std::chrono::milliseconds mShutdownDeadline{ 0 };
  /// Period of GET /load on each engine; zero turns it off.
  std::chrono::milliseconds mLoadPeriod{ 1000 };
  /// View to use until the control process delivers one; null without one.
  std::shared_ptr<const SiteView> mBootstrapView;
};

/// Reads all settings of the router.
RouterSettings
ReadRouterSettings(SettingsSection& aRoot);

/// Reads teams, kinds, models, targets and entry hosts.
SiteView
ReadSiteView(SettingsSection aSection);

} // namespace ragwortdeck
