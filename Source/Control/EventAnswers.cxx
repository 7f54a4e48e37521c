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
  auto events = CollectEvents(mRecorder, fetch.value().mFrom);
  const auto routers = std::uint32_t(mHooks.mRouterCount());
  events.mPending = routers;
  mHooks.mReply(aMessage.mFrom, PeerMessage::Of(events));
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
