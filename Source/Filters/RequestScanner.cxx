#include "Filters/RequestScanner.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ragwortdeck {

namespace {

constexpr int kDecimalBase = 10;
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

std::string
ToLower(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(),
                 text.end(),
                 text.begin(),
                 [](unsigned char aByte) { return char(std::tolower(aByte)); });
  return text;
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// Whether aText may name a header field (RFC 9110, 5.6.2).
bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return aByte < 0x80 &&
                  (std::isalnum(aByte) != 0 ||
                   kTokenMarks.find(char(aByte)) != std::string_view::npos);
         });
}

/// Whether aText has no control characters but tabs.
bool
IsFieldValue(std::string_view aText)
{
  return std::none_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte != '\t' && (aByte < 0x20 || aByte == 0x7f);
  });
}

bool
ParseNumber(std::string_view aText, int aBase, std::uint64_t& aValue)
{
  const auto* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, aValue, aBase);
  return ec == std::errc() && rest == end && !aText.empty();
}

} // namespace

void
RequestScanner::Reset()
{
  // An assignment would keep the capacity.
  std::string().swap(mLine);
  *this = RequestScanner(mMaxHeaderBytes, mMaxBodyBytes);
}

RequestScanner::State
RequestScanner::Feed(std::string_view aBytes)
{
  mTakenBytes += aBytes.size();
  std::size_t at = 0;
  while (at < aBytes.size()) {
    switch (mState) {
      case State::kHeader:
        AcceptHeaderByte(aBytes[at]);
        ++at;
        break;
      case State::kBody:
        at += mIsChunked ? AcceptChunked(aBytes.substr(at))
                         : AcceptBody(aBytes.substr(at));
        break;
      case State::kComplete:
        mState = State::kPipelined;
        return mState;
      default:
        return mState;
    }
  }
  return mState;
}

void
RequestScanner::AcceptHeaderByte(char aByte)
{
  if (++mHeaderBytes > mMaxHeaderBytes) {
    mState = State::kHeaderTooLarge;
    return;
  }
  if (aByte != '\n') {
    mLine += aByte;
    return;
  }
  if (!mLine.empty() && mLine.back() == '\r') {
    mLine.pop_back();
  }
  AcceptLine();
  mLine.clear();
}

void
RequestScanner::AcceptLine()
{
  if (mIsFirstLine) {
    // An empty line before the request line is allowed (RFC 9112, 2.2).
    if (!mLine.empty()) {
      mIsFirstLine = false;
      mIsHttp10 = mLine.ends_with("HTTP/1.0");
    }
    return;
  }
  if (mLine.empty()) {
    EndHeader();
    return;
  }
  const auto colon = mLine.find(':');
  const std::string_view line = mLine;
  // Another parser may trim an odd name or value to one that frames the body.
  // Continuation lines, which are obsolete, have no token before a colon.
  if (colon == std::string::npos || !IsToken(line.substr(0, colon)) ||
      !IsFieldValue(line.substr(colon + 1))) {
    mState = State::kMalformed;
    return;
  }
  AcceptField(line.substr(0, colon), Trim(line.substr(colon + 1)));
}

void
RequestScanner::AcceptField(std::string_view aName, std::string_view aValue)
{
  const auto name = ToLower(aName);
  const auto value = ToLower(aValue);
  if (name == "content-length") {
    if (mHasLength || !ParseNumber(value, kDecimalBase, mLeft)) {
      mState = State::kMalformed;
    }
    mHasLength = true;
  } else if (name == "transfer-encoding") {
    if (mIsChunked || value != "chunked") {
      mState = State::kMalformed;
    }
    mIsChunked = true;
  } else if (name == "connection") {
    mWantsClose = mWantsClose || value.find("close") != std::string::npos;
  } else if (name == "expect") {
    mWantsContinue = value == "100-continue";
  }
}

void
RequestScanner::EndHeader()
{
  mWantsClose = mWantsClose || mIsHttp10;
  // Both framings together, or chunks in a version that has none, allow request
  // smuggling (RFC 9112, 6.1).
  if (mIsChunked && (mHasLength || mIsHttp10)) {
    mState = State::kMalformed;
  } else if (mIsChunked) {
    mState = State::kBody;
  } else if (mLeft > mMaxBodyBytes) {
    mState = State::kBodyTooLarge;
  } else {
    mState = mLeft > 0 ? State::kBody : State::kComplete;
  }
}

std::size_t
RequestScanner::AcceptBody(std::string_view aBytes)
{
  const auto n = std::min<std::uint64_t>(aBytes.size(), mLeft);
  mLeft -= n;
  mBodyBytes += n;
  if (mLeft == 0) {
    mState = State::kComplete;
  }
  return std::size_t(n);
}

std::size_t
RequestScanner::AcceptChunked(std::string_view aBytes)
{
  const auto step = mChunks.Next(aBytes);
  mBodyBytes += step.mData.size();
  switch (mChunks.Current()) {
    case ChunkDecoder::State::kReading:
      break;
    case ChunkDecoder::State::kTooLarge:
      mState = State::kBodyTooLarge;
      break;
    case ChunkDecoder::State::kDone:
      mState = State::kComplete;
      break;
    case ChunkDecoder::State::kTooLong:
      mState = State::kHeaderTooLarge;
      break;
    case ChunkDecoder::State::kMalformed:
      mState = State::kMalformed;
      break;
  }
  return step.mTaken;
}

} // namespace ragwortdeck
