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
  const QHostAddress address(QString::fromStdString(aListen.mAddress));
  const auto port = server->listen(address, aListen.mPort);
  if (port == 0) {
    kLog.Error("cannot listen on " + ToText(aListen));
    return kExitAddressInUse;
  }
  kLog.Info("listening on " + ToText(Endpoint{ aListen.mAddress, port }));
  return QCoreApplication::exec();
}

} // namespace ragwortdeck
