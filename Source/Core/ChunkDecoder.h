#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ragwortdeck {

/// \brief Decodes a body in chunks (RFC 9112, 7.1) as its bytes arrive. It
/// holds none of them, whatever the sizes, extensions and trailers are.
class ChunkDecoder
{
public:
  enum class State : std::uint8_t
  {
    kReading,
    kDone,
    kMalformed,
    /// A chunk's line or the trailer is longer than the limit.
    kTooLong,
  };

  /// What Next() took from its bytes.
  struct Step
  {
    std::size_t mTaken = 0;
    /// Data of the body, a part of the bytes taken.
    std::string_view mData;
  };

  /// aMaxLineBytes limits the size and extension of one chunk, and the trailer
  /// as a whole.
  explicit ChunkDecoder(std::size_t aMaxLineBytes)
    : mMaxLineBytes(aMaxLineBytes)
  {
  }

  /// Takes some of aBytes, at least one unless the body has ended.
  Step Next(std::string_view aBytes);
  State Current() const { return mState; }
  /// Bytes of data that are due of the current chunk.
  std::uint64_t Left() const { return mLeft; }

private:
  enum class Place : std::uint8_t
  {
    kSize,
    kExtension,
    kSizeEnd,
    kData,
    kDataReturn,
    kDataEnd,
    kTrailerStart,
    kTrailer,
    kTrailerLineEnd,
    kTrailerEnd,
  };

  void Accept(char aByte);
  void AcceptSize(char aByte);
  /// Goes on to aPlace if aIsExpected.
  void Expect(bool aIsExpected, Place aPlace);

  std::size_t mMaxLineBytes;
  State mState = State::kReading;
  Place mPlace = Place::kSize;
  bool mHasDigit = false;
  std::size_t mLineBytes = 0;
  std::uint64_t mLeft = 0;
};

} // namespace ragwortdeck
