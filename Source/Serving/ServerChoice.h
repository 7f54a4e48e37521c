#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A server of a service without engines that a request could be sent
/// to.
struct ServerCandidate
{
  std::string mTarget;
  int mSlots = 1;
  /// Requests that this host has in flight there.
  int mOwnInFlight = 0;
  /// Requests from all callers, as the server last reported; 0 if that report
  /// is outdated.
  int mReportedInFlight = 0;
  Duration mLatency{ 0 };
  bool mSameDomain = false;
  bool mAvoided = false;
};

/// Chooses the server with the least load per slot. Slow responses count as
/// load, and an avoided server is chosen only if all are avoided. Returns
/// nothing if there is no candidate.
std::optional<std::string>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             RandomSource& aRandom);

} // namespace ragwortdeck
