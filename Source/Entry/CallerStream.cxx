#include "Entry/CallerStream.h"

#include <array>
#include <sstream>
#include <utility>

namespace ragwortdeck {

void
CallerStream::SetHead(http::response<http::empty_body> aHead)
{
  if (!mHead) {
    mHead = std::move(aHead);
  }
}

std::string
CallerStream::TakeHead()
{
  if (HasBegun() || !mHead) {
    return {};
  }
  mRequest.mAnswerBegun = true;
  std::ostringstream out;
  out << mHead->base();
  return out.str();
}

Task<error_code>
CallerStream::Write(std::string aStart, std::string aBytes, std::string aEnd)
{
  const std::array buffers = { asio::buffer(std::as_const(aStart)),
                               asio::buffer(std::as_const(aBytes)),
                               asio::buffer(std::as_const(aEnd)) };
  error_code ec;
  mStream.expires_after(kWriteTimeout);
  co_await asio::async_write(mStream, buffers, RedirectError(ec));
  mStream.expires_never();
  co_return ec;
}

Task<error_code>
CallerStream::WriteEvent(std::string aBytes)
{
  std::ostringstream start;
  start << TakeHead() << std::hex << aBytes.size() << "\r\n";
  co_return co_await Write(start.str(), std::move(aBytes), "\r\n");
}

Task<error_code>
CallerStream::Complete()
{
  co_return co_await Write(TakeHead(), {}, "0\r\n\r\n");
}

} // namespace ragwortdeck
