#include "Entry/CallClient.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"

#include <memory>

namespace ragwortdeck {

namespace {

/// Limit of an answer's body; the target list of a large site takes several
/// hundred kilobytes.
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t(16) << 20U;
constexpr int kMaxInterimAnswers = 3;

} // namespace

Task<Result<CallReply>>
CallClient::Call(Endpoint aTo,
                 HttpCall aCall,
                 std::chrono::milliseconds aTimeout,
                 Sharing aSharing)
{
  const bool isShared = aSharing == Sharing::kSharedConnection;
  auto connection = co_await mPool.Acquire(aTo, !isShared, {});
  if (!connection) {
    co_return Failure(ErrorCode::kUnavailable,
                      ToText(aTo) + " cannot be reached");
  }
  http::request<http::string_body> request;
  request.method(aCall.mVerb);
  request.target(aCall.mPath);
  request.version(11);
  request.set(http::field::host, ToText(aTo));
  if (!aCall.mBody.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(aCall.mBody);
  }
  request.prepare_payload();
  error_code ec;
  connection->mStream.expires_after(aTimeout);
  co_await http::async_write(connection->mStream, request, RedirectError(ec));
  if (ec) {
    co_return Failure(ErrorCode::kUnavailable,
                      ToText(aTo) + ": " + ec.message());
  }
  std::unique_ptr<http::response_parser<http::string_body>> parser;
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    parser = std::make_unique<http::response_parser<http::string_body>>();
    parser->body_limit(kMaxAnswerBytes);
    co_await http::async_read(
      connection->mStream, connection->mBuffer, *parser, RedirectError(ec));
    if (!ec && FramingOf(parser->get(), parser->get().version()) !=
                 BodyFraming::kClear) {
      ec = http::error::bad_transfer_encoding;
    }
    if (ec || parser->get().result_int() >= kStatusOk) {
      break;
    }
  }
  if (ec) {
    co_return Failure(ec == beast::error::timeout ? ErrorCode::kTimeout
                                                  : ErrorCode::kUnavailable,
                      ToText(aTo) + ": " + ec.message());
  }
  if (isShared && parser->get().keep_alive()) {
    mPool.Release(connection, KeepAliveSeconds(parser->get()));
  }
  auto response = parser->release();
  co_return CallReply{ response.result_int(),
                       std::move(response.body()),
                       std::move(response.base()) };
}

} // namespace ragwortdeck
