#include "Core/ChunkDecoder.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr std::uint64_t kHexBase = 16;

/// The value of a hexadecimal digit; -1 for another character.
int
DigitValue(char aByte)
{
  constexpr int kTen = 10;
  if (aByte >= '0' && aByte <= '9') {
    return aByte - '0';
  }
  if (aByte >= 'a' && aByte <= 'f') {
    return aByte - 'a' + kTen;
  }
  return aByte >= 'A' && aByte <= 'F' ? aByte - 'A' + kTen : -1;
}

/// Whether aByte may stand in an extension or a trailer.
bool
IsText(char aByte)
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
}

} // namespace

ChunkDecoder::Step
ChunkDecoder::Next(std::string_view aBytes)
{
  if (mState != State::kReading || aBytes.empty()) {
    return {};
  }
  if (mPlace == Place::kData) {
    const auto n =
      static_cast<std::size_t>(std::min<std::uint64_t>(aBytes.size(), mLeft));
    mLeft -= n;
    if (mLeft == 0) {
      mPlace = Place::kDataReturn;
    }
    return { n, aBytes.substr(0, n) };
  }
  std::size_t n = 0;
  while (n < aBytes.size() && mState == State::kReading &&
         mPlace != Place::kData) {
    Accept(aBytes[n]);
    ++n;
  }
  return { n, {} };
}

void
ChunkDecoder::Expect(bool aIsExpected, Place aPlace)
{
  if (aIsExpected) {
    mPlace = aPlace;
  } else {
    mState = State::kMalformed;
  }
}

void
ChunkDecoder::Accept(char aByte)
{
  if (++mLineBytes > mMaxLineBytes) {
    mState = State::kTooLong;
    return;
  }
  switch (mPlace) {
    case Place::kSize:
      AcceptSize(aByte);
      return;
    case Place::kExtension:
      AcceptText(aByte, Place::kSizeEnd, Place::kExtension);
      return;
    case Place::kSizeEnd:
      Expect(aByte == '\n', mLeft > 0 ? Place::kData : Place::kTrailerStart);
      mBodyLeft -= mLeft;
      mLineBytes = 0;
      return;
    case Place::kData:
      return;
    case Place::kDataReturn:
      Expect(aByte == '\r', Place::kDataEnd);
      return;
    case Place::kDataEnd:
      Expect(aByte == '\n', Place::kSize);
      mHasDigit = false;
      mLineBytes = 0;
      return;
    case Place::kTrailerStart:
      AcceptText(aByte, Place::kTrailerEnd, Place::kTrailer);
      return;
    case Place::kTrailer:
      AcceptText(aByte, Place::kTrailerLineEnd, Place::kTrailer);
      return;
    case Place::kTrailerLineEnd:
      Expect(aByte == '\n', Place::kTrailerStart);
      return;
    case Place::kTrailerEnd:
      mState = aByte == '\n' ? State::kDone : State::kMalformed;
      return;
  }
}

void
ChunkDecoder::AcceptText(char aByte, Place aAtReturn, Place aElse)
{
  Expect(aByte == '\r' || IsText(aByte), aByte == '\r' ? aAtReturn : aElse);
}

void
ChunkDecoder::AcceptSize(char aByte)
{
  if (const int digit = DigitValue(aByte); digit >= 0) {
    constexpr auto kMaxBeforeDigit =
      std::numeric_limits<std::uint64_t>::max() / kHexBase;
    if (mLeft > kMaxBeforeDigit) {
      mState = State::kMalformed;
      return;
    }
    mLeft = mLeft * kHexBase + static_cast<std::uint64_t>(digit);
    mHasDigit = true;
    if (mLeft > mBodyLeft) {
      mState = State::kTooLarge;
    }
    return;
  }
  // Spaces before an extension are allowed (RFC 9112, 7.1.1).
  const bool isEnd = aByte == '\r';
  const bool isExtension = aByte == ';' || aByte == ' ' || aByte == '\t';
  Expect(mHasDigit && (isEnd || isExtension),
         isEnd ? Place::kSizeEnd : Place::kExtension);
}

} // namespace ragwortdeck
