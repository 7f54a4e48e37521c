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

} // namespace ragwortdeck
