#pragma once

#include "Core/Scheduler.h"
#include "Core/Settings.h"

#include <QAbstractHttpServer>
#include <functional>
#include <memory>

namespace ragwortdeck {

/// Runs the event loop with one stand-in server that listens on aListen.
/// Returns kExitAddressInUse when it cannot listen there.
int
RunStandIn(
  int& argc,
  char** argv,
  const Endpoint& aListen,
  const std::function<std::unique_ptr<QAbstractHttpServer>(Scheduler&)>&
    aMakeServer);

/// Runs the event loop of the application after aListenOn has returned the port
/// at which a stand-in listens; kExitAddressInUse when it returned 0.
int
ListenAndRun(const Endpoint& aListen,
             const std::function<std::uint16_t(const Endpoint&)>& aListenOn);

} // namespace ragwortdeck
