#pragma once

#include <functional>

namespace ragwortdeck {

/// Runs the Qt event loop of this thread until aDone. Sockets need real time,
/// but no verdict depends on how much as long as timeouts use a
/// VirtualScheduler, which stands still meanwhile. Fails the test after about
/// a minute without aDone.
void
RunEventLoopUntil(const std::function<bool()>& aDone);

} // namespace ragwortdeck
