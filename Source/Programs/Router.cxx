#include "Filters/Router.h"

#include "Core/Log.h"
#include "Core/Program.h"
#include "Filters/DispatcherFactory.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <csignal>
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
Serve(int& argc, char** argv, const RouterSettings& aSettings)
{
  // A caller or target that has gone shows as a write error.
  std::signal(SIGPIPE, SIG_IGN);
  const int signals = OpenSignals();
  QCoreApplication app(argc, argv);
  const RcuReaderThread reader;
  const QtScheduler clock;
  auto router =
    Router::Start(aSettings, MakeRouterDispatcher(aSettings, clock), nullptr);
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
    return [&argc, argv, settings] { return Serve(argc, argv, settings); };
  };
  return RunProgram(argc, argv, spec);
}
