#pragma once

#include "Core/Scheduler.h"
#include "Peer/ControlMessages.h"
#include "Peer/PeerMessage.h"
#include "Policy/CreditOwner.h"

namespace ragwortdeck {

/// \brief Carries credit requests of this host's router to their owners and
/// the grants back, and answers as owner.
class CreditRouting
{
public:
  struct Hooks
  {
    std::function<void(const HostId&, const PeerMessage&)> mSendToPeer;
    std::function<void(const PeerMessage&)> mSendToRouter;
  };

  CreditRouting(Scheduler& aScheduler, HostId aSelf, Hooks aHooks);

  void OnView(const SiteView& aView);
  void OnLoadReports(const std::map<TargetId, LoadReport>& aReports);
  void OnLiveHosts(const std::vector<HostId>& aHosts);
  /// A credit message of the router or of a peer; false for other types.
  bool OnRouterMessage(const PeerMessage& aMessage);
  bool OnPeerMessage(const PeerMessage& aMessage);

private:
  void Tick();

  Scheduler& mScheduler;
  HostId mSelf;
  Hooks mHooks;
  CreditOwner mOwner;
  TimerHandle mTimer;
};

} // namespace ragwortdeck
