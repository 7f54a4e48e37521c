#include "Entry/PendingConnection.h"

#include <poll.h>

namespace ragwortdeck {

bool
HasPendingConnection(tcp::acceptor& aAcceptor)
{
  pollfd entry{ aAcceptor.native_handle(), POLLIN, 0 };
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLIN) != 0;
}

} // namespace ragwortdeck
