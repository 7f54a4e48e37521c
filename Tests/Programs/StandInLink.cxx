#include "Core/Log.h"
#include "Core/Program.h"
#include "StandIns/LinkServer.h"

#include <QCoreApplication>

using namespace ragwortdeck;

namespace {

const Log kLog("standin-link");

/// \brief One entry of the settings' "links" list.
struct LinkSetting
{
  std::string mName;
  Endpoint mListen;
  Endpoint mTarget;
};

int
Serve(int& argc,
      char** argv,
      const Endpoint& aControl,
      const std::vector<LinkSetting>& aLinks)
{
  QCoreApplication app(argc, argv);
  LinkServer server(aControl);
  for (const auto& link : aLinks) {
    if (!server.Add(link.mName, link.mListen, link.mTarget)) {
      kLog.Error(ToText(link.mListen) + ": address in use or not available");
      return kExitAddressInUse;
    }
  }
  if (server.Listen() == 0) {
    kLog.Error(ToText(aControl) + ": address in use or not available");
    return kExitAddressInUse;
  }
  kLog.Info("control on " + ToText(aControl));
  return QCoreApplication::exec();
}

} // namespace

int
main(int argc, char** argv)
{
  ProgramSpec spec;
  spec.mName = "ragwort-standin-link";
  spec.mDescription = "TCP links with faults between processes, for tests";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto control = aRoot.RequiredEndpoint("control");
    std::vector<LinkSetting> links;
    for (auto& section : aRoot.Sections("links")) {
      links.push_back({ section.RequiredString("name"),
                        section.RequiredEndpoint("listen"),
                        section.RequiredEndpoint("target") });
    }
    return [&argc, argv, control, links] {
      return Serve(argc, argv, control, links);
    };
  };
  return RunProgram(argc, argv, spec);
}
