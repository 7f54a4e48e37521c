#include "Serving/ShutdownRule.h"

namespace ragwortdeck {

bool
AcceptsDuringShutdown(RouteKind aKind, Duration aSinceStop, Duration aGrace)
{
  // The platform asks twice, a second apart, before it sends no more callers.
  constexpr Duration kNotNoticedYet = std::chrono::milliseconds(2500);
  // Plain requests last some hundred milliseconds, a second when slow.
  constexpr Duration kPlainRequest = std::chrono::milliseconds(2000);
  if (aKind == RouteKind::kStream) {
    return aSinceStop < kNotNoticedYet;
  }
  return aSinceStop + kPlainRequest < aGrace;
}

} // namespace ragwortdeck
