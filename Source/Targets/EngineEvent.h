#pragma once

#include "Core/Result.h"
#include "Targets/SseParser.h"

#include <cstdint>
#include <string>

namespace ragwortdeck {

enum class EngineEventKind : std::uint8_t
{
  /// Precedes the first token, for example "response.created".
  kPreamble,
  /// Carries generated output; its type ends in ".delta".
  kToken,
  /// Follows the tokens, for example "response.output_text.done".
  kOther,
  kCompleted,
  /// The engine ended the answer early: failed, incomplete, cancelled, error.
  kFailed,
};

/// \brief One event of an engine's answer.
struct EngineEvent
{
  /// Counts the events of an answer from 0.
  std::int64_t mSequence = 0;
  EngineEventKind mKind = EngineEventKind::kOther;
  std::string mType;
  /// JSON text, as the engine sent it.
  std::string mData;
  /// Id of the response object in the event; empty without one.
  std::string mResponseId;

  bool operator==(const EngineEvent&) const = default;
};

/// Fails with kCorrupt when the event is not a JSON object with a type and a
/// sequence number.
Result<EngineEvent>
ParseEngineEvent(SseEvent&& aEvent);

/// The event's data with the id of its response object replaced.
std::string
WithResponseId(const EngineEvent& aEvent, const std::string& aId);

/// Text of the event in a text/event-stream body.
std::string
ToSse(const std::string& aType, const std::string& aData);

} // namespace ragwortdeck
