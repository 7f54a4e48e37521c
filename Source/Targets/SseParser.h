#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief One server-sent event.
struct SseEvent
{
  /// The "event" field; empty when absent.
  std::string mType;
  /// The "data" lines, joined by line feeds.
  std::string mData;

  bool operator==(const SseEvent&) const = default;
};

/// \brief Incremental parser of a text/event-stream body.
///
/// Lines end with LF or CRLF. Fields other than "event" and "data" and
/// comments are skipped.
class SseParser
{
public:
  /// Returns false to stop parsing; the parser may then be gone.
  using Sink = std::function<bool(SseEvent&&)>;

  explicit SseParser(std::size_t aMaxEventBytes = kDefaultMaxEventBytes)
    : mMaxEventBytes(aMaxEventBytes)
  {
  }

  /// Parses aBytes and hands each complete event to aSink. Returns false when
  /// an event exceeds the limit; the stream is then unusable.
  bool Feed(std::string_view aBytes, const Sink& aSink);
  /// Bytes of memory that an incomplete event takes.
  std::size_t HeldBytes() const
  {
    return mPartial.capacity() + mEvent.mData.capacity();
  }

  static constexpr std::size_t kDefaultMaxEventBytes = 4 << 20;

private:
  void AcceptLine(std::string_view aLine);

  std::size_t mMaxEventBytes;
  /// Bytes of the last, incomplete line.
  std::string mPartial;
  SseEvent mEvent;
  bool mHasData = false;
};

} // namespace ragwortdeck
