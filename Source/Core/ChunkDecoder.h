#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
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
    /// The chunks exceed the limit of the body.
    kTooLarge,
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
  /// as a whole; aMaxBodyBytes the sizes of all chunks.
  explicit ChunkDecoder(
    std::size_t aMaxLineBytes,
    std::uint64_t aMaxBodyBytes = std::numeric_limits<std::uint64_t>::max())
    : mMaxLineBytes(aMaxLineBytes)
    , mBodyLeft(aMaxBodyBytes)
  {
  }

  /// Takes some of aBytes, at least one unless the body has ended.
  Step Next(std::string_view aBytes);
  State Current() const { return mState; }

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
  /// Goes on to aAtReturn at the end of a line, and to aElse within its text.
  void AcceptText(char aByte, Place aAtReturn, Place aElse);
  /// Goes on to aPlace if aIsExpected.
  void Expect(bool aIsExpected, Place aPlace);

  std::size_t mMaxLineBytes;
  /// Bytes that the body may still have beyond the current chunk.
  std::uint64_t mBodyLeft;
  State mState = State::kReading;
  Place mPlace = Place::kSize;
  bool mHasDigit = false;
  std::size_t mLineBytes = 0;
  /// Size of the current chunk, less what was taken of it.
  std::uint64_t mLeft = 0;
};

} // namespace ragwortdeck
