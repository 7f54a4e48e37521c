#pragma once

#include "Core/QtScheduler.h"
#include "Filters/Router.h"
#include "Peer/RouterLink.h"

#include <QTimer>

namespace ragwortdeck {

/// \brief Feeds a router with views and credits from ragwort-control, and
/// control with the router's credit requests. Lives on the router's thread.
class ControlLink : public QObject
{
public:
  /// aControl is where ragwort-control of this host listens. The scheduler
  /// and the router must outlive the link.
  ControlLink(Scheduler& aScheduler,
              Router& aRouter,
              const RouterSettings& aSettings,
              const Endpoint& aControl);

private:
  RouterLink::Hooks MakeHooks();
  void OnMessage(const PeerMessage& aMessage);
  void SendCreditRequests();

  Router& mRouter;
  RouterLink mLink;
  QTimer mCreditTimer;
};

} // namespace ragwortdeck
