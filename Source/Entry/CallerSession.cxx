#include "Entry/CallerSession.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"
#include "Entry/PlainRelay.h"
#include "Entry/StreamRun.h"
#include "Serving/ShutdownRule.h"

namespace ragwortdeck {

namespace {

/// Added to the idle timeout of the table, so that a request that was sent just
/// before the timeout is still served.
constexpr Milliseconds kIdleSlack{ 2000 };
/// Timeout for reading the body after the header.
constexpr Milliseconds kBodyTimeout{ 20000 };
constexpr std::chrono::seconds kAnswerTimeout{ 8 };
/// How long a rejected caller may go on sending before it is cut off, and how
/// much beyond the largest permitted body.
constexpr std::chrono::seconds kLinger{ 2 };
constexpr std::size_t kMaxLingerBytes = std::size_t(16) << 20U;
/// Limit of the total size of request bodies in memory.
constexpr std::size_t kMaxBufferedBytes = std::size_t(24) << 20U;
/// Bytes of the next request that are read while one is served.
constexpr std::size_t kMaxReadAheadBytes = 65536;
/// Limits that apply until the first table is known.
constexpr CallerLimits kLimitsWithoutTable{};
/// Retry-After of an answer of a host that is not ready; short, since another
/// host serves the retry.
constexpr double kNotReadyRetryAfterSeconds = 0.3;

unsigned
RejectionStatus(const error_code& aError)
{
  if (aError == http::error::header_limit) {
    return kStatusHeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return kStatusTooLarge;
  }
  return kStatusBadRequest;
}

bool
IsHttpError(const error_code& aError)
{
  return aError.category() ==
           make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

/// Reads what a rejected caller still sends, up to aLimit bytes, because
/// closing with unread bytes would destroy the answer in flight.
Task<void>
Linger(beast::tcp_stream& aStream, std::size_t aLimit)
{
  std::vector<char> buf(kMaxReadAheadBytes);
  error_code ec;
  aStream.socket().shutdown(tcp::socket::shutdown_send, ec);
  // The timeout of the stream does not end reads that complete at once.
  const auto end = std::chrono::steady_clock::now() + kLinger;
  aStream.expires_at(end);
  for (std::size_t total = 0;
       !ec && total < aLimit && std::chrono::steady_clock::now() < end;) {
    total +=
      co_await aStream.async_read_some(asio::buffer(buf), RedirectError(ec));
  }
}

/// \brief Registers a request that is being served, for its lifetime.
class ActiveRequest
{
public:
  ActiveRequest(EntryContext& aContext, CallerRequest& aRequest)
    : mContext(aContext)
    , mRequest(aRequest)
    , mBytes(aRequest.mRequest.body().size())
  {
    mContext.mActive.insert(&mRequest);
    mContext.mBufferedBytes += mBytes;
  }
  ~ActiveRequest()
  {
    mContext.mActive.erase(&mRequest);
    mContext.mBufferedBytes -= mBytes;
  }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

private:
  EntryContext& mContext;
  CallerRequest& mRequest;
  std::size_t mBytes;
};

} // namespace

CallerSession::CallerSession(EntryContext& aContext, tcp::socket aSocket)
  : mContext(aContext)
  , mStream(std::move(aSocket))
{
  error_code ec;
  mStream.socket().set_option(tcp::no_delay(true), ec);
}

Task<void>
CallerSession::Run()
{
  auto self = shared_from_this();
  while (true) {
    auto request = std::make_shared<CallerRequest>();
    if (!co_await ReadRequest(*request)) {
      if (request->mAnswerBegun) {
        // A stop does not wait for this, as ReadRequest() has returned.
        co_await Linger(mStream,
                        static_cast<std::size_t>(Limits().mBodyBytes) +
                          kMaxLingerBytes);
      }
      break;
    }
    const ActiveRequest active(mContext, *request);
    bool keepOpen = false;
    bool failed = false;
    try {
      keepOpen = co_await Serve(request);
    } catch (const std::exception& ec) {
      failed = true;
      request->mOnEnd = nullptr;
      request->Finish(CallerRequest::End::kFailed);
      request->mReason = std::string("unexpected error: ") + ec.what();
      mContext.LogUnexpectedError(request->mCallerHeaders.mId.c_str(), ec);
    }
    if (failed) {
      co_await AnswerAfterError(*request);
    }
    if (!keepOpen) {
      break;
    }
  }
  error_code ec;
  mStream.socket().shutdown(tcp::socket::shutdown_both, ec);
  mStream.close();
}

Task<void>
CallerSession::AnswerAfterError(CallerRequest& aRequest)
{
  StopWatching(aRequest);
  if (aRequest.mEnd == CallerRequest::End::kCallerGone) {
    co_return;
  }
  if (aRequest.mAnswerBegun) {
    LogEnd(aRequest, kStatusOk, "stream_broken");
    co_return;
  }
  // The request may have run, which this status does not deny.
  aRequest.mRequest.keep_alive(false);
  co_await Answer(aRequest,
                  MakeLocalAnswer(kStatusBadGateway, "unexpected error"));
}

CallerLimits
CallerSession::Limits() const
{
  const auto table = mContext.mTable.Table();
  return table ? table->Limits() : kLimitsWithoutTable;
}

Task<bool>
CallerSession::ReadRequest(CallerRequest& aRequest)
{
  error_code ec;
  if (mBuffer.size() == 0) {
    mStream.expires_after(Limits().mIdleTimeout + kIdleSlack);
    const auto n = co_await mStream.async_read_some(
      mBuffer.prepare(static_cast<std::size_t>(4096)), RedirectError(ec));
    if (ec) {
      co_return false;
    }
    mBuffer.commit(n);
  }
  const InFlight reading(mContext.mReading);
  // The table may have changed while the connection was idle.
  const auto limits = Limits();
  mStream.expires_after(limits.mHeaderTimeout);
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
  parser.body_limit(static_cast<std::uint64_t>(limits.mBodyBytes));
  co_await http::async_read_header(mStream, mBuffer, parser, RedirectError(ec));
  if (ec == beast::error::timeout) {
    co_return false;
  }
  if (ec) {
    if (IsHttpError(ec)) {
      co_await Reject(aRequest, RejectionStatus(ec), ec.message());
    }
    co_return false;
  }
  aRequest.mArrived = mContext.Now();
  if (parser.get().count(http::field::host) != 1) {
    co_await Reject(aRequest, kStatusBadRequest, "not exactly one Host header");
    co_return false;
  }
  if (const auto framing = FramingOf(parser.get(), parser.get().version());
      framing != BodyFraming::kClear) {
    if (framing == BodyFraming::kUnknownCoding) {
      co_await Reject(
        aRequest, kStatusNotImplemented, "unsupported transfer coding");
    } else {
      co_await Reject(
        aRequest, kStatusBadRequest, "the end of the body is ambiguous");
    }
    co_return false;
  }
  if (mContext.mBufferedBytes > kMaxBufferedBytes) {
    mContext.mMetrics.Count("entry_shed_bodies_total");
    co_await Reject(aRequest, kStatusUnavailable, "too many bodies in memory");
    co_return false;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
      !parser.is_done()) {
    static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(mStream,
                               asio::buffer(kContinue, sizeof(kContinue) - 1),
                               RedirectError(ec));
  }
  mStream.expires_after(kBodyTimeout);
  co_await http::async_read(mStream, mBuffer, parser, RedirectError(ec));
  if (ec) {
    if (IsHttpError(ec)) {
      co_await Reject(aRequest, RejectionStatus(ec), ec.message());
    }
    co_return false;
  }
  mStream.expires_never();
  aRequest.mRequest = parser.release();
  co_return true;
}

Task<void>
CallerSession::Reject(CallerRequest& aRequest,
                      unsigned aStatus,
                      std::string aText)
{
  aRequest.mAnswerBegun = true;
  mContext.mMetrics.Count("entry_rejected_total");
  mContext.mLog.Write("rejected",
                      { { "status", aStatus }, { "reason", aText } });
  auto answer = MakeLocalAnswer(aStatus, aText);
  answer.mResponse.keep_alive(false);
  answer.mResponse.prepare_payload();
  mStream.expires_after(kAnswerTimeout);
  error_code ec;
  co_await http::async_write(mStream, answer.mResponse, RedirectError(ec));
}

std::optional<FinalAnswer>
CallerSession::Admit(CallerRequest& aRequest)
{
  const auto now = mContext.Now();
  const auto host = aRequest.mRequest[http::field::host];
  const auto path = aRequest.mRequest.target();
  const auto admission = mContext.mTable.Admit({ host.data(), host.size() },
                                               { path.data(), path.size() },
                                               aRequest.mCallerHeaders.mKey,
                                               now);
  if (!admission.mRoute) {
    switch (admission.mDenial) {
      case Denial::kNoRoute:
        aRequest.mReason = "no route";
        return MakeLocalAnswer(kStatusNotFound,
                               "no route for this host and path");
      case Denial::kUnknownKey:
        aRequest.mReason = "unknown key";
        return MakeLocalAnswer(kStatusUnauthorized, "unknown key");
      case Denial::kTableNotCurrent:
        break;
    }
    aRequest.mReason = "table not known to be current";
    return MakeRefusal("not ready", kNotReadyRetryAfterSeconds);
  }
  if (aRequest.mCallerHeaders.mId.empty()) {
    aRequest.mReason = "request without id";
    return MakeLocalAnswer(kStatusBadRequest, "the request has no id");
  }
  if (mContext.mStopping &&
      !AcceptsDuringShutdown(admission.mRoute->mKind,
                             now - mContext.mStoppedAt,
                             mContext.mSettings.mShutdownGrace)) {
    aRequest.mReason = "host stops";
    return MakeRefusal("this host stops", kNotReadyRetryAfterSeconds);
  }
  if (!mContext.mTargets.IsKnown()) {
    aRequest.mReason = "targets not known";
    return MakeRefusal("not ready", kNotReadyRetryAfterSeconds);
  }
  aRequest.mTable = mContext.mTable.Table();
  aRequest.mRoute = admission.mRoute;
  aRequest.mTeam = admission.mTeam;
  aRequest.mService =
    ChooseService(*admission.mRoute, aRequest.mCallerHeaders.mId);
  aRequest.mDeadline = aRequest.mArrived + aRequest.mRoute->mTimeout;
  if (aRequest.mCallerHeaders.mTimeLeft) {
    aRequest.mDeadline =
      std::min(aRequest.mDeadline,
               aRequest.mArrived + *aRequest.mCallerHeaders.mTimeLeft);
  }
  return std::nullopt;
}

void
CallerSession::EndWhenCallerCloses(
  const std::shared_ptr<CallerRequest>& aRequest)
{
  mWatching = true;
  auto self = shared_from_this();
  mStream.socket().async_wait(
    tcp::socket::wait_read, [self, aRequest](const error_code& aError) {
      // The wait may have completed just before the request was served; the
      // buffer then belongs to the next request.
      if (aRequest->mServed) {
        return;
      }
      self->mWatching = false;
      if (aError) {
        return;
      }
      auto& socket = self->mStream.socket();
      error_code ec;
      const auto space = self->mBuffer.prepare(static_cast<std::size_t>(4096));
      socket.non_blocking(true, ec);
      const auto n = socket.read_some(space, ec);
      if (ec == asio::error::would_block) {
        self->EndWhenCallerCloses(aRequest);
        return;
      }
      if (ec) {
        aRequest->Finish(CallerRequest::End::kCallerGone);
        return;
      }
      // The bytes belong to the next request.
      self->mBuffer.commit(n);
      if (self->mBuffer.size() < kMaxReadAheadBytes) {
        self->EndWhenCallerCloses(aRequest);
      }
    });
}

Task<void>
CallerSession::WaitForContents(const CallerRequest& aRequest)
{
  constexpr Duration kPoll = std::chrono::milliseconds(5);
  constexpr Milliseconds kDefaultTimeLeft{ 1000 };
  const auto until =
    aRequest.mArrived +
    LongestWaitAtStart(
      aRequest.mArrived - mContext.mStartedAt,
      aRequest.mCallerHeaders.mTimeLeft.value_or(kDefaultTimeLeft));
  while (!mContext.HasContents() && mContext.Now() < until) {
    co_await SleepFor(mContext.mIo, kPoll);
  }
}

void
CallerSession::StopWatching(CallerRequest& aRequest)
{
  aRequest.mServed = true;
  if (mWatching) {
    mWatching = false;
    error_code ec;
    mStream.socket().cancel(ec);
  }
}

Task<bool>
CallerSession::Serve(std::shared_ptr<CallerRequest> aRequest)
{
  mContext.mMetrics.Count("entry_requests_total");
  aRequest->mCallerHeaders =
    mContext.mCodec.ReadCallerHeaders(aRequest->mRequest);
  co_await WaitForContents(*aRequest);
  if (auto denied = Admit(*aRequest)) {
    co_return co_await Answer(*aRequest, std::move(*denied));
  }
  EndWhenCallerCloses(aRequest);
  asio::steady_timer deadline(mContext.mIo,
                              aRequest->mDeadline - mContext.Now());
  deadline.async_wait([aRequest](const error_code& aError) {
    if (!aError) {
      aRequest->Finish(CallerRequest::End::kTimedOut);
    }
  });
  std::optional<FinalAnswer> answer;
  bool complete = false;
  if (aRequest->mRoute->mKind == RouteKind::kStream) {
    auto run = std::make_shared<StreamRun>(mContext, aRequest, mStream);
    auto result = co_await run->Run();
    answer = std::move(result.mAnswer);
    complete = result.mComplete;
    aRequest->mOnEnd = nullptr;
    run.reset();
    mContext.OfferCapacity();
  } else {
    auto relay = std::make_shared<PlainRelay>(mContext, aRequest);
    answer = co_await relay->Run();
  }
  deadline.cancel();
  StopWatching(*aRequest);
  if (aRequest->mEnd == CallerRequest::End::kCallerGone) {
    LogEnd(*aRequest, 0, "caller_gone");
    co_return false;
  }
  if (answer) {
    co_return co_await Answer(*aRequest, std::move(*answer));
  }
  LogEnd(*aRequest, kStatusOk, complete ? "streamed" : "stream_broken");
  co_return complete && aRequest->mRequest.keep_alive() && !mContext.mStopping;
}

Task<bool>
CallerSession::Answer(CallerRequest& aRequest, FinalAnswer aAnswer)
{
  auto& response = aAnswer.mResponse;
  const bool keepAlive = aRequest.mRequest.keep_alive() && !mContext.mStopping;
  response.keep_alive(keepAlive);
  if (!aRequest.mCallerHeaders.mId.empty() && !aAnswer.mFromTarget) {
    // This host made the answer, so no target has set its caching headers.
    response.set(http::field::cache_control, "no-store");
  }
  if (aRequest.mRequest.method() != http::verb::head) {
    response.prepare_payload();
  }
  const auto status = response.result_int();
  LogEnd(aRequest,
         status,
         aAnswer.mFromTarget
           ? "answered"
           : (status == kStatusUnavailable ? "refused" : "failed"));
  aRequest.mAnswerBegun = true;
  mStream.expires_after(kAnswerTimeout);
  error_code ec;
  co_await http::async_write(mStream, response, RedirectError(ec));
  mStream.expires_never();
  co_return !ec && keepAlive;
}

void
CallerSession::LogEnd(const CallerRequest& aRequest,
                      unsigned aStatus,
                      const char* aOutcome)
{
  const auto now = mContext.Now();
  const auto took = now - aRequest.mArrived;
  mContext.mMetrics.Count(std::string("entry_outcomes_total{outcome=\"") +
                          aOutcome + "\"}");
  mContext.mMetrics.Observe("entry_request_ms", took);
  const auto proven = mContext.mTable.ConfirmedAt();
  const auto current = mContext.mTable.Table();
  const auto currentVersion = current ? current->Version() : 0;
  mContext.mLog.Write(
    "request",
    { { "id", aRequest.mCallerHeaders.mId },
      { "route", aRequest.mRoute ? aRequest.mRoute->mName : "" },
      { "kind", aRequest.mRoute ? ToText(aRequest.mRoute->mKind) : "" },
      { "team", aRequest.mTeam ? aRequest.mTeam->mName : "" },
      { "outcome", aOutcome },
      { "status", aStatus },
      { "reason", aRequest.mReason },
      { "target", aRequest.mTarget },
      { "answer_end", aRequest.mAnswerEnd },
      { "sends", aRequest.mAttempts },
      { "prompt_tokens", aRequest.mCallerHeaders.mPromptTokens },
      { "output_bound", aRequest.mCallerHeaders.mMaxOutputTokens },
      { "output_expected", aRequest.mCallerHeaders.mExpectedOutputTokens },
      { "events", aRequest.mEvents },
      { "waited_ms", aRequest.mWaitedMs },
      { "first_event_ms", aRequest.mFirstEventMs },
      { "took_ms", std::chrono::duration_cast<Milliseconds>(took).count() },
      { "table_version",
        aRequest.mTable ? aRequest.mTable->Version() : currentVersion },
      { "table_version_at_end", currentVersion },
      { "table_age_ms",
        proven ? std::chrono::duration_cast<Milliseconds>(now - *proven).count()
               : -1 },
      { "list_revision", mContext.mTargets.Revision() },
      { "hosts", mContext.mCountHosts ? mContext.mCountHosts() : 1 } });
}

} // namespace ragwortdeck
