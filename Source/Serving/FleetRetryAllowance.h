#pragma once

#include "Core/Clock.h"

#include <deque>

namespace ragwortdeck {

/// \brief Limits how many second sends (retries and hedged requests) this host
/// makes to one service in a sliding window.
///
/// Covers the case that a service fails and every host retries: the bound holds
/// for all hosts together. Each host may use the ratio of its own requests and
/// an equal share of the fixed allowance.
class FleetRetryAllowance
{
public:
  struct Bounds
  {
    /// Allowed second sends per request.
    double mRatio = 0;
    /// Second sends that all hosts together may make in one window, in
    /// addition to the ratio.
    double mFixedAllowance = 0;
    Duration mWindow{ 0 };
    bool operator==(const Bounds&) const = default;
  };

  explicit FleetRetryAllowance(const Bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  void OnRequest(MonotonicTime aNow);
  /// Returns whether a second send is allowed, and counts it if so. aHosts is
  /// the number of hosts that share the fixed allowance.
  bool TrySpend(MonotonicTime aNow, std::size_t aHosts);

private:
  void Expire(MonotonicTime aNow);

  Bounds mBounds;
  std::deque<MonotonicTime> mRequests;
  std::deque<MonotonicTime> mSecondSends;
};

} // namespace ragwortdeck
