#include "Entry/RequestBody.h"

#include <algorithm>

namespace ragwortdeck {

RequestBody::RequestBody(const http::request_parser<http::empty_body>& aHead,
                         const CallerLimits& aLimits,
                         std::string& aBody)
  : mBody(aBody)
{
  const auto maxBytes = static_cast<std::uint64_t>(aLimits.mBodyBytes);
  if (aHead.chunked()) {
    mChunks.emplace(static_cast<std::size_t>(aLimits.mHeaderBytes), maxBytes);
    return;
  }
  mLength = aHead.content_length().value_or(0);
  // The memory is taken as the bytes arrive, and never copied to grow.
  mBody.reserve(static_cast<std::size_t>(std::min(mLength, maxBytes)));
}

std::size_t
RequestBody::Take(asio::const_buffer aBytes)
{
  const std::string_view bytes(static_cast<const char*>(aBytes.data()),
                               aBytes.size());
  return mChunks ? TakeChunks(*mChunks, bytes) : TakeSized(bytes);
}

std::size_t
RequestBody::TakeSized(std::string_view aBytes)
{
  const auto n = static_cast<std::size_t>(
    std::min<std::uint64_t>(aBytes.size(), mLength - mBody.size()));
  mBody.append(aBytes.substr(0, n));
  if (mBody.size() == mLength) {
    mState = State::kDone;
  }
  return n;
}

std::size_t
RequestBody::TakeChunks(ChunkDecoder& aChunks, std::string_view aBytes)
{
  auto rest = aBytes;
  while (!rest.empty() && mState == State::kReading) {
    const auto step = aChunks.Next(rest);
    mBody.append(step.mData);
    rest.remove_prefix(step.mTaken);
    mState = aChunks.Current();
  }
  return aBytes.size() - rest.size();
}

} // namespace ragwortdeck
