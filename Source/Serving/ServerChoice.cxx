#include "Serving/ServerChoice.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

double
CostOf(const ServerCandidate& aServer, Duration aFastest)
{
  // Exceeds the cost of any real load.
  constexpr double kAvoidedCost = 100;
  // Small enough to decide only between equally loaded servers.
  constexpr double kOtherDomainCost = 0.08;
  // A server this many times slower than the fastest counts as loaded.
  constexpr double kSlowRatio = 2.5;
  constexpr double kSlowCost = 1;
  double cost = static_cast<double>(std::max(aServer.mOwnInFlight, 0) +
                                    aServer.mReportedInFlight) /
                std::max(1, aServer.mSlots);
  cost += aServer.mSameDomain ? 0 : kOtherDomainCost;
  cost += aServer.mAvoided ? kAvoidedCost : 0;
  if (aFastest.count() > 0 &&
      aServer.mLatency.count() > kSlowRatio * aFastest.count()) {
    cost += kSlowCost;
  }
  return cost;
}

} // namespace

std::optional<std::string>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             RandomSource& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  Duration fastest{ 0 };
  for (const auto& it : aCandidates) {
    if (it.mLatency.count() > 0 &&
        (fastest.count() == 0 || it.mLatency < fastest)) {
      fastest = it.mLatency;
    }
  }
  double best = 0;
  std::vector<const ServerCandidate*> ties;
  for (const auto& it : aCandidates) {
    const double cost = CostOf(it, fastest);
    if (ties.empty() || cost < best) {
      best = cost;
      ties = { &it };
    } else if (cost == best) {
      ties.push_back(&it);
    }
  }
  return ties[aRandom.Below(ties.size())]->mTarget;
}

} // namespace ragwortdeck
