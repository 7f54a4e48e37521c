#include "Peer/EventMessages.h"

namespace ragwortdeck {

EventsMessage
CollectEvents(const EventRecorder& aRecorder, HybridTime aFrom)
{
  auto snapshot = aRecorder.Snapshot();
  auto& events = snapshot.mEvents;
  std::erase_if(events,
                [aFrom](const Event& aEvent) { return aEvent.mTime < aFrom; });
  if (events.size() > EventsMessage::kMaxEvents) {
    const auto excess = events.size() - EventsMessage::kMaxEvents;
    snapshot.mLost += excess;
    events.erase(events.begin(), events.begin() + std::ptrdiff_t(excess));
  }
  return { std::move(events), snapshot.mLost, 0 };
}

} // namespace ragwortdeck
