#pragma once

#include "Core/BootClock.h"
#include "Core/KeyRing.h"
#include "Core/MemoryAccount.h"
#include "Core/QtScheduler.h"
#include "Events/EventRecorder.h"
#include "Filters/ActionHook.h"
#include "Filters/CancelQueue.h"
#include "Filters/DispatcherHub.h"
#include "Filters/RetryAllowance.h"
#include "Filters/RouterMetrics.h"
#include "Filters/RouterSettings.h"
#include "Filters/SiteViewHolder.h"
#include "Targets/CurlMulti.h"

#include <atomic>
#include <functional>

namespace ragwortdeck {

/// How far a shutdown has come.
enum class ShutdownPhase : std::uint8_t
{
  kServing,
  /// /readyz is off; new work is still served.
  kGrace,
  /// New work is refused.
  kDraining,
};

/// \brief What all threads of a router share.
struct RouterShared
{
  RouterShared(RouterSettings aSettings,
               KeyRing aKeys,
               std::unique_ptr<Dispatcher> aDispatcher,
               ActionHook aActionHook)
    : mSettings(std::move(aSettings))
    , mMemory(mBootClock, mSettings.mMemoryBytes)
    , mKeys(std::move(aKeys))
    , mView(mSettings.mBootstrapView ? mSettings.mBootstrapView
                                     : std::make_shared<const SiteView>())
    , mHub(std::move(aDispatcher))
    , mRetries(mSettings.mLimits.mRetryShare)
    , mActionHook(std::move(aActionHook))
    , mClock([] {
      return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
    })
    , mRecorder(mSettings.mHost, "router", mClock, {})
  {
  }

  const RouterSettings mSettings;
  const BootClock mBootClock;
  /// All bytes from outside that this process holds.
  MemoryAccount mMemory;
  const KeyRing mKeys;
  SiteViewHolder mView;
  DispatcherHub mHub;
  RetryAllowance mRetries;
  const ActionHook mActionHook;
  HybridClock mClock;
  EventRecorder mRecorder;
  std::atomic<ShutdownPhase> mShutdown{ ShutdownPhase::kServing };
  std::function<std::string()> mMetricsText;
};

/// \brief What the request path of one thread uses.
struct RequestEnvironment
{
  RouterShared& mShared;
  QtScheduler& mScheduler;
  CurlMulti& mCurl;
  CancelQueue& mCancels;
  RouterMetrics& mMetrics;
  /// Lives on the thread's event loop.
  QObject& mThreadContext;
};

} // namespace ragwortdeck
