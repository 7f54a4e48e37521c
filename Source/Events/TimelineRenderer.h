#pragma once

#include "Events/Event.h"

#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Renders a merged time line.
class TimelineRenderer
{
public:
  /// Most rows of an HTML page; a browser stays usable with this many.
  static constexpr std::size_t kMaxHtmlEvents = 20'000;

  /// One line per event: time, host/process, type, then the members that are
  /// set.
  static std::string Text(const std::vector<Event>& aEvents);
  static std::string JsonLines(const std::vector<Event>& aEvents);
  /// One page without references to other files: a row per event, a lane per
  /// process. A click on a row marks all events of the same request. Of more
  /// events than kMaxHtmlEvents the newest are shown, and the page says so.
  static std::string Html(const std::vector<Event>& aEvents);
};

/// "2026-12-04T04:15:30.123456Z".
std::string
ToText(WallTime aTime);

/// Type and the members that are set, in one line.
std::string
Describe(const Event& aEvent);

} // namespace ragwortdeck
