#pragma once

#include "Core/AnswerHead.h"
#include "Core/ChunkDecoder.h"
#include "Entry/TargetConnection.h"

#include <optional>
#include <string_view>

namespace ragwortdeck {

/// Fails an answer whose end is in doubt: only the end of the connection marks
/// it, and the request could not be sent.
inline constexpr auto kUploadFailed = asio::error::broken_pipe;

/// The error of an answer whose head is refused; its category is "answer head".
error_code
MakeErrorCode(HeadFault aFault);

/// Whether aError is one of MakeErrorCode().
bool
IsHeadFault(const error_code& aError);

/// \brief Reads one answer from a connection: its head, and then its body part
/// by part. What it holds is limited and charged to the connection.
class AnswerReader
{
public:
  /// A body follows the head of an answer, unless the answer is to HEAD.
  enum class Request
  {
    kHead,
    kOther,
  };

  AnswerReader(TargetConnectionPtr aConnection, Request aRequest);

  /// Fails where AnswerHead finds a fault, which is reported to the connection.
  Task<error_code> ReadHead();
  /// Reads the next part of the body. aPart is valid until the next call, and
  /// empty when the whole body has been read. The connection may be reused only
  /// after that.
  Task<error_code> ReadPart(std::string_view& aPart);

  const http::response<http::empty_body>& Head() const { return mParser.get(); }
  /// The whole answer has been read.
  bool IsDone() const { return mIsDone; }
  /// Only the end of the connection marks the end of the answer.
  bool EndsWithConnection() const { return mEndsWithConnection; }
  /// The connection may carry another request.
  bool MayReuse() const;

private:
  void SetFraming();
  /// Reads more bytes into the buffer of the connection.
  Task<error_code> ReadMore(std::size_t aBytes);
  /// The connection has ended. An answer without another mark of its end is
  /// whole only if it was not reset.
  Task<error_code> JudgeEnd();
  /// Takes a part of the body from the bytes that have been read.
  std::string_view TakePart(error_code& aError);

  TargetConnectionPtr mConnection;
  Request mRequest;
  AnswerHead mHead;
  http::response_parser<http::empty_body> mParser;
  std::optional<ChunkDecoder> mChunks;
  std::uint64_t mLeft = 0;
  /// Bytes of the last part, which are still in the buffer.
  std::size_t mTaken = 0;
  bool mIsDone = false;
  bool mEndsWithConnection = false;
};

} // namespace ragwortdeck
