#pragma once

#include "Events/Event.h"

#include <vector>

namespace ragwortdeck {

/// \brief Which events to keep; empty members do not restrict.
struct EventFilter
{
  RequestId mRequest;
  HostId mHost;
  /// Wall-clock part of the hybrid time, both ends included.
  std::optional<WallTime> mFrom;
  std::optional<WallTime> mTo;

  bool Keeps(const Event& aEvent) const;
};

/// \brief Merges the events of several processes into one time line.
class EventMerger
{
public:
  explicit EventMerger(EventFilter aFilter = {});

  void Add(const std::vector<Event>& aEvents);
  /// Adds JSON lines; empty lines are skipped. aName stands for the file in
  /// errors. On an error nothing is added.
  Result<void> AddJsonLines(const std::string& aText, const std::string& aName);
  /// All kept events in order of time, then host and process. An event that
  /// was added twice is kept once: hybrid times are unique per process.
  std::vector<Event> Merged() const;

private:
  EventFilter mFilter;
  std::vector<Event> mEvents;
};

} // namespace ragwortdeck
