#pragma once

#include "Entry/Asio.h"

#include <functional>

namespace ragwortdeck {

/// True for a header that is not forwarded: a hop-by-hop header, or one that
/// describes the framing of the message.
bool
IsConnectionHeader(std::string_view aName);

/// Copies the headers that may be forwarded: all but the connection headers,
/// those that the Connection header names, and those for which aDrop is true.
void
CopyHeaders(const http::fields& aFrom,
            http::fields& aTo,
            const std::function<bool(std::string_view)>& aDrop);

/// True when the request has not exactly one Host header, or frames its body
/// in more than one way.
bool
IsAmbiguous(const http::fields& aFields);

/// The seconds N of "Keep-Alive: timeout=N"; 0 when absent.
int
KeepAliveSeconds(const http::fields& aFields);

} // namespace ragwortdeck
