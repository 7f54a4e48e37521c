#include "Core/StopSignals.h"

#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwortdeck {

StopSignals::StopSignals(const std::function<void()>& aOnStop)
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

StopSignals::~StopSignals()
{
  close(mFile);
}

sigset_t
StopSignals::Block()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int
StopSignals::Open()
{
  const auto signals = Block();
  return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace ragwortdeck
