#pragma once

#include "Core/AnswerHead.h"
#include "Core/Clock.h"
#include "Core/MemoryCharge.h"
#include "Core/Settings.h"
#include "Entry/Asio.h"

#include <functional>
#include <memory>
#include <set>

namespace ragwortdeck {

/// \brief A connection to a target or to the store; closed by its destructor.
struct TargetConnection : std::enable_shared_from_this<TargetConnection>
{
  /// How far the last request has been sent.
  enum class Upload
  {
    kSending,
    kSent,
    kFailed,
  };
  /// Called with an answer whose head was refused.
  using OnRefused = std::function<void(const TargetConnection&, HeadFault)>;

  /// Bytes that are read ahead. A header, or a chunk's extension, that does not
  /// fit fails the answer.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t(128) << 10U;

  TargetConnection(asio::io_context& aContext,
                   const Endpoint& aEndpoint,
                   MemoryAccount& aMemory)
    : mEndpoint(aEndpoint)
    , mStream(aContext)
    , mCharge(aMemory, MemoryUse::kAnswer)
    , mUploadEnd(aContext)
  {
  }
  /// Starts to send aRequest. Its answer is read meanwhile, since a target may
  /// answer early.
  template<typename Body>
  void Send(std::shared_ptr<const http::request<Body>> aRequest)
  {
    mUpload = Upload::kSending;
    const auto& request = *aRequest;
    http::async_write(
      mStream,
      request,
      [self = shared_from_this(),
       aRequest = std::move(aRequest)](const error_code& aError, std::size_t) {
        self->mUpload = aError ? Upload::kFailed : Upload::kSent;
        self->mUploadEnd.cancel();
      });
  }
  /// Waits until the request has been sent or cannot be.
  Task<void> WaitForUpload();
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
  Upload mUpload = Upload::kSent;
  /// Cancelled when the upload ends.
  asio::steady_timer mUploadEnd;
  OnRefused mOnRefused;
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
