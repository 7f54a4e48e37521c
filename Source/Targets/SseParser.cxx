#include "Targets/SseParser.h"

namespace ragwortdeck {

void
SseParser::AcceptLine(std::string_view aLine)
{
  const auto colon = aLine.find(':');
  const auto field = aLine.substr(0, colon);
  auto value = colon == std::string_view::npos ? std::string_view{}
                                               : aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "event") {
    mEvent.mType = value;
  } else if (field == "data") {
    if (mHasData) {
      mEvent.mData += '\n';
    }
    mEvent.mData += value;
    mHasData = true;
  }
}

bool
SseParser::Feed(std::string_view aBytes, const Sink& aSink)
{
  std::size_t begin = 0;
  while (begin < aBytes.size()) {
    const auto end = aBytes.find('\n', begin);
    const auto piece = aBytes.substr(begin, end - begin);
    const auto size = mPartial.size() + mEvent.mData.size() + piece.size();
    if (size > mMaxEventBytes) {
      return false;
    }
    if (end == std::string_view::npos) {
      mPartial += piece;
      return true;
    }
    begin = end + 1;
    std::string_view line = piece;
    if (!mPartial.empty()) {
      mPartial += piece;
      line = mPartial;
    }
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    const bool isEnd = line.empty();
    if (!isEnd) {
      AcceptLine(line);
    }
    mPartial.clear();
    if (!isEnd) {
      continue;
    }
    auto event = std::move(mEvent);
    const bool hasData = mHasData;
    mEvent = {};
    mHasData = false;
    // An event without data is not dispatched (HTML standard, 9.2.6).
    if (hasData && !aSink(std::move(event))) {
      return true;
    }
  }
  return true;
}

} // namespace ragwortdeck
