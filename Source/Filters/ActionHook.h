#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Core/Verdict.h"

#include <functional>
#include <string>

namespace ragwortdeck {

/// \brief A call to a service that must run at most once.
struct ServiceAction
{
  RequestId mRequest;
  TeamName mTeam;
  std::string mService;
  std::string mOperation;
  std::string mIdempotencyKey;
  std::string mBody;
  /// The answer is useless after this.
  MonotonicTime mDeadline;
};

/// Whether a dispatched call reached its target.
enum class ServiceReplyKind : std::uint8_t
{
  kReplied,
  /// No connection was established, so the call was certainly not sent.
  kNotSent,
  /// The call may have reached the target.
  kUnknown,
};

/// \brief A service's reply to one call.
struct ServiceReply
{
  ServiceReplyKind mKind = ServiceReplyKind::kUnknown;
  int mStatus = 0;
  std::string mBody;

  bool operator==(const ServiceReply&) const = default;
};

using OnServiceReply = std::function<void(const ServiceReply&)>;

/// \brief What an action may ask of the network, on the request's thread.
struct ActionTransport
{
  /// Sends the call once, over a new connection, to one live target.
  std::function<void(OnServiceReply)> mDispatch;
  /// Asks a live target for the outcome of the idempotency key.
  std::function<void(OnServiceReply)> mQuery;
};

/// \brief How an action ended, as the caller is told.
struct ServiceActionResult
{
  /// A status of 200 to 299 makes mBody the reply; others become an error.
  Verdict mVerdict;
  std::string mBody;

  bool operator==(const ServiceActionResult&) const = default;
};

using OnServiceActionResult = std::function<void(const ServiceActionResult&)>;

/// Runs an action at most once and reports its result exactly once, from any
/// thread. The transport's functions must be called on the thread on which
/// the hook was called. The router refuses at-most-once calls without a hook.
using ActionHook = std::function<
  void(const ServiceAction&, ActionTransport, OnServiceActionResult)>;

} // namespace ragwortdeck
