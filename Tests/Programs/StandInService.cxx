#include "Core/Program.h"
#include "StandIns/ServiceServer.h"
#include "StandIns/StandInProgram.h"

#include <QCoreApplication>

using namespace ragwortdeck;

namespace {

int
Serve(int& argc,
      char** argv,
      const Endpoint& aListen,
      const ServiceOptions& aOptions)
{
  QCoreApplication app(argc, argv);
  ServiceServer server(aOptions);
  return ListenAndRun(aListen, [&server](const Endpoint& aEndpoint) {
    return server.Listen(aEndpoint);
  });
}

} // namespace

int
main(int argc, char** argv)
{
  ProgramSpec spec;
  spec.mName = "ragwort-standin-service";
  spec.mDescription = "Stand-in for an order and stock service, for tests";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto listen = aRoot.RequiredEndpoint("listen");
    ServiceOptions options;
    options.mDelay = Duration(aRoot.Integer("delay_us", 2'000, 0, 600'000'000));
    options.mKnowsKeys = aRoot.Boolean("knows_keys", true);
    return [&argc, argv, listen, options] {
      return Serve(argc, argv, listen, options);
    };
  };
  return RunProgram(argc, argv, spec);
}
