#include "Events/EventMerger.h"

#include <algorithm>
#include <tuple>

namespace ragwortdeck {

namespace {

auto
OrderOf(const Event& aEvent)
{
  return std::tie(aEvent.mTime, aEvent.mHost, aEvent.mProcess);
}

} // namespace

bool
EventFilter::Keeps(const Event& aEvent) const
{
  const auto time = aEvent.mTime.Wall();
  return (mRequest.IsEmpty() || aEvent.mRequest == mRequest) &&
         (mHost.IsEmpty() || aEvent.mHost == mHost) &&
         (!mFrom || time >= *mFrom) && (!mTo || time <= *mTo);
}

EventMerger::EventMerger(EventFilter aFilter)
  : mFilter(std::move(aFilter))
{
}

void
EventMerger::Add(const std::vector<Event>& aEvents)
{
  std::copy_if(aEvents.begin(),
               aEvents.end(),
               std::back_inserter(mEvents),
               [this](const Event& aEvent) { return mFilter.Keeps(aEvent); });
}

Result<void>
EventMerger::AddJsonLines(const std::string& aText, const std::string& aName)
{
  std::vector<Event> events;
  std::size_t start = 0;
  for (int line = 1; start < aText.size(); ++line) {
    const auto end = std::min(aText.find('\n', start), aText.size());
    const auto text = aText.substr(start, end - start);
    start = end + 1;
    if (text.find_first_not_of(" \r\t") == std::string::npos) {
      continue;
    }
    auto event = EventFromJson(text);
    if (!event) {
      return Failure(event.error().mCode,
                     aName + ":" + std::to_string(line) + ": " +
                       event.error().mMessage);
    }
    events.push_back(std::move(event).value());
  }
  Add(events);
  return Success();
}

std::vector<Event>
EventMerger::Merged() const
{
  auto events = mEvents;
  std::stable_sort(
    events.begin(), events.end(), [](const Event& aLeft, const Event& aRight) {
      return OrderOf(aLeft) < OrderOf(aRight);
    });
  events.erase(std::unique(events.begin(),
                           events.end(),
                           [](const Event& aLeft, const Event& aRight) {
                             return OrderOf(aLeft) == OrderOf(aRight);
                           }),
               events.end());
  return events;
}

} // namespace ragwortdeck
