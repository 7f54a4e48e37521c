#include "Core/AnswerHead.h"

#include "Core/HttpStatus.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ragwortdeck {

namespace {

constexpr unsigned kSwitchingProtocols = 101;

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

/// Whether aChar may stand in a token (RFC 9110, 5.6.2).
bool
IsTokenChar(char aChar)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z') ||
         kMarks.find(aChar) != std::string_view::npos;
}

/// Whether aChar may stand in the value of a field or in a reason.
bool
IsTextChar(char aChar)
{
  constexpr unsigned char kDelete = 0x7f;
  const auto c = static_cast<unsigned char>(aChar);
  return aChar == '\t' || (c >= ' ' && c != kDelete);
}

bool
IsBlank(char aChar)
{
  return aChar == ' ' || aChar == '\t';
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && IsBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && IsBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

bool
EqualsIgnoringCase(std::string_view aText, std::string_view aOther)
{
  const auto lower = [](char aChar) {
    return std::tolower(static_cast<unsigned char>(aChar));
  };
  return std::equal(
    aText.begin(),
    aText.end(),
    aOther.begin(),
    aOther.end(),
    [&](char aLeft, char aRight) { return lower(aLeft) == lower(aRight); });
}

} // namespace

const char*
ToText(HeadFault aFault)
{
  switch (aFault) {
    case HeadFault::kNone:
      return "none";
    case HeadFault::kStatusLine:
      return "malformed status line";
    case HeadFault::kStatus:
      return "status out of range";
    case HeadFault::kSwitchedProtocol:
      return "unrequested change of protocol";
    case HeadFault::kLineEnd:
      return "malformed line ending";
    case HeadFault::kFieldName:
      return "malformed field name";
    case HeadFault::kFieldValue:
      return "control character in a field value";
    case HeadFault::kFoldedLine:
      return "folded field line";
    case HeadFault::kLength:
      return "invalid content length";
    case HeadFault::kTransferCoding:
      return "unknown or ambiguous transfer coding";
    case HeadFault::kTooLong:
      return "head too long";
  }
  return "unknown";
}

void
AnswerHead::Refuse(HeadFault aFault)
{
  if (mFault == HeadFault::kNone) {
    mFault = aFault;
  }
}

std::size_t
AnswerHead::Take(std::string_view aBytes)
{
  std::size_t taken = 0;
  while (!mIsComplete && mFault == HeadFault::kNone) {
    auto line = aBytes.substr(taken);
    const auto end = line.find('\n');
    const bool isWhole = end != std::string_view::npos;
    line = line.substr(0, end);
    if (mTaken + line.size() + (isWhole ? 1 : 0) > kMaxBytes) {
      Refuse(HeadFault::kTooLong);
      break;
    }
    const bool hasReturn = line.ends_with('\r');
    if (hasReturn) {
      line.remove_suffix(1);
    }
    CheckLine(line, isWhole);
    if (isWhole && !hasReturn) {
      Refuse(HeadFault::kLineEnd);
    }
    if (!isWhole || mFault != HeadFault::kNone) {
      break;
    }
    const auto size = end + 1;
    taken += size;
    mTaken += size;
  }
  return taken;
}

void
AnswerHead::CheckLine(std::string_view aLine, bool aIsWhole)
{
  if (mTaken == 0) {
    CheckStatusLine(aLine, aIsWhole);
  } else if (!aLine.empty()) {
    CheckField(aLine, aIsWhole);
  } else {
    mIsComplete = aIsWhole;
  }
}

void
AnswerHead::CheckStatusLine(std::string_view aLine, bool aIsWhole)
{
  // A digit stands for any digit.
  constexpr std::string_view kForm = "HTTP/1.0 000 ";
  constexpr std::size_t kVersionAt = 7;
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kStatusSize = 3;
  if (aLine.size() > kStatusAt && IsDigit(aLine[kStatusAt]) &&
      (aLine[kStatusAt] < '1' || aLine[kStatusAt] > '5')) {
    Refuse(HeadFault::kStatus);
    return;
  }
  for (std::size_t n = 0; n < std::min(aLine.size(), kForm.size()); ++n) {
    const bool fits = n == kVersionAt   ? aLine[n] == '0' || aLine[n] == '1'
                      : kForm[n] == '0' ? IsDigit(aLine[n])
                                        : aLine[n] == kForm[n];
    if (!fits) {
      Refuse(HeadFault::kStatusLine);
      return;
    }
  }
  const auto reason = aLine.substr(std::min(aLine.size(), kForm.size()));
  if ((aIsWhole && aLine.size() < kForm.size()) ||
      !std::all_of(reason.begin(), reason.end(), IsTextChar)) {
    Refuse(HeadFault::kStatusLine);
    return;
  }
  if (aLine.size() < kStatusAt + kStatusSize) {
    return;
  }
  const auto digits = aLine.substr(kStatusAt, kStatusSize);
  std::from_chars(digits.data(), digits.data() + digits.size(), mStatus);
  mIsHttp10 = aLine[kVersionAt] == '0';
  if (mStatus == kSwitchingProtocols) {
    Refuse(HeadFault::kSwitchedProtocol);
  }
}

void
AnswerHead::CheckField(std::string_view aLine, bool aIsWhole)
{
  if (IsBlank(aLine.front())) {
    Refuse(HeadFault::kFoldedLine);
    return;
  }
  const auto colon = aLine.find(':');
  const auto name = aLine.substr(0, colon);
  const bool hasName = colon != std::string_view::npos;
  if (!std::all_of(name.begin(), name.end(), IsTokenChar) ||
      (hasName && name.empty()) || (aIsWhole && !hasName)) {
    Refuse(HeadFault::kFieldName);
    return;
  }
  if (!hasName) {
    return;
  }
  const auto value = aLine.substr(colon + 1);
  if (!std::all_of(value.begin(), value.end(), IsTextChar)) {
    Refuse(HeadFault::kFieldValue);
  } else if (aIsWhole) {
    TakeField(name, Trim(value));
  }
}

void
AnswerHead::TakeField(std::string_view aName, std::string_view aValue)
{
  if (EqualsIgnoringCase(aName, "Content-Length")) {
    const auto* end = aValue.data() + aValue.size();
    const auto [parsedEnd, ec] = std::from_chars(aValue.data(), end, mLength);
    if (mHasLength || ec != std::errc() || parsedEnd != end) {
      Refuse(HeadFault::kLength);
    }
    mHasLength = true;
  } else if (EqualsIgnoringCase(aName, "Transfer-Encoding")) {
    if (mIsChunked || mIsHttp10 || !EqualsIgnoringCase(aValue, "chunked")) {
      Refuse(HeadFault::kTransferCoding);
    }
    mIsChunked = true;
  }
  if (mHasLength && mIsChunked) {
    Refuse(HeadFault::kTransferCoding);
  }
}

bool
AnswerHead::IsInterim() const
{
  return mStatus < kStatusOk;
}

bool
AnswerHead::HasNoBody() const
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return IsInterim() || mStatus == kNoContent || mStatus == kNotModified;
}

AnswerHead::Framing
AnswerHead::BodyFraming() const
{
  if (mIsChunked) {
    return Framing::kChunks;
  }
  return mHasLength ? Framing::kLength : Framing::kUnmarked;
}

} // namespace ragwortdeck
