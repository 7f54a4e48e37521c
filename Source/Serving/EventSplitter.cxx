#include "Serving/EventSplitter.h"

namespace ragwortdeck {

namespace {

std::string
IdOf(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      if (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      return std::string(line);
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return {};
}

} // namespace

std::optional<StreamEvent>
EventSplitter::Next()
{
  // An event ends at a blank line; lines end in LF or CRLF.
  auto lineEnd = mStart;
  while (true) {
    lineEnd = mBuffer.find('\n', lineEnd);
    if (lineEnd == std::string::npos) {
      if (mStart == mBuffer.size()) {
        mBuffer.clear();
        mStart = 0;
      }
      return std::nullopt;
    }
    ++lineEnd;
    auto next = lineEnd;
    if (next < mBuffer.size() && mBuffer[next] == '\r') {
      ++next;
    }
    if (next < mBuffer.size() && mBuffer[next] == '\n') {
      StreamEvent event;
      event.mBytes = mBuffer.substr(mStart, next + 1 - mStart);
      event.mId = IdOf(event.mBytes);
      mStart = next + 1;
      return event;
    }
  }
}

} // namespace ragwortdeck
