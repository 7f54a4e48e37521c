#pragma once

#include "Core/Clock.h"
#include "Filters/RouterSettings.h"
#include "Policy/Dispatcher.h"

#include <memory>
#include <string>
#include <vector>

namespace ragwortdeck {

/// Values of the "dispatcher" setting; the first is the default.
std::vector<std::string>
DispatcherNames();

/// The dispatcher that the settings name. This is the only place of the
/// request path that chooses one. aClock must outlive it.
std::unique_ptr<Dispatcher>
MakeRouterDispatcher(const RouterSettings& aSettings, const Clock& aClock);

} // namespace ragwortdeck
