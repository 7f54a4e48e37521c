#include "Peer/RouterLinkServer.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("router-link");
constexpr Duration kCoalesce = std::chrono::milliseconds(20);
constexpr Duration kDrainPeriod = std::chrono::milliseconds(10);

} // namespace

RouterLinkServer::RouterLinkServer(Scheduler& aScheduler, Hooks aHooks)
  : mScheduler(aScheduler)
  , mHooks(std::move(aHooks))
{
}

Result<std::unique_ptr<RouterLinkServer>>
RouterLinkServer::Listen(Scheduler& aScheduler,
                         PeerIdentity aIdentity,
                         const Endpoint& aEndpoint,
                         Hooks aHooks)
{
  std::unique_ptr<RouterLinkServer> link(
    new RouterLinkServer(aScheduler, std::move(aHooks)));
  auto* self = link.get();
  PeerConnectionLimits limits;
  limits.mHeartbeat = std::chrono::seconds(1);
  limits.mSilence = std::chrono::seconds(5);
  auto server = PeerServer::Listen(
    aScheduler,
    std::move(aIdentity),
    aEndpoint,
    limits,
    { [self](PeerConnection& aConnection) {
       ++self->mRouters;
       sLog.Info("router " + aConnection.PeerHost().Value() + " connected");
       self->mHooks.mOnRouter();
       if (self->mHasView) {
         aConnection.Send(self->mView);
       }
     },
      [self](PeerConnection& aConnection, const PeerMessage& aMessage) {
        self->Take(aConnection, aMessage);
      },
      [self](PeerConnection& aConnection) {
        if (aConnection.WasReady()) {
          --self->mRouters;
          sLog.Warning("router " + aConnection.PeerHost().Value() +
                       " disconnected");
        }
      } });
  if (!server) {
    return Failure(server.error());
  }
  link->mServer = std::move(server.value());
  return link;
}

void
RouterLinkServer::Take(PeerConnection& aConnection, const PeerMessage& aMessage)
{
  if (!aMessage.Is<UsageMessage>()) {
    mHooks.mOnMessage(aConnection, aMessage);
    return;
  }
  const auto usage = aMessage.As<UsageMessage>();
  if (!usage) {
    sLog.Error("usage ignored: " + usage.error().mMessage);
    return;
  }
  mHooks.mOnUsage(usage.value());
}

void
RouterLinkServer::Publish(SiteView aView)
{
  mView = PeerMessage::Of(SiteViewMessage{ std::move(aView) });
  mHasView = true;
  if (!mFlushPending) {
    mFlushPending = true;
    mFlushTimer = mScheduler.After(kCoalesce, [this] { Flush(); });
  }
}

void
RouterLinkServer::Flush()
{
  if (mFlushPending) {
    mFlushPending = false;
    mServer->ForEach(
      [this](PeerConnection& aConnection) { aConnection.Send(mView); });
  }
}

bool
RouterLinkServer::Send(const PeerMessage& aMessage)
{
  bool sent = false;
  mServer->ForEach([&](PeerConnection& aConnection) {
    sent = aConnection.Send(aMessage) || sent;
  });
  return sent;
}

void
RouterLinkServer::Drain(Duration aLimit, const std::function<void()>& aDone)
{
  mServer->StopListening();
  Flush();
  CheckDrained(mScheduler.Now() + aLimit, aDone);
}

void
RouterLinkServer::CheckDrained(MonotonicTime aLimit,
                               const std::function<void()>& aDone)
{
  std::int64_t backlog = 0;
  mServer->ForEach(
    [&](PeerConnection& aConnection) { backlog += aConnection.Backlog(); });
  if (backlog == 0 || mScheduler.Now() >= aLimit) {
    aDone();
    return;
  }
  mDrainTimer = mScheduler.After(
    kDrainPeriod, [this, aLimit, aDone] { CheckDrained(aLimit, aDone); });
}

} // namespace ragwortdeck
