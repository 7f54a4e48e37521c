#include "Entry/CallerStream.h"

#include <sstream>

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
CallerStream::WriteRaw(std::string aBytes)
{
  error_code ec;
  mStream.expires_after(kWriteTimeout);
  co_await asio::async_write(mStream, asio::buffer(aBytes), RedirectError(ec));
  mStream.expires_never();
  co_return ec;
}

Task<error_code>
CallerStream::WriteEvent(std::string aBytes)
{
  std::ostringstream out;
  out << TakeHead() << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  co_return co_await WriteRaw(out.str());
}

Task<error_code>
CallerStream::Complete()
{
  co_return co_await WriteRaw(TakeHead() + "0\r\n\r\n");
}

} // namespace ragwortdeck
