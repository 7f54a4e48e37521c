#pragma once

#include "Core/ChunkDecoder.h"
#include "Entry/Asio.h"
#include "Serving/ServingTable.h"

#include <optional>
#include <string>

namespace ragwortdeck {

/// \brief Takes the body of a caller's request from the bytes that arrive after
/// its head. Sizes and extensions of chunks, and trailers, are dropped; they
/// have the limit of a head.
class RequestBody
{
public:
  using State = ChunkDecoder::State;

  /// Appends the body to aBody, which must outlive this object.
  RequestBody(const http::request_parser<http::empty_body>& aHead,
              const CallerLimits& aLimits,
              std::string& aBody);

  /// Returns how many of aBytes belong to the request.
  std::size_t Take(asio::const_buffer aBytes);
  State Current() const { return mState; }

private:
  std::size_t TakeSized(std::string_view aBytes);
  std::size_t TakeChunks(ChunkDecoder& aChunks, std::string_view aBytes);

  std::string& mBody;
  /// Length that the head states.
  std::uint64_t mLength = 0;
  std::optional<ChunkDecoder> mChunks;
  State mState = State::kReading;
};

} // namespace ragwortdeck
