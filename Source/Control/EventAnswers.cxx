#include "Control/EventAnswers.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("events");
constexpr Duration kWaitForRouters = std::chrono::seconds(5);

} // namespace

EventAnswers::EventAnswers(Scheduler& aScheduler,
                           EventRecorder& aRecorder,
                           Hooks aHooks)
  : mScheduler(aScheduler)
  , mRecorder(aRecorder)
  , mHooks(std::move(aHooks))
{
}

void
EventAnswers::OnFetch(const PeerMessage& aMessage)
{
  const auto fetch = aMessage.As<EventsFetchMessage>();
  if (!fetch) {
    sLog.Error("fetch of " + aMessage.mFrom.Value() +
               " ignored: " + fetch.error().mMessage);
    return;
  }
  auto snapshot = mRecorder.Snapshot();
  auto& events = snapshot.mEvents;
  std::erase_if(events, [&](const Event& aEvent) {
    return aEvent.mTime < fetch.value().mFrom;
  });
  if (events.size() > EventsMessage::kMaxEvents) {
    const auto excess = events.size() - EventsMessage::kMaxEvents;
    snapshot.mLost += excess;
    events.erase(events.begin(), events.begin() + std::ptrdiff_t(excess));
  }
  const auto routers = std::uint32_t(mHooks.mRouterCount());
  mHooks.mReply(aMessage.mFrom,
                PeerMessage::Of(
                  EventsMessage{ std::move(events), snapshot.mLost, routers }));
  if (routers > 0) {
    mAsked[aMessage.mFrom] = mScheduler.Now();
    mHooks.mSendToRouters(aMessage);
  }
}

void
EventAnswers::OnRouterEvents(const PeerMessage& aMessage)
{
  const auto now = mScheduler.Now();
  std::erase_if(mAsked, [&](const auto& aAsked) {
    return now - aAsked.second > kWaitForRouters;
  });
  for (const auto& [host, time] : mAsked) {
    mHooks.mReply(host, aMessage);
  }
}

} // namespace ragwortdeck
