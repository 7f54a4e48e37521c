#include "Entry/AnswerReader.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"

#include <algorithm>
#include <limits>

namespace ragwortdeck {

namespace {

constexpr std::size_t kReadBytes = 16384;
/// Limit of the size and extension of a chunk, and of the trailer.
constexpr std::size_t kMaxChunkLineBytes = 16384;

/// Answers with these statuses have no body (RFC 9112, 6.3).
bool
HasNoBody(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus < kStatusOk || aStatus == kNoContent ||
         aStatus == kNotModified;
}

} // namespace

AnswerReader::AnswerReader(TargetConnectionPtr aConnection, Request aRequest)
  : mConnection(std::move(aConnection))
  , mRequest(aRequest)
{
  // Whoever reads the body limits it.
  mParser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

Task<error_code>
AnswerReader::ReadHead()
{
  auto connection = mConnection;
  error_code ec;
  co_await http::async_read_header(
    connection->mStream, connection->mBuffer, mParser, RedirectError(ec));
  if (ec) {
    co_return ec;
  }
  if (!connection->ChargeBuffer()) {
    co_return http::error::buffer_overflow;
  }
  // A caller would get the coded bytes, or the bytes of another answer, as
  // the whole body.
  if (FramingOf(Head(), Head().version()) != BodyFraming::kClear) {
    co_return http::error::bad_transfer_encoding;
  }
  SetFraming();
  co_return error_code{};
}

void
AnswerReader::SetFraming()
{
  const auto& head = Head();
  if (mRequest == Request::kHead || HasNoBody(head.result_int())) {
    mIsDone = true;
  } else if (mParser.chunked()) {
    mChunks.emplace(kMaxChunkLineBytes);
  } else if (const auto length = mParser.content_length()) {
    mLeft = *length;
    mIsDone = mLeft == 0;
  } else {
    mEndsWithConnection = true;
  }
}

bool
AnswerReader::MayReuse() const
{
  // A late copy of an answer to HEAD could not be told from one with a body.
  return mIsDone && !mEndsWithConnection && mRequest != Request::kHead &&
         mConnection->mUpload == TargetConnection::Upload::kSent &&
         Head().keep_alive();
}

std::string_view
AnswerReader::TakePart(error_code& aError)
{
  auto& buffer = mConnection->mBuffer;
  const auto data = buffer.data();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  if (mEndsWithConnection) {
    mTaken = bytes.size();
    return bytes;
  }
  if (!mChunks) {
    mTaken =
      static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), mLeft));
    mLeft -= mTaken;
    mIsDone = mLeft == 0;
    return bytes.substr(0, mTaken);
  }
  std::string_view rest = bytes;
  std::string_view part;
  while (part.empty() && !rest.empty() &&
         mChunks->Current() == ChunkDecoder::State::kReading) {
    const auto step = mChunks->Next(rest);
    part = step.mData;
    rest.remove_prefix(step.mTaken);
  }
  mTaken = bytes.size() - rest.size();
  mIsDone = mChunks->Current() == ChunkDecoder::State::kDone;
  if (!mIsDone && mChunks->Current() != ChunkDecoder::State::kReading) {
    aError = http::error::bad_chunk;
  }
  return part;
}

Task<error_code>
AnswerReader::ReadPart(std::string_view& aPart)
{
  auto connection = mConnection;
  auto& buffer = connection->mBuffer;
  aPart = {};
  while (true) {
    buffer.consume(std::exchange(mTaken, 0));
    error_code ec;
    if (!mIsDone && buffer.size() > 0) {
      aPart = TakePart(ec);
    }
    if (ec || !aPart.empty()) {
      co_return ec;
    }
    buffer.consume(std::exchange(mTaken, 0));
    if (mIsDone) {
      co_return error_code{};
    }
    const auto n = co_await connection->mStream.async_read_some(
      buffer.prepare(kReadBytes), RedirectError(ec));
    buffer.commit(n);
    if (ec == asio::error::eof) {
      ec = co_await JudgeEnd();
      mIsDone = !ec;
      co_return ec;
    }
    if (ec) {
      co_return ec;
    }
    if (!connection->ChargeBuffer()) {
      co_return http::error::buffer_overflow;
    }
  }
}

Task<error_code>
AnswerReader::JudgeEnd()
{
  if (!mEndsWithConnection) {
    co_return http::error::partial_message;
  }
  // The kernel reports a reset once, to the read or to the write. A target may
  // also end its side first, and reset what is still being sent.
  auto connection = mConnection;
  co_await connection->WaitForUpload();
  if (connection->mUpload == TargetConnection::Upload::kFailed) {
    co_return kUploadFailed;
  }
  co_return error_code{};
}

} // namespace ragwortdeck
