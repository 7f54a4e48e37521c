#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A stream whose engine is making events.
struct RunningStream
{
  std::string mEngine;
  MonotonicTime mLastEventAt;
  bool operator==(const RunningStream&) const = default;
};

/// \brief Finds engines that fell silent, from the streams of this host.
///
/// Answers the pattern "an engine goes dark, its entry lapses 3.6 s later, and
/// each of a hundred hosts loses a request to learn of it": a host with a
/// stream there sees the silence first and tells the others.
class SilenceWatch
{
public:
  /// Events come every 30 to 60 ms; a long prompt that is read between them
  /// delays one by less than this.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(600);
  /// An event this recent on another engine shows that this host and its
  /// network are not what is silent.
  static constexpr Duration kAliveWithin = std::chrono::milliseconds(250);
  /// An engine is reported again after this.
  static constexpr Duration kReportEvery = std::chrono::milliseconds(700);

  /// Engines that are to be reported now.
  std::vector<std::string> Silent(const std::vector<RunningStream>& aStreams,
                                  MonotonicTime aNow);

private:
  std::map<std::string, MonotonicTime> mReported;
};

} // namespace ragwortdeck
