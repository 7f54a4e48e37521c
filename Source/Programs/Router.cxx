#include "Filters/Router.h"

#include "Core/Log.h"
#include "Core/Program.h"
#include "Core/StopSignals.h"
#include "Filters/ActionGateway.h"
#include "Filters/ControlLink.h"
#include "Filters/DispatcherFactory.h"

#include <QCoreApplication>
#include <csignal>
#include <malloc.h>
#include <memory>
#include <optional>

using namespace ragwortdeck;

namespace {

const Log kLog("router");

int
ToExitCode(const Error& aError)
{
  return aError.mCode == ErrorCode::kAddressInUse ? kExitAddressInUse
                                                  : kExitFailure;
}

/// \brief Settings of the whole process.
struct ProcessSettings
{
  RouterSettings mRouter;
  /// Without it, calls that run at most once are refused.
  std::optional<KeyValueSettings> mKeyValue;
  /// Where ragwort-control listens; without it, the bootstrap view stays.
  std::optional<Endpoint> mControl;
};

ProcessSettings
ReadSettings(SettingsSection& aRoot)
{
  ProcessSettings settings;
  settings.mRouter = ReadRouterSettings(aRoot);
  if (aRoot.Has("key_value")) {
    settings.mKeyValue = KeyValueSettings::Read(aRoot.Section("key_value"));
  }
  if (aRoot.Has("control")) {
    settings.mControl = aRoot.RequiredEndpoint("control");
  }
  return settings;
}

std::unique_ptr<ActionGateway>
MakeActions(const ProcessSettings& aSettings,
            ServiceTransport::ReadView aReadView)
{
  if (!aSettings.mKeyValue) {
    return nullptr;
  }
  return std::make_unique<ActionGateway>(
    aSettings.mRouter, *aSettings.mKeyValue, std::move(aReadView));
}

int
Serve(int& argc, char** argv, const ProcessSettings& aSettings)
{
  // A caller or target that has gone shows as a write error.
  std::signal(SIGPIPE, SIG_IGN);
  QCoreApplication app(argc, argv);
  const RcuReaderThread reader;
  QtScheduler scheduler;
  Router* running = nullptr;
  const auto actions =
    MakeActions(aSettings, [&running] { return running->View(); });
  auto router =
    Router::Start(aSettings.mRouter,
                  MakeRouterDispatcher(aSettings.mRouter, scheduler),
                  actions ? actions->Hook() : ActionHook());
  if (!router) {
    kLog.Error(router.error().mMessage);
    return ToExitCode(router.error());
  }
  running = router.value().get();
  std::unique_ptr<ControlLink> link;
  if (aSettings.mControl) {
    link = std::make_unique<ControlLink>(
      scheduler, *running, aSettings.mRouter, *aSettings.mControl);
  }
  const StopSignals signals(
    [&] { router.value()->Shutdown([] { QCoreApplication::quit(); }); });
  const int code = QCoreApplication::exec();
  link.reset();
  router.value().reset();
  return code;
}

} // namespace

int
main(int argc, char** argv)
{
  StopSignals::Block();
  // What bodies took goes back to the system, from the arenas of all threads.
  constexpr int kTrimBytes = 128 * 1024;
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
  mallopt(M_MMAP_THRESHOLD, kTrimBytes);
  ProgramSpec spec;
  spec.mName = "ragwort-router";
  spec.mDescription = "Serves callers' requests on an entry host";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadSettings(aRoot);
    return [&argc, argv, settings] { return Serve(argc, argv, settings); };
  };
  return RunProgram(argc, argv, spec);
}
