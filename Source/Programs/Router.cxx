#include "Filters/Router.h"

#include "Core/Log.h"
#include "Core/Program.h"
#include "Filters/ActionGateway.h"
#include "Filters/DispatcherFactory.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <csignal>
#include <memory>
#include <optional>
#include <sys/signalfd.h>
#include <unistd.h>

using namespace ragwortdeck;

namespace {

const Log kLog("router");

/// Blocks SIGTERM and SIGINT in all threads and returns a descriptor that
/// reports them.
int
OpenSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

int
ToExitCode(const Error& aError)
{
  return aError.mCode == ErrorCode::kAddressInUse ? kExitAddressInUse
                                                  : kExitFailure;
}

int
Serve(int& argc,
      char** argv,
      const RouterSettings& aSettings,
      const std::optional<KeyValueSettings>& aKeyValue)
{
  // A caller or target that has gone shows as a write error.
  std::signal(SIGPIPE, SIG_IGN);
  const int signals = OpenSignals();
  QCoreApplication app(argc, argv);
  const RcuReaderThread reader;
  std::unique_ptr<ActionGateway> actions;
  if (aKeyValue) {
    actions = std::make_unique<ActionGateway>(
      aSettings.mHost, *aKeyValue, ActionSettings{});
  }
  auto router = Router::Start(aSettings,
                              MakeDispatcher(aSettings.mDispatcher),
                              actions ? actions->Hook() : ActionHook());
  if (!router) {
    kLog.Error(router.error().mMessage);
    return ToExitCode(router.error());
  }
  QSocketNotifier notifier(signals, QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, &app, [&] {
    signalfd_siginfo info{};
    while (read(signals, &info, sizeof(info)) == ssize_t(sizeof(info))) {
      router.value()->Shutdown([] { QCoreApplication::quit(); });
    }
  });
  const int code = QCoreApplication::exec();
  if (actions) {
    actions->DropRoutes();
  }
  router.value().reset();
  close(signals);
  return code;
}

} // namespace

int
main(int argc, char** argv)
{
  ProgramSpec spec;
  spec.mName = "ragwort-router";
  spec.mDescription = "Serves callers' requests on an entry host";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto settings = ReadRouterSettings(aRoot);
    if (!MakeDispatcher(settings.mDispatcher)) {
      aRoot.Reject("dispatcher", "expected one of " + DispatcherNames());
    }
    std::optional<KeyValueSettings> keyValue;
    if (aRoot.Has("key_value")) {
      keyValue = KeyValueSettings::Read(aRoot.Section("key_value"));
    }
    return [&argc, argv, settings, keyValue] {
      return Serve(argc, argv, settings, keyValue);
    };
  };
  return RunProgram(argc, argv, spec);
}
