#include "Core/Program.h"
#include "StandIns/HostListService.h"
#include "StandIns/StandInProgram.h"

#include <QFile>

/// Host list for tests; settings: "listen", "hosts_file" (the first list),
/// "lag_ms".
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  using std::chrono::milliseconds;
  ProgramSpec spec;
  spec.mName = "ragwort-standin-hostlist";
  spec.mDescription = "Stand-in of the host list (Prometheus HTTP SD)";
  spec.mLoad = [&](SettingsSection& aSettings) -> ProgramSpec::Run {
    const auto listen = aSettings.RequiredEndpoint("listen");
    const auto lag = aSettings.Milliseconds(
      "lag_ms", milliseconds(0), milliseconds(0), milliseconds(600'000));
    QByteArray list = "[]";
    if (aSettings.Has("hosts_file")) {
      QFile file(
        QString::fromStdString(aSettings.RequiredString("hosts_file")));
      if (file.open(QIODevice::ReadOnly)) {
        list = file.readAll();
      } else {
        aSettings.Reject("hosts_file", "expected a readable file");
      }
    }
    return [listen, lag, list, &argc, argv] {
      return RunStandIn(argc, argv, listen, [&](Scheduler& aScheduler) {
        auto service = std::make_unique<HostListService>(aScheduler);
        service->SetList(list);
        service->mLag = lag;
        return service;
      });
    };
  };
  return RunProgram(argc, argv, spec);
}
