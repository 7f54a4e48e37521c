#include "Entry/RequestBody.h"

#include <algorithm>

namespace ragwortdeck {

RequestBody::RequestBody(const http::request_parser<http::empty_body>& aHead,
                         const CallerLimits& aLimits,
                         std::string& aBody)
  : mMaxBytes(static_cast<std::uint64_t>(aLimits.mBodyBytes))
  , mBody(aBody)
{
  if (aHead.chunked()) {
    mChunks.emplace(static_cast<std::size_t>(aLimits.mHeaderBytes));
    return;
  }
  mLength = aHead.content_length().value_or(0);
  // The memory is taken as the bytes arrive, and never copied to grow.
  mBody.reserve(static_cast<std::size_t>(std::min(mLength, mMaxBytes)));
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
    switch (aChunks.Current()) {
      case ChunkDecoder::State::kReading:
        if (aChunks.Left() > mMaxBytes ||
            mBody.size() + aChunks.Left() > mMaxBytes) {
          mState = State::kTooLarge;
        }
        break;
      case ChunkDecoder::State::kDone:
        mState = State::kDone;
        break;
      case ChunkDecoder::State::kMalformed:
        mState = State::kMalformed;
        break;
      case ChunkDecoder::State::kTooLong:
        mState = State::kLineTooLong;
        break;
    }
  }
  return aBytes.size() - rest.size();
}

} // namespace ragwortdeck
