#pragma once

#include "Core/HttpStatus.h"
#include "Core/Verdict.h"

#include <QByteArray>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ragwortdeck {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// "HTTP/1.1 <status> <reason>" with the headers and the end of the header.
QByteArray
ReplyHead(int aStatus, const HttpHeaders& aHeaders);

/// A complete reply with its Content-Length.
QByteArray
WholeReply(int aStatus,
           std::string_view aType,
           std::string_view aBody,
           HttpHeaders aHeaders);

/// A refusal of a request that did not run.
inline Verdict
Refusal(int aStatus, std::string aCode, std::string aMessage)
{
  return { RunState::kNotRun,
           aStatus,
           std::move(aCode),
           std::move(aMessage),
           std::chrono::milliseconds(0) };
}

/// The error body of a refused request.
QByteArray
ErrorBody(const Verdict& aVerdict);

/// X-Ragwort-Verdict, and Retry-After in whole seconds when waiting helps.
HttpHeaders
VerdictHeaders(const Verdict& aVerdict);

/// A complete reply that refuses a request.
QByteArray
RefusalReply(const Verdict& aVerdict, HttpHeaders aHeaders);

} // namespace ragwortdeck
