#include "Serving/ShutdownRule.h"

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

} // namespace ragwortdeck
