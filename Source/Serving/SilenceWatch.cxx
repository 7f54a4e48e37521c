#include "Serving/SilenceWatch.h"

#include <algorithm>

namespace ragwortdeck {

std::vector<std::string>
SilenceWatch::FindSilentEngines(const std::vector<RunningStream>& aStreams,
                                MonotonicTime aNow)
{
  std::map<std::string, MonotonicTime> newest;
  bool alive = false;
  for (const auto& stream : aStreams) {
    auto& last = newest[stream.mEngine];
    last = std::max(last, stream.mLastEventAt);
    alive = alive || aNow - stream.mLastEventAt < kAliveWithin;
  }
  std::erase_if(mReportedAt, [&](const auto& aItem) {
    return aNow - aItem.second >= kReportInterval;
  });
  std::vector<std::string> silent;
  if (!alive) {
    return silent;
  }
  for (const auto& [engine, last] : newest) {
    if (aNow - last > kSilentAfter &&
        mReportedAt.emplace(engine, aNow).second) {
      silent.push_back(engine);
    }
  }
  return silent;
}

} // namespace ragwortdeck
