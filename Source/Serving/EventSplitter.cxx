#include "Serving/EventSplitter.h"

namespace ragwortdeck {

namespace {

/// A smaller buffer is kept when its events have been returned.
constexpr std::size_t kKeptBytes = 32768;

void
ReadFields(std::string_view aEvent, StreamEvent& aResult)
{
  constexpr std::string_view kIdField = "id:";
  constexpr std::string_view kDataField = "data";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aResult.mHasContent = aResult.mHasContent || line.starts_with(kDataField);
    if (aResult.mId.empty() && line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      if (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      aResult.mId = line;
      aResult.mHasContent = true;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
}

} // namespace

bool
StreamEvent::IsComment() const
{
  std::string_view rest(mBytes);
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const auto line = rest.substr(0, end);
    if (!line.empty() && line != "\r" && !line.starts_with(':') &&
        !line.starts_with("retry:")) {
      return false;
    }
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return true;
}

std::optional<StreamEvent>
EventSplitter::Next()
{
  // An event ends at a blank line; lines end in LF or CRLF.
  auto lineEnd = mStart;
  while (true) {
    lineEnd = mBuffer.find('\n', lineEnd);
    if (lineEnd == std::string::npos) {
      mBuffer.erase(0, mStart);
      mStart = 0;
      if (mBuffer.capacity() > kKeptBytes &&
          mBuffer.size() < mBuffer.capacity() / 2) {
        mBuffer.shrink_to_fit();
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
      ReadFields(event.mBytes, event);
      mStart = next + 1;
      return event;
    }
  }
}

} // namespace ragwortdeck
