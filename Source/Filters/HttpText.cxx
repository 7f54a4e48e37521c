#include "Filters/HttpText.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <map>

namespace ragwortdeck {

namespace {

const char*
ReasonOf(int aStatus)
{
  static const std::map<int, const char*> sReasons = {
    { 200, "OK" },
    { 202, "Accepted" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 413, "Content Too Large" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  const auto found = sReasons.find(aStatus);
  return found == sReasons.end() ? "Status" : found->second;
}

/// "type" of an error as the Responses API groups them.
const char*
TypeOf(int aStatus)
{
  constexpr int kFirstServerError = 500;
  if (aStatus == kStatusTooMany) {
    return "rate_limit_error";
  }
  return aStatus >= kFirstServerError ? "server_error"
                                      : "invalid_request_error";
}

} // namespace

QByteArray
ReplyHead(int aStatus, const HttpHeaders& aHeaders)
{
  QByteArray text = "HTTP/1.1 " + QByteArray::number(aStatus) + " " +
                    ReasonOf(aStatus) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name.data(), qsizetype(name.size()));
    text.append(": ");
    text.append(value.data(), qsizetype(value.size()));
    text.append("\r\n");
  }
  text.append("\r\n");
  return text;
}

QByteArray
WholeReply(int aStatus,
           std::string_view aType,
           std::string_view aBody,
           HttpHeaders aHeaders)
{
  aHeaders.emplace_back("Content-Type", aType);
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  auto text = ReplyHead(aStatus, aHeaders);
  text.append(aBody.data(), qsizetype(aBody.size()));
  return text;
}

QByteArray
ErrorBody(const Verdict& aVerdict)
{
  const QJsonObject error{
    { "type", TypeOf(aVerdict.mStatus) },
    { "code", QString::fromStdString(aVerdict.mCode) },
    { "message", QString::fromStdString(aVerdict.mMessage) },
    { "verdict", ToText(aVerdict.mState) },
    { "retry_after_ms", qint64(aVerdict.mRetryAfter.count()) },
  };
  return QJsonDocument(QJsonObject{ { "error", error } })
    .toJson(QJsonDocument::Compact);
}

HttpHeaders
VerdictHeaders(const Verdict& aVerdict)
{
  HttpHeaders headers{ { "X-Ragwort-Verdict", ToText(aVerdict.mState) } };
  if (aVerdict.mRetryAfter.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aVerdict.mRetryAfter);
    headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  return headers;
}

QByteArray
RefusalReply(const Verdict& aVerdict, HttpHeaders aHeaders)
{
  for (auto& header : VerdictHeaders(aVerdict)) {
    aHeaders.push_back(std::move(header));
  }
  const auto body = ErrorBody(aVerdict);
  return WholeReply(aVerdict.mStatus,
                    "application/json",
                    { body.constData(), std::size_t(body.size()) },
                    std::move(aHeaders));
}

} // namespace ragwortdeck
