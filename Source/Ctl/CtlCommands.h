#pragma once

#include "Ctl/CtlContext.h"
#include "Events/Event.h"

#include <functional>

namespace ragwortdeck {

/// "table show|get|set|unset|import|export|history|diff|check|prune".
std::vector<CtlCommand>
TableCommands();

/// "hosts list|join|leave|clear".
std::vector<CtlCommand>
HostCommands();

/// "team-key".
std::vector<CtlCommand>
TeamKeyCommands();

/// "timeline".
std::vector<CtlCommand>
TimelineCommands();

/// "status", "events"; answered by control processes.
std::vector<CtlCommand>
PeerCommands();

/// Asks the control processes at the addresses among the words for their events
/// and those of their routers. Returns an exit code; what did answer is passed
/// to aOnEvents all the same.
int
FetchEvents(CtlContext& aContext,
            const CtlArguments& aArguments,
            const std::function<void(const std::vector<Event>&)>& aOnEvents);

} // namespace ragwortdeck
