#include "Serving/ShutdownRule.h"

#include <algorithm>

namespace ragwortdeck {

bool
AcceptsDuringShutdown(RouteKind aKind, Duration aSinceStop, Duration aGrace)
{
  // The platform probes the host twice, one second apart, before it stops
  // sending callers to it.
  constexpr Duration kStopNoticeDelay = std::chrono::milliseconds(2500);
  // Requests without a stream take some hundred milliseconds, or one second
  // when slow.
  constexpr Duration kPlainRequestDuration = std::chrono::milliseconds(2000);
  if (aKind == RouteKind::kStream) {
    return aSinceStop < kStopNoticeDelay;
  }
  return aSinceStop + kPlainRequestDuration < aGrace;
}

Duration
LongestWaitAtStart(Duration aSinceStart, Duration aTimeLeft)
{
  // A host that has learned nothing by then is cut off; its callers are served
  // better by others.
  constexpr Duration kStartTime = std::chrono::milliseconds(1000);
  // The rest is left for the answer, or for a retry at another host.
  constexpr int kTimeLeftDivisor = 3;
  return std::max(
    Duration(0),
    std::min(kStartTime - aSinceStart, aTimeLeft / kTimeLeftDivisor));
}

} // namespace ragwortdeck
