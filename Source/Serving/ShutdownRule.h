#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

namespace ragwortdeck {

/// Whether a host that was told to stop still takes a request.
///
/// Answers the pattern "hosts are stopped in turn, and callers still reach a
/// stopping host because few others of its failure domain are up": what would
/// be cut at the end of the grace is refused at once, so that the caller goes
/// to another host.
bool
AcceptsDuringShutdown(RouteKind aKind, Duration aSinceStop, Duration aGrace);

} // namespace ragwortdeck
