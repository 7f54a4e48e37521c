#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"

#include <optional>
#include <string>

namespace ragwortdeck {

enum class ActionState
{
  /// The creator may dispatch, or has done so.
  kIntent,
  /// The action ran; the answer of the service is kept.
  kOutcome,
  /// The attempt never dispatches; another may replace the record.
  kAbandoned,
};

/// \brief The answer of a service to an action.
struct ActionOutcome
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  /// False when the body was above the bound and only its digest is kept.
  bool mBodyKept = true;
  /// SHA-256 of the whole body, in hex.
  std::string mBodyDigest;

  bool operator==(const ActionOutcome&) const = default;
};

/// \brief Value of an action's key: one attempt and what became of it.
struct ActionRecord
{
  ActionState mState = ActionState::kIntent;
  /// Random, unique over all hosts and restarts.
  std::string mAttempt;
  HostId mHost;
  /// SHA-256 of the request body, in hex.
  std::string mRequestDigest;
  /// Wall clock of the creator, for operators only.
  WallTime mCreated{};
  ActionOutcome mOutcome;

  bool operator==(const ActionRecord&) const = default;
};

/// "/ragwort/actions/<team>/<operation>/<idempotency key>", each part
/// percent-encoded so that different parts never give the same key.
std::string
ActionRecordKey(const TeamName& aTeam,
                const std::string& aOperation,
                const std::string& aIdempotencyKey);

/// JSON text of a record.
std::string
EncodeActionRecord(const ActionRecord& aRecord);

/// Nothing when the text is not a record.
std::optional<ActionRecord>
DecodeActionRecord(const std::string& aText);

/// SHA-256 in hex.
std::string
ActionDigest(const std::string& aBody);

} // namespace ragwortdeck
