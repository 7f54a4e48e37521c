#include "Entry/HttpHeaders.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace ragwortdeck {

namespace {

constexpr unsigned kHttp11 = 11;
constexpr const char* kChunked = "chunked";

} // namespace

bool
IsConnectionHeader(std::string_view aName)
{
  static constexpr std::array kNames = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect",
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](const char* aOther) {
    return beast::iequals({ aName.data(), aName.size() }, aOther);
  });
}

void
CopyHeaders(const http::fields& aFrom,
            http::fields& aTo,
            const std::function<bool(std::string_view)>& aDrop)
{
  http::token_list named{ aFrom[http::field::connection] };
  for (const auto& it : aFrom) {
    const std::string_view name(it.name_string().data(),
                                it.name_string().size());
    if (IsConnectionHeader(name) || aDrop(name) ||
        named.exists(it.name_string())) {
      continue;
    }
    aTo.insert(it.name_string(), it.value());
  }
}

BodyFraming
FramingOf(const http::fields& aFields, unsigned aVersion)
{
  const auto lengths = aFields.count(http::field::content_length);
  const auto codings = aFields.count(http::field::transfer_encoding);
  if (codings == 0) {
    return lengths > 1 ? BodyFraming::kAmbiguous : BodyFraming::kClear;
  }
  // HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
  if (lengths > 0 || codings > 1 || aVersion < kHttp11) {
    return BodyFraming::kAmbiguous;
  }
  const auto value = aFields[http::field::transfer_encoding];
  if (beast::iequals(value, kChunked)) {
    return BodyFraming::kClear;
  }
  const auto last = value.substr(value.rfind(',') + 1);
  const auto begin = std::min(last.find_first_not_of(" \t"), last.size());
  return beast::iequals(last.substr(begin), kChunked)
           ? BodyFraming::kUnknownCoding
           : BodyFraming::kAmbiguous;
}

int
KeepAliveSeconds(const http::fields& aFields)
{
  const auto value = aFields[http::field::keep_alive];
  const std::string text(value.data(), value.size());
  static constexpr char kTimeout[] = "timeout=";
  const auto at = text.find(kTimeout);
  if (at == std::string::npos) {
    return 0;
  }
  return std::max(0, std::atoi(text.c_str() + at + sizeof(kTimeout) - 1));
}

} // namespace ragwortdeck
