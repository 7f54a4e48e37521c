#include "Entry/CallerSession.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"
#include "Entry/PlainRelay.h"
#include "Entry/RequestBody.h"
#include "Entry/StreamRun.h"
#include "Serving/ShutdownRule.h"

#include <array>
#include <limits>
#include <utility>

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
/// Small, since each connection that waits for a request has a buffer for it.
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 16384;
constexpr std::size_t kLingerReadBytes = 4096;
/// Charged for each connection beside its buffers.
constexpr std::size_t kConnectionBytes = 8192;
/// A larger buffer is freed between two requests.
constexpr std::size_t kKeptBufferBytes = 16384;
/// Bytes of the next request that are read while one is served.
constexpr std::size_t kMaxReadAheadBytes = 65536;
/// Limits that apply until the first table is known.
constexpr CallerLimits kLimitsWithoutTable{};
constexpr const char* kBodyTooLarge = "the body exceeds the limit";
/// Retry-After of an answer of a host that is not ready; short, since another
/// host serves the retry.
constexpr double kNotReadyRetryAfterSeconds = 0.3;
/// Retry-After of an answer of a host without memory for the request.
constexpr double kNoMemoryRetryAfterSeconds = 1;

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
  std::array<char, kLingerReadBytes> buf{};
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

/// States the length of an answer's body, and leaves out the body itself if the
/// request was HEAD: the caller would take it for the next answer.
void
PreparePayload(const CallerRequest& aRequest,
               http::response<http::string_body>& aResponse)
{
  aResponse.prepare_payload();
  if (aRequest.mRequest.method() == http::verb::head) {
    aResponse.body().clear();
  }
}

/// \brief Registers a request that is being served, for its lifetime.
class ActiveRequest
{
public:
  ActiveRequest(EntryContext& aContext, CallerRequest& aRequest)
    : mContext(aContext)
    , mRequest(aRequest)
  {
    mContext.mActive.insert(&mRequest);
  }
  ~ActiveRequest() { mContext.mActive.erase(&mRequest); }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

private:
  EntryContext& mContext;
  CallerRequest& mRequest;
};

} // namespace

CallerSession::CallerSession(EntryContext& aContext, tcp::socket aSocket)
  : mContext(aContext)
  , mStream(std::move(aSocket))
  , mCharge(aContext.mMemory, MemoryUse::kRequest)
{
  error_code ec;
  mStream.socket().set_option(tcp::no_delay(true), ec);
}

Task<void>
CallerSession::Run()
{
  auto self = shared_from_this();
  const InFlight counted(mContext.mConnections);
  while (true) {
    auto request = std::make_shared<CallerRequest>();
    mCharge.SetOnEvict([this] { mStream.cancel(); });
    const bool isRead = co_await ReadRequest(*request);
    mCharge.SetOnEvict(nullptr);
    if (!isRead) {
      if (request->mAnswerBegun && !mCharge.IsEvicted()) {
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

bool
CallerSession::Charge(std::size_t aBodyBytes)
{
  return mCharge.Resize(kConnectionBytes + mBuffer.capacity() + aBodyBytes);
}

Task<error_code>
CallerSession::ReadSome(std::size_t aBodyBytes)
{
  error_code ec;
  const auto space =
    mBuffer.prepare(aBodyBytes > 0 ? kBodyReadBytes : kReadBytes);
  const auto n = co_await mStream.async_read_some(space, RedirectError(ec));
  mBuffer.commit(n);
  mCharge.AddProgress(n);
  if (mCharge.IsEvicted() || (!ec && !Charge(aBodyBytes + n))) {
    co_return asio::error::no_memory;
  }
  co_return ec;
}

Task<bool>
CallerSession::WaitForRequest()
{
  if (mBuffer.size() == 0 && mBuffer.capacity() > kKeptBufferBytes) {
    mBuffer.shrink_to_fit();
  }
  if (!Charge(0)) {
    co_return false;
  }
  if (mBuffer.size() > 0) {
    co_return true;
  }
  mStream.expires_after(Limits().mIdleTimeout + kIdleSlack);
  co_return !co_await ReadSome(0);
}

Task<error_code>
CallerSession::ReadHead(HeadParser& aParser, const CallerLimits& aLimits)
{
  // The timeout of the stream does not end reads that complete at once.
  const auto end = mContext.Now() + Duration(aLimits.mHeaderTimeout);
  mStream.expires_after(aLimits.mHeaderTimeout);
  while (true) {
    error_code ec;
    mBuffer.consume(aParser.put(mBuffer.data(), ec));
    if (aParser.is_header_done()) {
      co_return error_code{};
    }
    if (ec && ec != http::error::need_more) {
      co_return ec;
    }
    if (mContext.Now() >= end) {
      co_return beast::error::timeout;
    }
    ec = co_await ReadSome(0);
    if (ec) {
      co_return ec;
    }
  }
}

Task<bool>
CallerSession::CheckHead(CallerRequest& aRequest,
                         const HeadParser& aParser,
                         const CallerLimits& aLimits)
{
  const auto& head = aParser.get();
  if (head.count(http::field::host) != 1) {
    co_await Reject(aRequest, kStatusBadRequest, "not exactly one Host header");
    co_return false;
  }
  if (const auto framing = FramingOf(head, head.version());
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
  const auto length = aParser.content_length();
  if (length && *length > static_cast<std::uint64_t>(aLimits.mBodyBytes)) {
    co_await Reject(aRequest, kStatusTooLarge, kBodyTooLarge);
    co_return false;
  }
  co_return true;
}

Task<bool>
CallerSession::ReadRequest(CallerRequest& aRequest)
{
  if (!co_await WaitForRequest()) {
    co_return false;
  }
  const InFlight reading(mContext.mReading);
  // The table may have changed while the connection was idle.
  const auto limits = Limits();
  HeadParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
  // The body is not read by the parser.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  const auto ec = co_await ReadHead(parser, limits);
  if (ec == asio::error::no_memory) {
    co_await RefuseForMemory(aRequest);
  } else if (IsHttpError(ec)) {
    co_await Reject(aRequest, RejectionStatus(ec), ec.message());
  }
  if (ec) {
    co_return false;
  }
  aRequest.mArrived = mContext.Now();
  aRequest.mRequest = http::request<http::string_body>(parser.get().base());
  if (!co_await CheckHead(aRequest, parser, limits)) {
    co_return false;
  }
  if (!co_await ReadBody(aRequest, parser, limits)) {
    co_return false;
  }
  mStream.expires_never();
  co_return true;
}

Task<bool>
CallerSession::DenyFromHead(CallerRequest& aRequest)
{
  if (!mContext.HasContents()) {
    co_return false;
  }
  aRequest.mCallerHeaders =
    mContext.mCodec.ReadCallerHeaders(aRequest.mRequest);
  auto denied = Admit(aRequest);
  if (!denied) {
    co_return false;
  }
  mContext.mMetrics.Count("entry_requests_total");
  aRequest.mRequest.keep_alive(false);
  co_await Answer(aRequest, std::move(*denied));
  co_return true;
}

Task<bool>
CallerSession::ReadBody(CallerRequest& aRequest,
                        const HeadParser& aParser,
                        const CallerLimits& aLimits)
{
  RequestBody body(aParser, aLimits, aRequest.mRequest.body());
  const auto end = mContext.Now() + Duration(kBodyTimeout);
  mStream.expires_after(kBodyTimeout);
  bool isFirst = true;
  while (true) {
    mBuffer.consume(body.Take(mBuffer.data()));
    switch (body.Current()) {
      case RequestBody::State::kDone:
        co_return true;
      case RequestBody::State::kMalformed:
        co_await Reject(aRequest, kStatusBadRequest, "malformed chunk");
        co_return false;
      case RequestBody::State::kTooLarge:
        co_await Reject(aRequest, kStatusTooLarge, kBodyTooLarge);
        co_return false;
      case RequestBody::State::kTooLong:
        co_await Reject(aRequest,
                        kStatusHeaderTooLarge,
                        "a chunk's header or the trailer is too long");
        co_return false;
      case RequestBody::State::kReading:
        break;
    }
    if (std::exchange(isFirst, false)) {
      mContext.mMemory.FitOne(
        MemoryUse::kRequest,
        static_cast<std::size_t>(aLimits.mBodyBytes + aLimits.mHeaderBytes));
      if (co_await DenyFromHead(aRequest)) {
        co_return false;
      }
      if (beast::iequals(aRequest.mRequest[http::field::expect],
                         "100-continue")) {
        static constexpr std::string_view kContinue =
          "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ec;
        co_await asio::async_write(
          mStream,
          asio::buffer(kContinue.data(), kContinue.size()),
          RedirectError(ec));
      }
    }
    if (mContext.Now() >= end) {
      co_return false;
    }
    const auto ec = co_await ReadSome(aRequest.mRequest.body().size());
    if (ec == asio::error::no_memory) {
      // An assignment would keep the capacity.
      std::string().swap(aRequest.mRequest.body());
      co_await RefuseForMemory(aRequest);
    }
    if (ec) {
      co_return false;
    }
  }
}

Task<void>
CallerSession::RefuseForMemory(CallerRequest& aRequest)
{
  mContext.mMetrics.Count("entry_shed_bodies_total");
  co_await Reject(
    aRequest,
    MakeRefusal("too many bodies in memory", kNoMemoryRetryAfterSeconds));
}

Task<void>
CallerSession::Reject(CallerRequest& aRequest,
                      unsigned aStatus,
                      std::string aText)
{
  co_await Reject(aRequest, MakeLocalAnswer(aStatus, aText));
}

Task<void>
CallerSession::Reject(CallerRequest& aRequest, FinalAnswer aAnswer)
{
  // What else the caller sends is dropped.
  mBuffer = beast::flat_buffer();
  aRequest.mAnswerBegun = true;
  mContext.mMetrics.Count("entry_rejected_total");
  auto& response = aAnswer.mResponse;
  mContext.mLog.Write(
    "rejected",
    { { "status", response.result_int() }, { "reason", response.body() } });
  response.keep_alive(false);
  PreparePayload(aRequest, response);
  mStream.expires_after(kAnswerTimeout);
  co_await Write(aAnswer);
}

Task<error_code>
CallerSession::Write(FinalAnswer& aAnswer)
{
  http::response_serializer<http::string_body> serializer(aAnswer.mResponse);
  aAnswer.mCharge.SetOnEvict([this] { mStream.close(); });
  error_code ec;
  while (!ec && !serializer.is_done()) {
    const auto n =
      co_await http::async_write_some(mStream, serializer, RedirectError(ec));
    aAnswer.mCharge.AddProgress(n);
  }
  aAnswer.mCharge.SetOnEvict(nullptr);
  co_return ec;
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
      if (self->Charge(aRequest->mRequest.body().size()) &&
          self->mBuffer.size() < kMaxReadAheadBytes) {
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
  if (!aAnswer.mFromTarget || aRequest.mRequest.method() != http::verb::head) {
    PreparePayload(aRequest, response);
  }
  const auto status = response.result_int();
  LogEnd(aRequest,
         status,
         aAnswer.mFromTarget
           ? "answered"
           : (status == kStatusUnavailable ? "refused" : "failed"));
  aRequest.mAnswerBegun = true;
  mStream.expires_after(kAnswerTimeout);
  const auto ec = co_await Write(aAnswer);
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
  const auto currentVersion = current ? current->Version().mNumber : 0;
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
        aRequest.mTable ? aRequest.mTable->Version().mNumber : currentVersion },
      { "table_version_at_end", currentVersion },
      { "table_age_ms",
        proven ? std::chrono::duration_cast<Milliseconds>(now - *proven).count()
               : -1 },
      { "list_revision", mContext.mTargets.Version().mRevision },
      { "list_era", mContext.mTargets.Version().mEra.mNumber },
      { "hosts", mContext.mCountHosts ? mContext.mCountHosts() : 1 } });
}

} // namespace ragwortdeck
