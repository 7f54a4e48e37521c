#pragma once

#include "Core/ChunkDecoder.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief Follows the bytes of one HTTP/1 request as far as needed to enforce
/// limits before anything buffers the body.
class RequestScanner
{
public:
  enum class State : std::uint8_t
  {
    kHeader,
    kBody,
    kComplete,
    kHeaderTooLarge,
    kBodyTooLarge,
    /// The end of the request cannot be determined safely.
    kMalformed,
    /// Bytes follow the request before its reply.
    kPipelined,
  };

  RequestScanner(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes)
    : mMaxHeaderBytes(aMaxHeaderBytes)
    , mMaxBodyBytes(aMaxBodyBytes)
    , mChunks(aMaxHeaderBytes, aMaxBodyBytes)
  {
  }

  /// Takes the next bytes of the connection. A state after kBody is final
  /// until Reset().
  State Feed(std::string_view aBytes);
  void Reset();

  State Current() const { return mState; }
  bool HasStarted() const { return mState != State::kHeader || mHeaderBytes; }
  /// The caller asked for the connection to end after the reply.
  bool WantsClose() const { return mWantsClose; }
  /// The caller waits for "100 Continue" before it sends the body.
  bool WantsContinue() const { return mWantsContinue; }
  bool IsHttp10() const { return mIsHttp10; }
  /// Bytes of the request that were taken, and those of them that are its head
  /// and its body.
  std::uint64_t TakenBytes() const { return mTakenBytes; }
  std::uint64_t HeaderBytes() const { return mHeaderBytes; }
  std::uint64_t BodyBytes() const { return mBodyBytes; }

private:
  void AcceptHeaderByte(char aByte);
  void AcceptLine();
  void AcceptField(std::string_view aName, std::string_view aValue);
  void EndHeader();
  std::size_t AcceptBody(std::string_view aBytes);
  std::size_t AcceptChunked(std::string_view aBytes);

  std::size_t mMaxHeaderBytes;
  std::size_t mMaxBodyBytes;
  State mState = State::kHeader;
  std::size_t mHeaderBytes = 0;
  std::string mLine;
  bool mIsFirstLine = true;
  bool mHasLength = false;
  bool mIsChunked = false;
  bool mWantsClose = false;
  bool mWantsContinue = false;
  bool mIsHttp10 = false;
  std::uint64_t mLeft = 0;
  std::uint64_t mBodyBytes = 0;
  std::uint64_t mTakenBytes = 0;
  ChunkDecoder mChunks;
};

} // namespace ragwortdeck
