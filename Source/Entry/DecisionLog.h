#pragma once

#include "Core/Clock.h"

#include <nlohmann/json.hpp>

namespace ragwortdeck {

/// \brief Writes log lines, one JSON object each, to a file descriptor.
///
/// It never blocks: it drops lines that the pipe does not accept at once, and
/// lines beyond a rate limit. The next line written holds the number of dropped
/// lines.
class DecisionLog
{
public:
  /// Sustained rate and burst of the rate limit, which bounds the volume of the
  /// log under load.
  static constexpr double kLinesPerSecond = 120;
  static constexpr double kBurstLines = 400;

  using Fields = nlohmann::ordered_json;

  /// aFile is a file descriptor; it is made non-blocking.
  DecisionLog(const Clock& aClock, int aFile);

  void Write(const char* aEvent, const Fields& aFields);
  std::uint64_t Dropped() const { return mDroppedTotal; }

private:
  const Clock& mClock;
  int mFile;
  double mTokens = kBurstLines;
  MonotonicTime mRefilled;
  /// Lines dropped since the last line written.
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedTotal = 0;
};

} // namespace ragwortdeck
