#pragma once

#include "Core/Log.h"

#include <cstdint>
#include <functional>

namespace ragwortdeck {

/// Runs aTask, the handling of one message, timer or reply. An exception ends
/// only aTask, with a log line that names aWhere; left alone it would pass
/// through Qt or libcurl and end the process. Returns whether aTask completed.
bool
RunGuarded(const Log& aLog,
           const char* aWhere,
           const std::function<void()>& aTask);

/// Number of exceptions that RunGuarded() caught in this process.
std::uint64_t
CaughtErrors();

} // namespace ragwortdeck
