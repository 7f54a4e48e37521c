#include <QCoreApplication>
#include <QFile>
#include <QNetworkAccessManager>
#include <cstdio>

/// Prints the resident memory of a process with only an event loop and a
/// network manager, which is the part of the memory that Qt alone uses.
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
