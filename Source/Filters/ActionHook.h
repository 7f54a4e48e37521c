#pragma once

#include "Controllers/ActionCall.h"

#include <functional>

namespace ragwortdeck {

using OnActionResult = std::function<void(const ActionResult&)>;

/// Runs an action at most once and reports its result exactly once, from any
/// thread. It is called on the threads of the router. Without a hook the
/// router refuses at-most-once calls as not run.
using ActionHook = std::function<void(const ActionCall&, OnActionResult)>;

} // namespace ragwortdeck
