#pragma once

#include "Entry/CallerRequest.h"

namespace ragwortdeck {

/// \brief Writes a stream of events to a caller as one chunked answer.
class CallerStream
{
public:
  /// A write that takes longer fails; the caller counts as gone.
  static constexpr std::chrono::seconds kWriteTimeout{ 8 };

  CallerStream(beast::tcp_stream& aStream, CallerRequest& aRequest)
    : mStream(aStream)
    , mRequest(aRequest)
  {
  }

  /// Sets the header that is sent before the first event. Later calls have no
  /// effect.
  void SetHead(http::response<http::empty_body> aHead);
  bool HasHead() const { return mHead.has_value(); }
  /// The header has been sent.
  bool HasBegun() const { return mRequest.mAnswerBegun; }
  Task<error_code> WriteEvent(std::string aBytes);
  /// Closes the connection; a pending write fails.
  void Abort() { mStream.close(); }
  /// Sends the last chunk, which marks the answer as complete.
  Task<error_code> Complete();

private:
  Task<error_code> Write(std::string aStart,
                         std::string aBytes,
                         std::string aEnd);
  std::string TakeHead();

  beast::tcp_stream& mStream;
  CallerRequest& mRequest;
  std::optional<http::response<http::empty_body>> mHead;
};

} // namespace ragwortdeck
