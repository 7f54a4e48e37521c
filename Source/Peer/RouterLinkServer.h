#pragma once

#include "Peer/ControlMessages.h"
#include "Peer/PeerServer.h"

namespace ragwortdeck {

/// \brief Control's side of the link to the router of the same host.
///
/// More than one router may be connected while a router is replaced; all of
/// them get views and messages.
class RouterLinkServer
{
public:
  struct Hooks
  {
    std::function<void(const UsageMessage&)> mOnUsage;
    /// Each message of any other type.
    std::function<void(PeerConnection&, const PeerMessage&)> mOnMessage;
    /// A router connected. A view that is published in the hook is the first
    /// that it gets.
    std::function<void()> mOnRouter;
  };

  /// Fails with kAddressInUse or kInvalidArgument.
  static Result<std::unique_ptr<RouterLinkServer>> Listen(
    Scheduler& aScheduler,
    PeerIdentity aIdentity,
    const Endpoint& aEndpoint,
    Hooks aHooks);

  /// Publishes a view; views that follow each other within 20 ms are sent as
  /// one, the newest.
  void Publish(SiteView aView);
  /// Sends a message to each connected router; false when there is none.
  bool Send(const PeerMessage& aMessage);
  std::size_t RouterCount() const { return mRouters; }
  std::uint16_t Port() const { return mServer->Port(); }

  /// Stops accepting, sends what is waiting, and calls aDone when all sent
  /// bytes have left this process or aLimit has passed.
  void Drain(Duration aLimit, const std::function<void()>& aDone);

private:
  RouterLinkServer(Scheduler& aScheduler, Hooks aHooks);
  void Flush();
  void CheckDrained(MonotonicTime aLimit, const std::function<void()>& aDone);
  void Take(PeerConnection& aConnection, const PeerMessage& aMessage);

  Scheduler& mScheduler;
  Hooks mHooks;
  std::unique_ptr<PeerServer> mServer;
  std::size_t mRouters = 0;
  bool mHasView = false;
  PeerMessage mView;
  bool mFlushPending = false;
  TimerHandle mFlushTimer;
  TimerHandle mDrainTimer;
};

} // namespace ragwortdeck
