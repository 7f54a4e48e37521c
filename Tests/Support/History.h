#pragma once

#include "Core/Clock.h"
#include "Core/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

/// What a history record says.
enum class HistoryType
{
  /// A caller sent mRequest with the prompt mText.
  kRequestSent,
  /// A caller received the token with number mNumber of generation
  /// mGeneration.
  kTokenDelivered,
  /// The caller was told that the answer is whole; mNumber is the number of
  /// tokens the engine produced, mText the prompt that the engine echoed.
  kAnswerCompleted,
  /// The caller was told that the answer has failed; mText is the code.
  kAnswerFailed,
  /// A target executed the request or action mRequest.
  kRan,
  /// A caller was told the run state mText ("not-run", ...) for mRequest.
  kVerdict,
  /// An operator marked mHost as leaving.
  kMarkedLeaving,
  /// mHost (entry host or target) accepted new work.
  kWorkAccepted,
  /// mHost was asked to stop gracefully.
  kStopRequested,
  /// mHost ended mRequest before it was complete, without its caller's wish.
  kCutOff,
  /// The operators' table reached version mNumber.
  kTableAccepted,
  /// mHost applied table version mNumber.
  kTableInForce,
  kHostUp,
  kHostDown,
};

/// \brief One observation of a test run. Actions use their idempotency key as
/// request, and the attempt of a caller as generation.
struct HistoryRecord
{
  Duration mTime{};
  HistoryType mType = HistoryType::kRequestSent;
  std::string mHost;
  std::string mRequest;
  std::string mGeneration;
  std::uint64_t mNumber = 0;
  std::string mText;

  bool operator==(const HistoryRecord&) const = default;
};

using History = std::vector<HistoryRecord>;

/// Reads JSON lines: {"t_us", "type", "host", "request", "generation", "n",
/// "text"}; "type" is the enumerator's name in snake case. Errors name the
/// line, counted from 1. The result is ordered by time.
Result<History>
ParseHistory(std::string_view aText);

/// One JSON line, without the line end.
std::string
ToJsonLine(const HistoryRecord& aRecord);

} // namespace ragwortdeck
