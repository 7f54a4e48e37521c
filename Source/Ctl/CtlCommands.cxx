#include "Ctl/CtlCommands.h"

#include <QJsonDocument>
#include <algorithm>
#include <ostream>

namespace ragwortdeck {

namespace {

std::string
NameOf(const CtlCommand& aCommand)
{
  return aCommand.mName.empty() ? aCommand.mGroup
                                : aCommand.mGroup + " " + aCommand.mName;
}

} // namespace

std::vector<CtlCommand>
AllCtlCommands()
{
  std::vector<CtlCommand> all;
  for (auto group : { TableCommands(),
                      HostCommands(),
                      TeamKeyCommands(),
                      TimelineCommands(),
                      PeerCommands() }) {
    std::move(group.begin(), group.end(), std::back_inserter(all));
  }
  return all;
}

const CtlCommand*
FindCtlCommand(const std::vector<CtlCommand>& aCommands,
               CtlArguments& aArguments,
               std::ostream& aErr)
{
  auto& words = aArguments.mWords;
  for (const auto& command : aCommands) {
    const std::size_t own = command.mName.empty() ? 1 : 2;
    if (words.size() < own || words[0] != command.mGroup ||
        (own == 2 && words[1] != command.mName)) {
      continue;
    }
    const auto rest = words.size() - own;
    if (rest < command.mMinWords || rest > command.mMaxWords) {
      aErr << "usage: ragwort-ctl " << NameOf(command) << " " << command.mUsage
           << "\n";
      return nullptr;
    }
    words.erase(words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(own));
    return &command;
  }
  aErr << "commands:\n";
  for (const auto& command : aCommands) {
    aErr << "  " << NameOf(command) << " " << command.mUsage << "\n      "
         << command.mHelp << "\n";
  }
  return nullptr;
}

void
PrintJson(CtlContext& aContext, const QJsonObject& aObject)
{
  aContext.mOut
    << QJsonDocument(aObject).toJson(QJsonDocument::Compact).toStdString()
    << "\n";
}

int
Fail(CtlContext& aContext, int aCode, const std::string& aMessage)
{
  aContext.mErr << "ragwort-ctl: " << aMessage << "\n";
  return aCode;
}

} // namespace ragwortdeck
