#include "StandIns/StandInProgram.h"

#include "Core/Log.h"
#include "Core/Program.h"
#include "Core/QtScheduler.h"

#include <QCoreApplication>
#include <QHostAddress>

namespace ragwortdeck {

namespace {

const Log kLog("standin");

} // namespace

int
RunStandIn(
  int& argc,
  char** argv,
  const Endpoint& aListen,
  const std::function<std::unique_ptr<QAbstractHttpServer>(Scheduler&)>&
    aMakeServer)
{
  QCoreApplication app(argc, argv);
  QtScheduler scheduler;
  const auto server = aMakeServer(scheduler);
  return ListenAndRun(aListen, [&server](const Endpoint& aEndpoint) {
    const QHostAddress address(QString::fromStdString(aEndpoint.mAddress));
    return server->listen(address, aEndpoint.mPort);
  });
}

int
ListenAndRun(const Endpoint& aListen,
             const std::function<std::uint16_t(const Endpoint&)>& aListenOn)
{
  const auto port = aListenOn(aListen);
  if (port == 0) {
    kLog.Error(ToText(aListen) + ": address in use or not available");
    return kExitAddressInUse;
  }
  kLog.Info("listening on " + ToText(Endpoint{ aListen.mAddress, port }));
  return QCoreApplication::exec();
}

} // namespace ragwortdeck
