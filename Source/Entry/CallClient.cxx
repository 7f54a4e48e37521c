#include "Entry/CallClient.h"

#include "Core/HttpStatus.h"
#include "Entry/TargetExchange.h"

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
  auto request = std::make_shared<http::request<http::string_body>>();
  request->method(aCall.mVerb);
  request->target(aCall.mPath);
  request->version(11);
  request->set(http::field::host, ToText(aTo));
  if (!aCall.mBody.empty()) {
    request->set(http::field::content_type, "application/json");
    request->body() = std::move(aCall.mBody);
  }
  request->prepare_payload();
  connection->mStream.expires_after(aTimeout);
  connection->Send<http::string_body>(std::move(request));
  MemoryCharge charge(mPool.Memory(), MemoryUse::kAnswer);
  std::string body;
  error_code ec;
  std::unique_ptr<AnswerReader> reader;
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    reader =
      std::make_unique<AnswerReader>(connection, AnswerReader::Request::kOther);
    ec = co_await reader->ReadHead();
    if (!ec) {
      ec = co_await ReadBody(*reader, kMaxAnswerBytes, charge, body);
    }
    if (ec || reader->Head().result_int() >= kStatusOk) {
      break;
    }
  }
  if (ec) {
    connection->Close();
    co_return Failure(ec == beast::error::timeout ? ErrorCode::kTimeout
                                                  : ErrorCode::kUnavailable,
                      ToText(aTo) + ": " + ec.message());
  }
  if (isShared) {
    mPool.ReleaseOrClose(connection, *reader);
  } else {
    connection->Close();
  }
  co_return CallReply{ reader->Head().result_int(),
                       std::move(body),
                       reader->Head() };
}

} // namespace ragwortdeck
