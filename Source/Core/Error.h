#pragma once

#include <string>

namespace ragwortdeck {

/// Classes of failure that callers of a function treat differently.
enum class ErrorCode
{
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kUnauthenticated,
  kCorrupt,
  kAddressInUse,
  kInternal,
};

/// \brief A failure with a message for a person.
struct Error
{
  ErrorCode mCode = ErrorCode::kInternal;
  std::string mMessage;

  bool operator==(const Error&) const = default;
};

} // namespace ragwortdeck
