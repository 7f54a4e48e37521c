#include "Control/ControlProcess.h"
#include "Core/Log.h"
#include "Core/Program.h"
#include "Core/QtScheduler.h"
#include "Core/StopSignals.h"

#include <QCoreApplication>
#include <iostream>

namespace ragwortdeck {

namespace {

int
Run(int& argc, char** argv, const ControlSettings& aSettings)
{
  QCoreApplication app(argc, argv);
  QtScheduler scheduler;
  auto process = ControlProcess::Create(scheduler, aSettings);
  if (!process) {
    std::cerr << "ragwort-control: " << process.error().mMessage << "\n";
    return process.error().mCode == ErrorCode::kAddressInUse ? kExitAddressInUse
                                                             : kExitFailure;
  }
  StopSignals signals(
    [&] { process.value()->Stop([] { QCoreApplication::quit(); }); });
  return QCoreApplication::exec() == 0 ? kExitSuccess : kExitFailure;
}

} // namespace

} // namespace ragwortdeck

/// Membership, table, credits, leases and orders of one entry host.
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  StopSignals::Block();
  ProgramSpec spec;
  spec.mName = "ragwort-control";
  spec.mDescription = "Control process of an entry host";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadControlSettings(aRoot);
    return [settings, &argc, argv] { return Run(argc, argv, settings); };
  };
  return RunProgram(argc, argv, spec);
}
