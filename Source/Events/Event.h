#pragma once

#include "Core/Ids.h"
#include "Core/Result.h"
#include "Events/HybridClock.h"

#include <optional>
#include <string>

namespace ragwortdeck {

enum class EventType : std::uint8_t
{
  kProcessStarted,
  kProcessStopping,
  kRequestReceived,
  kRequestRefused,
  kRequestQueued,
  kRequestDispatched,
  kFirstToken,
  kStreamResumed,
  kStreamStalled,
  kRequestFinished,
  kRequestCancelled,
  kActionIntent,
  kActionOutcome,
  kTableApplied,
  kLeaseAcquired,
  kLeaseLost,
  kOrderSent,
  kMemberChanged,
  kTargetChanged,
  kCreditsGranted,
  kStoreUnavailable,
  kStoreAvailable,
};

/// For example "request-received".
const char*
ToText(EventType aType);

std::optional<EventType>
EventTypeFromText(const std::string& aText);

/// \brief Something that happened in one process, at a hybrid logical time.
struct Event
{
  HybridTime mTime;
  EventType mType = EventType::kProcessStarted;
  HostId mHost;
  /// "router" or "control".
  std::string mProcess;
  RequestId mRequest;
  TargetId mTarget;
  /// 0 when the event has no attempt.
  std::uint32_t mAttempt = 0;
  std::uint64_t mTableVersion = 0;
  std::int64_t mLease = 0;
  /// Code of the verdict, for example "generation_lost".
  std::string mVerdict;
  std::string mDetail;

  bool operator==(const Event&) const = default;
  MSGPACK_DEFINE_MAP(mTime,
                     mType,
                     mHost,
                     mProcess,
                     mRequest,
                     mTarget,
                     mAttempt,
                     mTableVersion,
                     mLease,
                     mVerdict,
                     mDetail)
};

/// One line of JSON without a line break; empty members are left out.
std::string
ToJson(const Event& aEvent);

Result<Event>
EventFromJson(const std::string& aLine);

} // namespace ragwortdeck

MSGPACK_ADD_ENUM(ragwortdeck::EventType)
