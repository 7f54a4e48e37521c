#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief One complete server-sent event, as the target sent it.
struct StreamEvent
{
  std::string mBytes;
  /// Value of its id field; empty if it has none.
  std::string mId;
  /// It has an id or data, unlike a comment that only keeps a connection open.
  bool mHasContent = false;
  bool operator==(const StreamEvent&) const = default;
  /// Whether it has no lines but comments and reconnection times.
  bool IsComment() const;
};

/// \brief Splits a byte stream (text/event-stream) into complete events.
class EventSplitter
{
public:
  void Append(std::string_view aBytes) { mBuffer.append(aBytes); }
  /// Returns the next event, or nothing until it is complete.
  std::optional<StreamEvent> Next();
  /// Whether bytes of an incomplete event are buffered.
  bool HasPartial() const { return mBuffer.size() > mStart; }
  std::size_t Size() const { return mBuffer.size() - mStart; }
  /// Bytes of memory that the buffer takes.
  std::size_t HeldBytes() const { return mBuffer.capacity(); }

private:
  std::string mBuffer;
  std::size_t mStart = 0;
};

} // namespace ragwortdeck
