#pragma once

#include "Core/Clock.h"
#include "Core/MemoryCharge.h"
#include "Core/Settings.h"
#include "Entry/Asio.h"

#include <memory>
#include <set>

namespace ragwortdeck {

/// \brief A connection to a target or to the store; closed by its destructor.
struct TargetConnection
{
  /// Bytes that are read ahead. A header, or a chunk's extension, that does not
  /// fit fails the answer.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t(128) << 10U;

  TargetConnection(asio::io_context& aContext,
                   const Endpoint& aEndpoint,
                   MemoryAccount& aMemory)
    : mEndpoint(aEndpoint)
    , mStream(aContext)
    , mCharge(aMemory, MemoryUse::kAnswer)
  {
  }
  /// Charges the memory of mBuffer; false when there is no room for it.
  bool ChargeBuffer() { return mCharge.Resize(mBuffer.capacity()); }
  /// Frees what mBuffer does not need.
  void ShrinkBuffer();
  /// Closes the socket; pending operations fail.
  void Close();
  /// True when the connection is open and no unread bytes have arrived.
  bool IsReusable();

  Endpoint mEndpoint;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxBufferedBytes };
  MemoryCharge mCharge;
  /// The connection was taken from the pool, so a late copy of an answer to an
  /// earlier request may arrive on it.
  bool mReused = false;
  /// Id of the request that was sent last; empty for calls without one.
  std::string mLastRequest;
  /// Ids of the requests that the target refused on this connection.
  std::set<std::string> mRefused;
  /// The connection must not be reused after this time.
  MonotonicTime mIdleUntil;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

} // namespace ragwortdeck
