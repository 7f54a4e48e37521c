#pragma once

#include "Ctl/CtlContext.h"

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

} // namespace ragwortdeck
