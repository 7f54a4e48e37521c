#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

namespace ragwortdeck {

/// Whether a host that is shutting down still accepts a request.
///
/// Covers the case that hosts are stopped one after another, and callers still
/// reach a stopping host because few others of its failure domain are up: a
/// request that would be cut off at the end of the grace period is refused at
/// once, so that the caller goes to another host. aSinceStop is the time since
/// the host was told to stop.
bool
AcceptsDuringShutdown(RouteKind aKind, Duration aSinceStop, Duration aGrace);

/// Returns how long a request may wait for a host that has just started to
/// learn the table and the targets.
///
/// Covers the restart of a whole fleet: the contents arrive within some hundred
/// milliseconds, and a caller that is refused meets hosts in the same state
/// when it returns. aTimeLeft is the time that the caller still waits for an
/// answer.
Duration
LongestWaitAtStart(Duration aSinceStart, Duration aTimeLeft);

} // namespace ragwortdeck
