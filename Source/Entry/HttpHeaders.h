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

/// \brief Whether the headers of a message tell where its body ends.
enum class BodyFraming
{
  kClear,
  /// They state it in more than one way, or name transfer codings after which
  /// the end is not marked. What follows must not be read as another message.
  kAmbiguous,
  /// Chunks mark the end, but what they carry has another coding as well.
  kUnknownCoding,
};

/// Returns the framing of a message of HTTP/1.(aVersion - 10). The parser takes
/// a message whose codings it does not know for one without a coding.
BodyFraming
FramingOf(const http::fields& aFields, unsigned aVersion);

/// The seconds N of "Keep-Alive: timeout=N"; 0 when absent.
int
KeepAliveSeconds(const http::fields& aFields);

} // namespace ragwortdeck
