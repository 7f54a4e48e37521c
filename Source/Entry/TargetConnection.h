#pragma once

#include "Core/Clock.h"
#include "Core/Settings.h"
#include "Entry/Asio.h"

#include <memory>

namespace ragwortdeck {

/// \brief A connection to a target or to the store; closed by its destructor.
struct TargetConnection
{
  TargetConnection(asio::io_context& aContext, const Endpoint& aEndpoint)
    : mEndpoint(aEndpoint)
    , mStream(aContext)
  {
  }
  /// Closes the socket; pending operations fail.
  void Close();
  /// True when the connection is open and no unread bytes have arrived.
  bool IsReusable();

  Endpoint mEndpoint;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  /// The connection was taken from the pool.
  bool mReused = false;
  /// The connection must not be reused after this time.
  MonotonicTime mIdleUntil;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

} // namespace ragwortdeck
