#include "Entry/CallerRequest.h"

#include "Core/HttpStatus.h"
#include "Entry/HttpHeaders.h"

#include <cstdio>

namespace ragwortdeck {

FinalAnswer
MakeLocalAnswer(unsigned aStatus, const std::string& aText)
{
  FinalAnswer answer;
  answer.mResponse.version(11);
  answer.mResponse.result(aStatus);
  answer.mResponse.set(http::field::content_type, "text/plain");
  answer.mResponse.body() = aText + "\n";
  return answer;
}

FinalAnswer
MakeRefusal(const std::string& aText, double aRetryAfterSeconds)
{
  auto answer = MakeLocalAnswer(kStatusUnavailable, aText);
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%.2f", std::max(0.0, aRetryAfterSeconds));
  answer.mResponse.set(http::field::retry_after, buf);
  return answer;
}

TargetRequestHeaders
MakeTargetRequestHeaders(const CallerRequest& aRequest,
                         const std::string& aTarget,
                         MonotonicTime aNow)
{
  TargetRequestHeaders headers;
  headers.mTarget = aTarget;
  headers.mTeam = aRequest.mTeam ? aRequest.mTeam->mName : "";
  headers.mTimeLeft = aRequest.TimeLeft(aNow);
  headers.mLastEventId = aRequest.mCallerHeaders.mLastEventId;
  return headers;
}

std::shared_ptr<const TargetRequest>
MakeTargetRequest(std::shared_ptr<const CallerRequest> aRequest,
                  const PlatformCodec& aCodec,
                  const TargetRequestHeaders& aHeaders)
{
  struct Owner
  {
    std::shared_ptr<const CallerRequest> mOrigin;
    TargetRequest mMessage;
  };
  const auto& from = aRequest->mRequest;
  auto owner = std::make_shared<Owner>();
  auto& request = owner->mMessage;
  request.method_string(from.method_string());
  request.target(from.target());
  request.version(11);
  CopyHeaders(from, request, [&](std::string_view aName) {
    return aCodec.IsReservedHeader(aName);
  });
  aCodec.WriteTargetRequestHeaders(aHeaders, request);
  request.body() = { from.body().data(), from.body().size() };
  request.prepare_payload();
  owner->mOrigin = std::move(aRequest);
  return { owner, &request };
}

http::response<http::string_body>
MakeForwardedAnswer(const http::response_header<>& aHeader, std::string aBody)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aHeader.result_int());
  response.reason(aHeader.reason());
  CopyAnswerHeaders(aHeader, response);
  response.body() = std::move(aBody);
  return response;
}

void
CopyAnswerHeaders(const http::fields& aFrom, http::fields& aTo)
{
  CopyHeaders(aFrom, aTo, [](std::string_view) { return false; });
}

} // namespace ragwortdeck
