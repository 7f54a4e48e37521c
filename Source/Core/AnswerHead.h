#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ragwortdeck {

/// Why bytes are not the head of an HTTP answer.
enum class HeadFault : std::uint8_t
{
  kNone,
  /// The first line is not "HTTP/1.x" and three digits with a reason.
  kStatusLine,
  /// Not between 100 and 599.
  kStatus,
  /// 101, which changes to a protocol that was not asked for.
  kSwitchedProtocol,
  /// A line does not end with CRLF.
  kLineEnd,
  /// Empty, or with a character that no token has, such as a blank.
  kFieldName,
  /// With a control character other than a tab.
  kFieldValue,
  /// A line goes on in the next one (obs-fold).
  kFoldedLine,
  /// Content-Length is not a number, or is stated more than once.
  kLength,
  /// Not chunks alone, or beside a length, or in HTTP/1.0.
  kTransferCoding,
  kTooLong,
};

const char*
ToText(HeadFault aFault);

/// \brief Strict reader of the head of one HTTP answer, final or interim
/// (RFC 9110, RFC 9112).
///
/// Every answer passes it before anything else reads its head. The parsers of
/// the libraries are lenient, each in its own way: they repair or skip what
/// they do not expect, and what they make of the body is then not what the
/// sender meant.
class AnswerHead
{
public:
  /// Bytes of a head, including the empty line at its end.
  static constexpr std::size_t kMaxBytes = 8192;

  /// How the end of the body is marked, unless the status or the request's
  /// method permits none.
  enum class Framing : std::uint8_t
  {
    kLength,
    kChunks,
    /// By the end of the connection.
    kUnmarked,
  };

  /// Takes the whole lines at the start of aBytes, up to the end of the head,
  /// and returns their size. The bytes of an incomplete line are to be passed
  /// again, with those that follow.
  std::size_t Take(std::string_view aBytes);

  /// Once it is set, no more bytes are taken.
  HeadFault Fault() const { return mFault; }
  bool IsComplete() const { return mIsComplete; }
  /// 0 before the first line.
  unsigned Status() const { return mStatus; }
  /// Another head follows.
  bool IsInterim() const;
  /// No body follows, whatever the head says of it (RFC 9112, 6.3).
  bool HasNoBody() const;
  Framing BodyFraming() const;
  /// Bytes of the body where the framing is kLength.
  std::uint64_t Length() const { return mLength; }

private:
  /// aIsWhole tells whether aLine is a whole line or the start of one.
  void CheckLine(std::string_view aLine, bool aIsWhole);
  void CheckStatusLine(std::string_view aLine, bool aIsWhole);
  void CheckField(std::string_view aLine, bool aIsWhole);
  void TakeField(std::string_view aName, std::string_view aValue);
  void Refuse(HeadFault aFault);

  HeadFault mFault = HeadFault::kNone;
  bool mIsComplete = false;
  bool mIsHttp10 = false;
  bool mHasLength = false;
  bool mIsChunked = false;
  unsigned mStatus = 0;
  std::uint64_t mLength = 0;
  std::size_t mTaken = 0;
};

} // namespace ragwortdeck
