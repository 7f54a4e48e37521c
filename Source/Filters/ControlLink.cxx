#include "Filters/ControlLink.h"

#include "Core/Log.h"
#include "Peer/EventMessages.h"

#include <vector>

namespace ragwortdeck {

namespace {

const Log kLog("control-link");

// The period that Dispatcher::CollectCreditRequests() asks for.
constexpr std::chrono::milliseconds kCreditPeriod{ 200 };

PeerIdentity
MakeIdentity(const Scheduler& aScheduler,
             const RouterSettings& aSettings,
             HybridClock& aClock)
{
  PeerIdentity identity;
  identity.mHost = aSettings.mHost;
  identity.mIncarnation =
    std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                    aScheduler.WallNow().time_since_epoch())
                    .count());
  identity.mKeys =
    std::make_shared<const KeyRing>(KeyRing::Create(aSettings.mKeys).value());
  identity.mTime = [&aClock] { return aClock.Tick().mPacked; };
  identity.mObserveTime = [&aClock](std::uint64_t aTime) {
    aClock.Observe({ aTime });
  };
  return identity;
}

} // namespace

ControlLink::ControlLink(Scheduler& aScheduler,
                         Router& aRouter,
                         const RouterSettings& aSettings,
                         const Endpoint& aControl)
  : mRouter(aRouter)
  , mLink(aScheduler,
          RandomSource(RandomSource::SystemSeed()),
          MakeIdentity(aScheduler, aSettings, aRouter.EventClock()),
          RouterLinkSettings{ aControl },
          MakeHooks())
{
  connect(
    &mCreditTimer, &QTimer::timeout, this, [this] { SendCreditRequests(); });
  mCreditTimer.start(kCreditPeriod);
  mLink.Start();
}

RouterLink::Hooks
ControlLink::MakeHooks()
{
  RouterLink::Hooks hooks;
  hooks.mOnView = [this](std::shared_ptr<const SiteView> aView) {
    mRouter.SetView(std::move(aView));
  };
  hooks.mOnLoads = [this](const std::map<TargetId, LoadReport>& aReports) {
    mRouter.OnLoadReports(aReports);
  };
  hooks.mOnMessage = [this](const PeerMessage& aMessage) {
    OnMessage(aMessage);
  };
  hooks.mOnConnected = [](bool aConnected) {
    if (aConnected) {
      kLog.Info("connected to control");
    } else {
      kLog.Warning("control is away; the last view stays in use");
    }
  };
  hooks.mOnCredits = [this](const CreditGrant& aGrant) {
    mRouter.Hub().With(
      [&](Dispatcher& aDispatcher) { aDispatcher.OnCredits(aGrant); });
  };
  hooks.mOnLiveHosts = [this](const std::vector<HostId>& aHosts) {
    mRouter.Hub().With(
      [&](Dispatcher& aDispatcher) { aDispatcher.OnOwners(aHosts); });
  };
  return hooks;
}

void
ControlLink::OnMessage(const PeerMessage& aMessage)
{
  if (!aMessage.Is<EventsFetchMessage>()) {
    kLog.Warning("message " + aMessage.mType + " of control ignored");
    return;
  }
  const auto fetch = aMessage.As<EventsFetchMessage>();
  if (!fetch) {
    kLog.Error("fetch of events ignored: " + fetch.error().mMessage);
    return;
  }
  mLink.Send(CollectEvents(mRouter.Events(), fetch.value().mFrom));
}

void
ControlLink::SendCreditRequests()
{
  std::vector<CreditRequest> requests;
  mRouter.Hub().With([&](Dispatcher& aDispatcher) {
    requests = aDispatcher.CollectCreditRequests();
  });
  for (const auto& request : requests) {
    mLink.SendCreditRequest(request);
  }
}

} // namespace ragwortdeck
