#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A stream that has received events from its engine.
struct RunningStream
{
  std::string mEngine;
  MonotonicTime mLastEventAt;
  bool operator==(const RunningStream&) const = default;
};

/// \brief Detects engines that stopped sending, from the streams of this host.
///
/// The directory entry of an engine that stops responding expires only 3.6 s
/// later, and until then each of a hundred hosts would lose a request to it. A
/// host with a stream on the engine notices first and tells the others.
class SilenceWatch
{
public:
  /// Events arrive every 30 to 60 ms; the prefill of a long prompt in between
  /// delays one by less than this.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
  /// An event this recent from any engine shows that this host and its network
  /// are not the cause of the silence.
  static constexpr Duration kAliveWithin = std::chrono::milliseconds(250);
  /// Interval after which a silent engine is reported again.
  static constexpr Duration kReportInterval = std::chrono::milliseconds(700);

  /// Returns the silent engines that are due for a report.
  std::vector<std::string> FindSilentEngines(
    const std::vector<RunningStream>& aStreams,
    MonotonicTime aNow);

private:
  std::map<std::string, MonotonicTime> mReportedAt;
};

/// Returns how long a stream may make no progress before it goes on at another
/// engine, where it may. aGapGoal is the longest gap between events that still
/// has full value, aLongestGap the longest one of this stream so far.
///
/// Only complete events with content are progress: an engine that is stuck may
/// still send comments, or single bytes. An engine that is slow but steady has
/// shown its gaps, and keeps its stream.
Milliseconds
LongestSilence(Milliseconds aGapGoal, Duration aLongestGap);

} // namespace ragwortdeck
