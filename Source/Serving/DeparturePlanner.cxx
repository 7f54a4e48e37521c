#include "Serving/DeparturePlanner.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Runs and engines are kept for this long. An engine's notice lasts about 2 s,
/// and a run that moved may later be reported with the same id on another
/// engine.
constexpr Duration kForgetAfter = std::chrono::seconds(10);

Duration
FromMs(std::int64_t aMs)
{
  return Milliseconds(aMs);
}

} // namespace

void
DeparturePlanner::ForgetOld(MonotonicTime aNow)
{
  const auto isOld = [&](const auto& aItem) {
    return aNow - aItem.second > kForgetAfter;
  };
  std::erase_if(mFirstReportedAt, isOld);
  std::erase_if(mEndsAt, isOld);
  std::erase_if(mLinkFreeAt, isOld);
  std::erase_if(mReservations, [&](const Reservation& aItem) {
    return aItem.mExpiresAt <= aNow;
  });
}

void
DeparturePlanner::AddRuns(const std::vector<DepartingRun>& aRuns,
                          MonotonicTime aNow)
{
  ForgetOld(aNow);
  for (const auto& run : aRuns) {
    if (!mFirstReportedAt.emplace(KeyOf(run), aNow).second) {
      continue;
    }
    const auto endsAt = aNow + FromMs(run.mEngineEndsMs);
    // Hosts that learned of the notice later report a later end; the earliest
    // one is safe.
    const auto [it, isNew] = mEndsAt.try_emplace(run.mEngine, endsAt);
    it->second = std::min(it->second, endsAt);
    mUnplanned.push_back(run);
  }
}

std::set<std::string>
DeparturePlanner::Engines() const
{
  std::set<std::string> engines;
  for (const auto& run : mUnplanned) {
    engines.insert(run.mEngine);
  }
  return engines;
}

double
DeparturePlanner::LinkBusyMs(const std::string& aEngine,
                             MonotonicTime aNow) const
{
  constexpr double kMicrosecondsPerMs = 1000;
  const auto it = mLinkFreeAt.find(aEngine);
  return it == mLinkFreeAt.end() || it->second <= aNow
           ? 0
           : static_cast<double>((it->second - aNow).count()) /
               kMicrosecondsPerMs;
}

std::vector<PlannedCopy>
DeparturePlanner::Plan(const std::map<std::string, std::string>& aDomains,
                       std::vector<Destination> aDestinations,
                       double aMsPerToken,
                       MonotonicTime aNow)
{
  ForgetOld(aNow);
  std::vector<DepartingRun> runs;
  std::erase_if(mUnplanned, [&](const DepartingRun& aRun) {
    const bool isIncluded = aDomains.contains(aRun.mEngine);
    if (isIncluded) {
      runs.push_back(aRun);
    }
    return isIncluded;
  });
  std::vector<DepartingEngine> engines;
  for (const auto& [id, domain] : aDomains) {
    const auto it = mEndsAt.find(id);
    if (it != mEndsAt.end()) {
      engines.push_back(
        { id,
          domain,
          std::chrono::duration_cast<Milliseconds>(it->second - aNow),
          LinkBusyMs(id, aNow) });
    }
  }
  for (auto& it : aDestinations) {
    it.mLinkBusyMs = LinkBusyMs(it.mEngine, aNow);
    for (const auto& reservation : mReservations) {
      if (reservation.mEngine == it.mEngine) {
        it.mFreeTokens -= reservation.mTokens;
        --it.mFreeSlots;
      }
    }
  }
  auto copies =
    PlanDepartures(runs, engines, std::move(aDestinations), aMsPerToken);
  std::set<DepartingKey> plannedKeys;
  for (const auto& copy : copies) {
    const auto key = KeyOf(copy);
    plannedKeys.insert(key);
    const auto end = aNow + FromMs(copy.mFirstCopyEndMs);
    for (const auto& link : { copy.mEngine, copy.mDestination }) {
      mLinkFreeAt[link] = std::max(mLinkFreeAt[link], end);
    }
    const auto run =
      std::find_if(runs.begin(), runs.end(), [&](const DepartingRun& aRun) {
        return KeyOf(aRun) == key;
      });
    mReservations.push_back(
      { copy.mDestination,
        run->mNeededTokens,
        aNow + FromMs(copy.mFirstCopyStartMs) + kLoadReportDelay });
  }
  for (const auto& run : runs) {
    if (!plannedKeys.contains(KeyOf(run))) {
      copies.push_back({ run.mEngine, run.mHost, run.mRun, "", 0, 0, 0 });
    }
  }
  return copies;
}

} // namespace ragwortdeck
