#pragma once

#include "Entry/Asio.h"

namespace ragwortdeck {

/// Whether the kernel has accepted a connection that aAcceptor has not returned
/// yet. It is reset when the acceptor closes.
bool
HasPendingConnection(tcp::acceptor& aAcceptor);

} // namespace ragwortdeck
