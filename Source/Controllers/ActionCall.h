#pragma once

#include "Controllers/ActionRecord.h"
#include "Core/Verdict.h"

#include <functional>
#include <string>

namespace ragwortdeck {

/// \brief A call that must run at most once.
struct ActionCall
{
  TeamName mTeam;
  /// Service and operation, for example "stock/reserve".
  std::string mOperation;
  std::string mIdempotencyKey;
  std::string mContentType;
  std::string mBody;
};

/// \brief What the caller is told. It is about this attempt: an earlier
/// attempt with the same key may have run although this one did not.
struct ActionResult
{
  Verdict mVerdict;
  /// Set when mVerdict.mState is kRan.
  ActionOutcome mOutcome;
  /// The outcome is that of an earlier attempt.
  bool mRepeated = false;
  /// Id of this attempt; empty when the call was refused before one began.
  std::string mAttempt;
};

/// \brief How a dispatch to the service ended.
struct DispatchReport
{
  enum class Type
  {
    /// Nothing was sent, for example because the connection was refused.
    kNotSent,
    /// The service answered; any status counts as run.
    kAnswered,
    /// Sent, and no whole answer.
    kUnknown,
  };
  Type mType = Type::kUnknown;
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

/// Sends the call to the service with its idempotency key. Reports once, on
/// the same thread, not inside the call, and after a timeout at the latest.
/// The attempt id is for logs and events.
using ActionDispatchHook =
  std::function<void(const ActionCall&,
                     const std::string& aAttempt,
                     std::function<void(const DispatchReport&)>)>;

/// Asks the service by idempotency key what became of the action: kAnswered
/// with the original answer, else kUnknown or kNotSent. Reports like a
/// dispatch.
using ActionQueryHook =
  std::function<void(const ActionCall&,
                     std::function<void(const DispatchReport&)>)>;

} // namespace ragwortdeck
