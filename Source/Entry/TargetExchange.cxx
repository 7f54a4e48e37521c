#include "Entry/TargetExchange.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"

#include <limits>

namespace ragwortdeck {

namespace {

/// Late answers to other requests that are skipped on one connection.
constexpr int kMaxLateAnswers = 3;
constexpr std::size_t kReadBytes = 8192;
/// A longer late answer fails the connection.
constexpr std::size_t kMaxDiscardedBytes = std::size_t(256) << 10U;

/// Reads the rest of the body of aParser; aTake gets each part and returns
/// whether to go on.
Task<error_code>
ReadParts(TargetConnection& aConnection,
          http::response_parser<http::buffer_body>& aParser,
          std::function<bool(std::string_view)> aTake)
{
  std::vector<char> buf(kReadBytes);
  error_code ec;
  while (!aParser.is_done()) {
    aParser.get().body().data = buf.data();
    aParser.get().body().size = buf.size();
    co_await http::async_read_some(
      aConnection.mStream, aConnection.mBuffer, aParser, RedirectError(ec));
    const bool proceed =
      aTake({ buf.data(), buf.size() - aParser.get().body().size });
    if (ec && ec != http::error::need_buffer) {
      co_return ec;
    }
    if (!proceed) {
      co_return http::error::body_limit;
    }
  }
  co_return error_code{};
}

Task<error_code>
DiscardBody(TargetConnection& aConnection,
            http::response_parser<http::buffer_body>& aParser)
{
  std::size_t size = 0;
  co_return co_await ReadParts(
    aConnection, aParser, [&](std::string_view aPart) {
      size += aPart.size();
      return size <= kMaxDiscardedBytes;
    });
}

} // namespace

const char*
DescribeEnd(const error_code& aError, bool aUnmarked)
{
  if (!aError) {
    return aUnmarked ? "end_of_connection" : "marked";
  }
  if (aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return "cut_off";
  }
  return aError == asio::error::connection_reset ? "reset" : "error";
}

bool
StatesNotRun(unsigned aStatus)
{
  return aStatus == kStatusRequestTimeout || aStatus == kStatusMisdirected ||
         aStatus == kStatusTooMany || aStatus == kStatusUnavailable;
}

Task<error_code>
ReadBody(TargetConnection& aConnection,
         http::response_parser<http::buffer_body>& aParser,
         AnswerBytes& aBytes,
         std::string& aBody)
{
  co_return co_await ReadParts(
    aConnection, aParser, [&](std::string_view aPart) {
      if (aBytes.Bytes() + aPart.size() > TargetExchange::kMaxAnswerBytes ||
          aBytes.Total() + aPart.size() >
            EntryContext::kMaxAnswerBytesInMemory) {
        return false;
      }
      aBytes.Add(aPart.size());
      aBody.append(aPart);
      return true;
    });
}

Task<error_code>
ReadAnswerHeader(
  EntryContext& aContext,
  Target aTarget,
  TargetConnection& aConnection,
  std::string aId,
  std::unique_ptr<http::response_parser<http::buffer_body>>& aParser)
{
  bool isFirst = !aConnection.mReused;
  for (int late = 0; late <= kMaxLateAnswers; ++late) {
    aParser = std::make_unique<http::response_parser<http::buffer_body>>();
    aParser->body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code ec;
    co_await http::async_read_header(
      aConnection.mStream, aConnection.mBuffer, *aParser, RedirectError(ec));
    if (ec) {
      co_return ec;
    }
    // A caller would get the coded bytes, or the bytes of another answer, as
    // the whole body.
    if (FramingOf(aParser->get(), aParser->get().version()) !=
        BodyFraming::kClear) {
      co_return http::error::bad_transfer_encoding;
    }
    const auto status = aParser->get().result_int();
    if (status < kStatusOk) {
      continue;
    }
    const auto responseHeaders =
      aContext.mCodec.ReadTargetResponseHeaders(aParser->get());
    aContext.RecordAnswer(aTarget, status, responseHeaders);
    // A refusal may come without the id, from a target that did not read the
    // request. On a reused connection, or after the answer to another request,
    // it may be a late answer, and this request may run.
    if (responseHeaders.mId == aId ||
        (responseHeaders.mId.empty() && responseHeaders.mNotRun && isFirst)) {
      co_return error_code{};
    }
    // The answer belongs to another request. Without a length, the start of the
    // next answer cannot be found.
    if (responseHeaders.mId.empty() || aParser->need_eof()) {
      break;
    }
    isFirst = false;
    ec = co_await DiscardBody(aConnection, *aParser);
    if (ec) {
      co_return ec;
    }
  }
  co_return http::error::bad_value;
}

Task<TargetOutcome>
TargetExchange::Run(Target aTarget, bool aNewConnection)
{
  TargetOutcome outcome;
  outcome.mTarget = aTarget.mId;
  outcome.mKind = TargetOutcome::Kind::kNotSent;
  const InFlight inFlight(mContext.mInFlight[aTarget.mId]);
  const auto began = mContext.Now();
  mConnection = co_await mContext.mPool.Acquire(
    aTarget.mEndpoint, aNewConnection, mRequest.mCallerHeaders.mId);
  if (mAborted) {
    outcome.mReason = "ended before it was sent";
    co_return outcome;
  }
  if (!mConnection) {
    mContext.mHealth.Unreachable(aTarget.mId, mContext.Now());
    outcome.mReason = "cannot connect";
    co_return outcome;
  }
  if (!mContext.MaySend(aTarget, false, mRequest.mCallerHeaders.mId)) {
    mConnection.reset();
    outcome.mReason = "wants no requests";
    co_return outcome;
  }
  outcome.mBlock =
    mContext.mCrashWatch.FindAtSend(mRequest.mCallerHeaders.mPromptParts);
  if (outcome.mBlock) {
    mContext.mPool.Release(std::move(mConnection), 0);
    outcome.mReason = "a prompt part is quarantined";
    co_return outcome;
  }
  const auto headers =
    MakeTargetRequestHeaders(mRequest, aTarget.mId, mContext.Now());
  auto request = std::make_shared<http::request<http::string_body>>(
    MakeTargetRequest(mRequest, mContext.mCodec, headers));
  outcome.mKind = TargetOutcome::Kind::kBroken;
  mConnection->mStream.expires_never();
  // The answer may arrive before the whole body is sent, so the write runs
  // concurrently with the read.
  auto connection = mConnection;
  auto written = std::make_shared<bool>(false);
  http::async_write(
    connection->mStream,
    *request,
    [connection, request, written](const error_code& aError, std::size_t) {
      *written = !aError;
    });
  std::unique_ptr<http::response_parser<http::buffer_body>> parser;
  auto ec = co_await ReadAnswerHeader(
    mContext, aTarget, *connection, mRequest.mCallerHeaders.mId, parser);
  const auto answeredAt = mContext.Now();
  std::string body;
  if (!ec) {
    if (mRequest.mRequest.method() == http::verb::head) {
      parser->skip(true);
    }
    ec = co_await ReadBody(*connection, *parser, mAnswerBytes, body);
  }
  outcome.mAnswerEnd = DescribeEnd(ec, parser->need_eof());
  const auto now = mContext.Now();
  if (mAborted) {
    outcome.mReason = "ended";
    connection->Close();
    co_return outcome;
  }
  if (ec) {
    outcome.mReason = ec.message();
    mContext.mHealth.Failed(aTarget.mId, now);
    if (now - answeredAt < CrashWatch::kSoundAfter) {
      mContext.mCrashWatch.OnBrokenOff(aTarget,
                                       mRequest.mCallerHeaders.mId,
                                       mRequest.mCallerHeaders.mPromptParts);
    }
    connection->Close();
    co_return outcome;
  }
  const auto& header = parser->get();
  const auto responseHeaders =
    mContext.mCodec.ReadTargetResponseHeaders(header);
  if (responseHeaders.mLoad) {
    mContext.mReportedLoads[aTarget.mId] = { *responseHeaders.mLoad, now };
  }
  const auto status = header.result_int();
  // After this the pool may hand the connection to another request, which
  // Abort() must not close.
  mConnection.reset();
  const bool notRun = responseHeaders.mNotRun;
  if (notRun) {
    connection->mRefused.insert(mRequest.mCallerHeaders.mId);
  }
  mContext.mPool.ReleaseOrClose(connection, *parser, *written);
  if (notRun) {
    outcome.mKind = TargetOutcome::Kind::kNotRun;
    outcome.mReason = "not run, status " + std::to_string(status);
    if (status == kStatusMisdirected) {
      mContext.mHealth.Unreachable(aTarget.mId, now);
    } else {
      mContext.mHealth.Failed(aTarget.mId, now);
    }
    co_return outcome;
  }
  const bool success = status < 300;
  if ((success && !responseHeaders.mSigned) || StatesNotRun(status) ||
      header.count(http::field::content_encoding) > 0) {
    outcome.mReason =
      "not the target's answer, status " + std::to_string(status);
    mContext.mHealth.Failed(aTarget.mId, now);
    co_return outcome;
  }
  if (success) {
    mContext.mHealth.Succeeded(aTarget.mId, now - began);
    const auto& parts = mRequest.mCallerHeaders.mPromptParts;
    if (parser->need_eof() && now - answeredAt < CrashWatch::kSoundAfter) {
      mContext.mCrashWatch.OnUnmarkedEnd(
        aTarget, mRequest.mCallerHeaders.mId, parts, answeredAt);
    } else {
      mContext.mCrashWatch.OnSound(parts, answeredAt);
    }
  }
  outcome.mKind = TargetOutcome::Kind::kAnswered;
  outcome.mResponse = MakeForwardedAnswer(header, std::move(body));
  co_return outcome;
}

void
TargetExchange::Abort()
{
  mAborted = true;
  if (mConnection) {
    mConnection->Close();
  }
}

} // namespace ragwortdeck
