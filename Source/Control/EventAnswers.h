#pragma once

#include "Core/Scheduler.h"
#include "Events/EventRecorder.h"
#include "Peer/EventMessages.h"
#include "Peer/PeerMessage.h"

namespace ragwortdeck {

/// \brief Answers events_fetch with the events of this process, and passes it
/// on to the routers of this host.
class EventAnswers
{
public:
  struct Hooks
  {
    std::function<void(const HostId&, const PeerMessage&)> mReply;
    std::function<void(const PeerMessage&)> mSendToRouters;
    std::function<std::size_t()> mRouterCount;
  };

  EventAnswers(Scheduler& aScheduler, EventRecorder& aRecorder, Hooks aHooks);

  void OnFetch(const PeerMessage& aMessage);
  /// Events of a router, for those who asked within the last seconds.
  void OnRouterEvents(const PeerMessage& aMessage);

private:
  Scheduler& mScheduler;
  EventRecorder& mRecorder;
  Hooks mHooks;
  std::map<HostId, MonotonicTime> mAsked;
};

} // namespace ragwortdeck
