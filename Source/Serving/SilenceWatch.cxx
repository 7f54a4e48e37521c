#include "Serving/SilenceWatch.h"

#include <algorithm>

namespace ragwortdeck {

std::vector<std::string>
SilenceWatch::FindSilentEngines(const std::vector<RunningStream>& aStreams,
                                MonotonicTime aNow)
{
  std::map<std::string, MonotonicTime> lastEventAt;
  bool hasRecentEvent = false;
  for (const auto& stream : aStreams) {
    auto& last = lastEventAt[stream.mEngine];
    last = std::max(last, stream.mLastEventAt);
    hasRecentEvent =
      hasRecentEvent || aNow - stream.mLastEventAt < kAliveWithin;
  }
  std::erase_if(mReportedAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kReportInterval;
  });
  std::vector<std::string> silent;
  if (!hasRecentEvent) {
    return silent;
  }
  for (const auto& [engine, last] : lastEventAt) {
    if (aNow - last > kSilentAfter &&
        mReportedAt.emplace(engine, aNow).second) {
      silent.push_back(engine);
    }
  }
  return silent;
}

Milliseconds
LongestSilence(Milliseconds aGapGoal, Duration aLongestGap)
{
  constexpr int kGapGoalFactor = 6;
  constexpr int kSeenGapFactor = 3;
  // A sound engine may pause for about a second; callers wait for 2 s or more.
  constexpr Milliseconds kMinSilence{ 1500 };
  return std::max(
    { kMinSilence,
      aGapGoal * kGapGoalFactor,
      std::chrono::duration_cast<Milliseconds>(aLongestGap * kSeenGapFactor) });
}

} // namespace ragwortdeck
