#include "Control/ControlProcess.h"
#include "Core/Log.h"
#include "Core/Program.h"
#include "Core/QtScheduler.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <csignal>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwortdeck {

namespace {

/// \brief Delivers SIGTERM and SIGINT to the event loop.
class StopSignals
{
public:
  explicit StopSignals(const std::function<void()>& aOnStop)
    : mFile(Open())
    , mNotifier(mFile, QSocketNotifier::Read)
  {
    QObject::connect(
      &mNotifier, &QSocketNotifier::activated, &mNotifier, [this, aOnStop] {
        signalfd_siginfo info;
        while (read(mFile, &info, sizeof(info)) == sizeof(info)) {
          aOnStop();
        }
      });
  }
  ~StopSignals() { close(mFile); }
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

  /// To be called before any thread exists: a thread of a library that does
  /// not block the signals would end the process.
  static sigset_t Block()
  {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
  }

private:
  static int Open()
  {
    const auto signals = Block();
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  }

  int mFile;
  QSocketNotifier mNotifier;
};

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
