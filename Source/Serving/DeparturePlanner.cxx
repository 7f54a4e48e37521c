#include "Serving/DeparturePlanner.h"

#include <algorithm>
#include <tuple>

namespace ragwortdeck {

namespace {

/// An engine's notice lasts about 2 s, and its run's number may come again on
/// another engine.
constexpr Duration kForgetAfter = std::chrono::seconds(10);

Duration
OfMs(std::int64_t aMs)
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
DeparturePlanner::Learn(const std::vector<DepartingRun>& aRuns,
                        MonotonicTime aNow)
{
  ForgetOld(aNow);
  for (const auto& run : aRuns) {
    if (!mFirstReportedAt.emplace(Key(run.mHost, run.mRun, run.mEngine), aNow)
           .second) {
      continue;
    }
    const auto ends = aNow + OfMs(run.mEngineEndsMs);
    // Hosts that learned later know a later end; the earliest is safe.
    const auto [it, isNew] = mEndsAt.try_emplace(run.mEngine, ends);
    it->second = std::min(it->second, ends);
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
    const bool taken = aDomains.contains(aRun.mEngine);
    if (taken) {
      runs.push_back(aRun);
    }
    return taken;
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
    for (const auto& room : mReservations) {
      if (room.mEngine == it.mEngine) {
        it.mFreeTokens -= room.mTokens;
        --it.mFreeSlots;
      }
    }
  }
  auto slots =
    PlanDepartures(runs, engines, std::move(aDestinations), aMsPerToken);
  std::set<Key> planned;
  for (const auto& slot : slots) {
    const Key key(slot.mHost, slot.mRun, slot.mEngine);
    planned.insert(key);
    const auto end = aNow + OfMs(slot.mFirstCopyEndMs);
    for (const auto& link : { slot.mEngine, slot.mDestination }) {
      mLinkFreeAt[link] = std::max(mLinkFreeAt[link], end);
    }
    const auto run =
      std::find_if(runs.begin(), runs.end(), [&](const DepartingRun& aRun) {
        return Key(aRun.mHost, aRun.mRun, aRun.mEngine) == key;
      });
    mReservations.push_back(
      { slot.mDestination,
        run->mNeededTokens,
        aNow + OfMs(slot.mFirstCopyStartMs) + kLoadReportDelay });
  }
  for (const auto& run : runs) {
    if (!planned.contains(Key(run.mHost, run.mRun, run.mEngine))) {
      slots.push_back({ run.mEngine, run.mHost, run.mRun, "", 0, 0, 0 });
    }
  }
  return slots;
}

} // namespace ragwortdeck
