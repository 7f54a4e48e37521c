#include "Controllers/TableSchema.h"
#include "Ctl/CtlCommands.h"

#include <ostream>

namespace ragwortdeck {

namespace {

int
TeamKey(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto& team = aArguments.mWords[0];
  const auto name = TableSchema::CheckRowName(Sheet::kTeams, team);
  if (!name) {
    return Fail(aContext, kExitUsage, ToText(name.error()));
  }
  if (!aContext.mKeys) {
    return Fail(aContext,
                kExitSettings,
                "team-key needs keys in the settings file; see --help");
  }
  const auto token = aContext.mKeys->IssueTeamToken(team);
  if (aContext.mJson) {
    PrintJson(aContext,
              { { "team", QString::fromStdString(team) },
                { "token", QString::fromStdString(token) } });
  } else {
    aContext.mOut << token << "\n";
  }
  return kExitSuccess;
}

} // namespace

std::vector<CtlCommand>
TeamKeyCommands()
{
  return { { "team-key",
             "",
             "TEAM",
             "print the bearer token of a team",
             1,
             1,
             false,
             TeamKey } };
}

} // namespace ragwortdeck
