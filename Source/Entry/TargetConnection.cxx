#include "Entry/TargetConnection.h"

#include <sys/socket.h>

namespace ragwortdeck {

void
TargetConnection::Close()
{
  error_code ec;
  mStream.socket().close(ec);
}

void
TargetConnection::ShrinkBuffer()
{
  mBuffer.shrink_to_fit();
  // Shrinking needs no room.
  static_cast<void>(ChargeBuffer());
}

Task<void>
TargetConnection::WaitForUpload()
{
  const auto self = shared_from_this();
  while (mUpload == Upload::kSending) {
    mUploadEnd.expires_at(asio::steady_timer::time_point::max());
    error_code ec;
    co_await mUploadEnd.async_wait(RedirectError(ec));
  }
}

bool
TargetConnection::IsReusable()
{
  if (!mStream.socket().is_open() || mBuffer.size() > 0) {
    return false;
  }
  char byte = 0;
  const auto n =
    recv(mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace ragwortdeck
