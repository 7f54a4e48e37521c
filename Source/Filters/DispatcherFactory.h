#pragma once

#include "Policy/Dispatcher.h"

#include <memory>
#include <string>

namespace ragwortdeck {

/// The dispatcher named by the "dispatcher" setting; empty means the default.
/// Returns nullptr for an unknown name. This is the only place that chooses a
/// dispatcher.
std::unique_ptr<Dispatcher>
MakeDispatcher(const std::string& aName);

/// Names that MakeDispatcher() takes.
std::string
DispatcherNames();

} // namespace ragwortdeck
