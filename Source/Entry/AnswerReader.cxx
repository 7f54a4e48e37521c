#include "Entry/AnswerReader.h"

#include <algorithm>
#include <limits>

namespace ragwortdeck {

namespace {

/// Small, since most heads are.
constexpr std::size_t kHeadReadBytes = 4096;
constexpr std::size_t kReadBytes = 16384;
/// Limit of the size and extension of a chunk, and of the trailer.
constexpr std::size_t kMaxChunkLineBytes = 16384;

/// \brief Errors whose values are those of HeadFault.
class HeadErrors : public boost::system::error_category
{
public:
  const char* name() const noexcept override { return "answer head"; }
  std::string message(int aValue) const override
  {
    return ToText(static_cast<HeadFault>(aValue));
  }
};

const HeadErrors kHeadErrors;

std::string_view
BytesOf(const beast::flat_buffer& aBuffer)
{
  const auto data = aBuffer.data();
  return { static_cast<const char*>(data.data()), data.size() };
}

} // namespace

error_code
MakeErrorCode(HeadFault aFault)
{
  return { static_cast<int>(aFault), kHeadErrors };
}

bool
IsHeadFault(const error_code& aError)
{
  return aError.category() == kHeadErrors;
}

AnswerReader::AnswerReader(TargetConnectionPtr aConnection, Request aRequest)
  : mConnection(std::move(aConnection))
  , mRequest(aRequest)
{
  mParser.header_limit(AnswerHead::kMaxBytes);
  // Whoever reads the body limits it.
  mParser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

Task<error_code>
AnswerReader::ReadMore(std::size_t aBytes)
{
  auto connection = mConnection;
  auto& buffer = connection->mBuffer;
  error_code ec;
  const auto n = co_await connection->mStream.async_read_some(
    buffer.prepare(aBytes), RedirectError(ec));
  buffer.commit(n);
  if (!ec && !connection->ChargeBuffer()) {
    ec = http::error::buffer_overflow;
  }
  co_return ec;
}

Task<error_code>
AnswerReader::ReadHead()
{
  auto connection = mConnection;
  auto& buffer = connection->mBuffer;
  std::size_t size = 0;
  while (true) {
    size += mHead.Take(BytesOf(buffer).substr(size));
    if (mHead.Fault() != HeadFault::kNone) {
      if (connection->mOnRefused) {
        connection->mOnRefused(*connection, mHead.Fault());
      }
      co_return MakeErrorCode(mHead.Fault());
    }
    if (mHead.IsComplete()) {
      break;
    }
    const auto ec = co_await ReadMore(kHeadReadBytes);
    if (ec == asio::error::eof) {
      co_return buffer.size() == 0 ? http::error::end_of_stream
                                   : http::error::partial_message;
    }
    if (ec) {
      co_return ec;
    }
  }
  error_code ec;
  mParser.put(asio::buffer(buffer.data().data(), size), ec);
  buffer.consume(size);
  SetFraming();
  co_return ec;
}

void
AnswerReader::SetFraming()
{
  if (mRequest == Request::kHead || mHead.HasNoBody()) {
    mIsDone = true;
    return;
  }
  switch (mHead.BodyFraming()) {
    case AnswerHead::Framing::kLength:
      mLeft = mHead.Length();
      mIsDone = mLeft == 0;
      break;
    case AnswerHead::Framing::kChunks:
      mChunks.emplace(kMaxChunkLineBytes);
      break;
    case AnswerHead::Framing::kUnmarked:
      mEndsWithConnection = true;
      break;
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
  const auto bytes = BytesOf(mConnection->mBuffer);
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
    ec = co_await ReadMore(kReadBytes);
    if (ec == asio::error::eof) {
      ec = co_await JudgeEnd();
      mIsDone = !ec;
      co_return ec;
    }
    if (ec) {
      co_return ec;
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
