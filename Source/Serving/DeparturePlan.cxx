#include "Serving/DeparturePlan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace ragwortdeck {

namespace {

/// Part of the notice that is kept for the final copies and for resuming the
/// runs on their destinations.
constexpr Milliseconds kFinalCopyReserve{ 220 };
/// A run is expected to complete on its engine if its estimated end is at least
/// this long before the engine stops; estimates of output lengths are often too
/// short.
constexpr Milliseconds kFinishMargin{ 350 };
/// Fixed cost of each copy: calls to the engine and switching its link to the
/// next copy.
constexpr double kCopyOverheadMs = 6;

double
ValueDensity(const DepartingRun& aRun)
{
  return static_cast<double>(aRun.mValue) /
         static_cast<double>(std::max<std::int64_t>(1, aRun.mTokens));
}

} // namespace

double
CopyMsPerToken(const EngineLimits& aLimits)
{
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAtOneMbps = 1000;
  if (aLimits.mLinkMbps <= 0) {
    return 0;
  }
  return aLimits.mTokenBytes * kBitsPerByte /
         (aLimits.mLinkMbps * kBitsPerMsAtOneMbps);
}

std::vector<PlannedCopy>
PlanDepartures(std::vector<DepartingRun> aRuns,
               const std::vector<DepartingEngine>& aEngines,
               std::vector<Destination> aDestinations,
               double aMsPerToken)
{
  std::map<std::string, const DepartingEngine*> engines;
  for (const auto& it : aEngines) {
    engines.emplace(it.mEngine, &it);
  }
  std::erase_if(aRuns, [&](const DepartingRun& aItem) {
    return !engines.contains(aItem.mEngine);
  });
  const auto completes = [&](const DepartingRun& aRun) {
    return Milliseconds(aRun.mRemainingMs) + kFinishMargin <
           engines[aRun.mEngine]->mNotice;
  };
  std::sort(aRuns.begin(),
            aRuns.end(),
            [&](const DepartingRun& aLeft, const DepartingRun& aRight) {
              return std::make_tuple(completes(aLeft),
                                     -ValueDensity(aLeft),
                                     aLeft.mHost,
                                     aLeft.mRun) <
                     std::make_tuple(completes(aRight),
                                     -ValueDensity(aRight),
                                     aRight.mHost,
                                     aRight.mRun);
            });
  // Time from now until the link of each engine is free, in milliseconds.
  std::map<std::string, double> linkFreeAtMs;
  for (const auto& it : aEngines) {
    linkFreeAtMs[it.mEngine] = it.mLinkBusyMs;
  }
  for (const auto& it : aDestinations) {
    linkFreeAtMs[it.mEngine] = it.mLinkBusyMs;
  }
  std::vector<PlannedCopy> copies;
  for (const auto& run : aRuns) {
    const auto& engine = *engines[run.mEngine];
    const auto latestStop =
      std::max(Milliseconds(0), engine.mNotice - kFinalCopyReserve);
    Destination* best = nullptr;
    double bestEnd = static_cast<double>(latestStop.count());
    double bestStart = 0;
    for (auto& it : aDestinations) {
      if (it.mFreeTokens < run.mNeededTokens || it.mFreeSlots < 1 ||
          it.mEngine == run.mEngine) {
        continue;
      }
      const double start =
        std::max(linkFreeAtMs[run.mEngine], linkFreeAtMs[it.mEngine]);
      const double factor =
        it.mFailureDomain == engine.mFailureDomain ? 1 : kOtherDomainCopyFactor;
      const double end =
        start + kCopyOverheadMs +
        factor * aMsPerToken * static_cast<double>(run.mTokens);
      if (end < bestEnd ||
          (best && end == bestEnd && it.mFreeTokens > best->mFreeTokens)) {
        best = &it;
        bestEnd = end;
        bestStart = start;
      }
    }
    if (!best) {
      continue;
    }
    linkFreeAtMs[run.mEngine] = bestEnd;
    linkFreeAtMs[best->mEngine] = bestEnd;
    best->mFreeTokens -= run.mNeededTokens;
    --best->mFreeSlots;
    copies.push_back({ run.mEngine,
                       run.mHost,
                       run.mRun,
                       best->mEngine,
                       static_cast<std::int64_t>(bestStart),
                       static_cast<std::int64_t>(bestEnd),
                       latestStop.count() });
  }
  return copies;
}

} // namespace ragwortdeck
