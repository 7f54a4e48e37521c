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
