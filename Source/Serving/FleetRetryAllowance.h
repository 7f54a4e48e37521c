#pragma once

#include "Core/Clock.h"

#include <deque>

namespace ragwortdeck {

/// \brief Second sends that this host may make for one service in a sliding
/// window.
///
/// Answers the pattern "a service fails and every host repeats": the bound
/// holds over the whole fleet. Each host takes the ratio of its own requests
/// and an equal part of the fixed allowance.
class FleetRetryAllowance
{
public:
  struct Bounds
  {
    /// Second sends per request.
    double mRatio = 0;
    /// Second sends of the whole fleet beyond the ratio, in one window.
    double mFixedAllowance = 0;
    Duration mWindow{ 0 };
    bool operator==(const Bounds&) const = default;
  };

  explicit FleetRetryAllowance(const Bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  void OnRequest(MonotonicTime aNow);
  /// True when a second send is allowed; it is then counted. aHosts is the
  /// number of hosts that share the allowance.
  bool TrySpend(MonotonicTime aNow, std::size_t aHosts);

private:
  void Expire(MonotonicTime aNow);

  Bounds mBounds;
  std::deque<MonotonicTime> mRequests;
  std::deque<MonotonicTime> mSpent;
};

} // namespace ragwortdeck
