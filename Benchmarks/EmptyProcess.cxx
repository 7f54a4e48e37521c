#include <QCoreApplication>
#include <QFile>
#include <QNetworkAccessManager>
#include <cstdio>

/// Prints the resident size of a process that has an event loop and a network
/// manager, and nothing else: what Qt alone takes of a process's memory.
int
main(int argc, char** argv)
{
  const QCoreApplication app(argc, argv);
  const QNetworkAccessManager network;
  QFile status("/proc/self/status");
  if (!status.open(QIODevice::ReadOnly)) {
    return 1;
  }
  for (const auto& line : status.readAll().split('\n')) {
    if (line.startsWith("VmRSS:")) {
      std::printf("%s\n", line.constData());
    }
  }
  return 0;
}
