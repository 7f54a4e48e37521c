#include "Core/Program.h"
#include "StandIns/KeyValueGateway.h"
#include "StandIns/StandInProgram.h"

/// Key-value service for tests; settings: "listen".
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  ProgramSpec spec;
  spec.mName = "ragwort-standin-kv";
  spec.mDescription = "Stand-in of the key-value service (etcd v3 JSON)";
  spec.mLoad = [&](SettingsSection& aSettings) -> ProgramSpec::Run {
    const auto listen = aSettings.RequiredEndpoint("listen");
    return [listen, &argc, argv] {
      return RunStandIn(argc, argv, listen, [](Scheduler& aScheduler) {
        return std::make_unique<KeyValueGateway>(aScheduler);
      });
    };
  };
  return RunProgram(argc, argv, spec);
}
