#include "Entry/TargetExchange.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"

#include <limits>

namespace ragwortdeck {

namespace {

/// Late answers to other requests that are skipped on one connection.
constexpr int kMaxLateAnswers = 3;
/// A longer late answer fails the connection.
constexpr std::size_t kMaxDiscardedBytes = std::size_t(256) << 10U;

Task<error_code>
DiscardBody(AnswerReader& aReader)
{
  std::size_t size = 0;
  while (true) {
    std::string_view part;
    const auto ec = co_await aReader.ReadPart(part);
    if (ec || part.empty()) {
      co_return ec;
    }
    size += part.size();
    if (size > kMaxDiscardedBytes) {
      co_return http::error::body_limit;
    }
  }
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
  if (aError == kUploadFailed) {
    return "upload_failed";
  }
  if (IsHeadFault(aError)) {
    return "refused";
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
ReadBody(AnswerReader& aReader,
         std::uint64_t aMaxBytes,
         MemoryCharge& aCharge,
         std::string& aBody)
{
  while (true) {
    std::string_view part;
    const auto ec = co_await aReader.ReadPart(part);
    if (ec || part.empty()) {
      co_return ec;
    }
    aCharge.AddProgress(part.size());
    if (aBody.size() + part.size() > aMaxBytes || !aCharge.Grow(part.size())) {
      co_return http::error::body_limit;
    }
    aBody.append(part);
  }
}

Task<error_code>
ReadAnswerHeader(EntryContext& aContext,
                 Target aTarget,
                 TargetConnectionPtr aConnection,
                 std::string aId,
                 AnswerReader::Request aRequest,
                 std::unique_ptr<AnswerReader>& aReader)
{
  bool isFirst = !aConnection->mReused;
  for (int late = 0; late <= kMaxLateAnswers; ++late) {
    aReader = std::make_unique<AnswerReader>(aConnection, aRequest);
    auto ec = co_await aReader->ReadHead();
    if (ec) {
      co_return ec;
    }
    const auto status = aReader->Head().result_int();
    if (status < kStatusOk) {
      continue;
    }
    const auto responseHeaders =
      aContext.mCodec.ReadTargetResponseHeaders(aReader->Head());
    aContext.RecordAnswer(aTarget, status, responseHeaders);
    // A refusal may come without the id, from a target that did not read the
    // request. On a reused connection, or after the answer to another request,
    // it may be a late answer, and this request may run.
    if (responseHeaders.mId == aId ||
        (responseHeaders.mId.empty() && responseHeaders.mNotRun && isFirst)) {
      co_return error_code{};
    }
    // The answer belongs to another request. The start of the next one cannot
    // be found without a length, or if only answers to HEAD have no body.
    if (responseHeaders.mId.empty() || aReader->EndsWithConnection() ||
        aRequest == AnswerReader::Request::kHead) {
      break;
    }
    isFirst = false;
    ec = co_await DiscardBody(*aReader);
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
  auto request = MakeTargetRequest(mSharedRequest, mContext.mCodec, headers);
  outcome.mKind = TargetOutcome::Kind::kBroken;
  mConnection->mStream.expires_never();
  auto connection = mConnection;
  connection->Send(std::move(request));
  std::unique_ptr<AnswerReader> reader;
  auto ec =
    co_await ReadAnswerHeader(mContext,
                              aTarget,
                              connection,
                              mRequest.mCallerHeaders.mId,
                              mRequest.mRequest.method() == http::verb::head
                                ? AnswerReader::Request::kHead
                                : AnswerReader::Request::kOther,
                              reader);
  const auto answeredAt = mContext.Now();
  std::string body;
  outcome.mCharge = MemoryCharge(mContext.mMemory, MemoryUse::kAnswer);
  if (!ec) {
    ec = co_await ReadBody(*reader, kMaxAnswerBytes, outcome.mCharge, body);
  }
  outcome.mAnswerEnd = DescribeEnd(ec, reader->EndsWithConnection());
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
  const auto& header = reader->Head();
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
  mContext.mPool.ReleaseOrClose(connection, *reader);
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
    if (reader->EndsWithConnection() &&
        now - answeredAt < CrashWatch::kSoundAfter) {
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
