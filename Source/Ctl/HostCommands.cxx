#include "Controllers/TableEditor.h"
#include "Ctl/CtlCommands.h"
#include "Ctl/CtlOutcome.h"

#include <QJsonArray>
#include <ostream>

namespace ragwortdeck {

namespace {

int
List(CtlContext& aContext, const CtlArguments&)
{
  const auto reply = aContext.Await<KeyValueResult<KeyRangeReply>>(
    [&](KeyValueCallback<KeyRangeReply> aDone) {
      aContext.mStore.Range(TableKeys::kHostPrefix, true, std::move(aDone));
    });
  if (!reply) {
    return Fail(aContext, kExitUnavailable, reply.error().mMessage);
  }
  QJsonArray marks;
  for (const auto& key : reply.value().mKeys) {
    const auto mark = HostMarkFromKey(key);
    if (!mark) {
      return Fail(aContext, kExitFailure, mark.error().mMessage);
    }
    const auto text = ToText(mark.value());
    marks.append(QJsonObject{
      { "host", QString::fromStdString(mark.value().mHost) },
      { "mark", QString::fromStdString(text) },
      { "author", QString::fromStdString(mark.value().mAuthor) } });
    if (!aContext.mJson) {
      aContext.mOut << mark.value().mHost << "  " << text << "  by "
                    << mark.value().mAuthor << "\n";
    }
  }
  if (aContext.mJson) {
    PrintJson(aContext, { { "hosts", marks } });
  }
  return kExitSuccess;
}

int
Mark(CtlContext& aContext,
     const CtlArguments& aArguments,
     const std::optional<std::string>& aMark)
{
  std::map<std::string, std::string> details;
  for (std::size_t n = 1; n < aArguments.mWords.size(); ++n) {
    const auto& word = aArguments.mWords[n];
    const auto equals = word.find('=');
    if (equals == std::string::npos) {
      return Fail(
        aContext, kExitUsage, "expected NAME=VALUE, found '" + word + "'");
    }
    details[word.substr(0, equals)] = word.substr(equals + 1);
  }
  TableEditor editor(aContext.mScheduler,
                     aContext.mStore,
                     aContext.mRandom.Split(),
                     aContext.mAuthor);
  return Report(
    aContext, aContext.Await<EditOutcome>([&](TableEditor::Done aDone) {
      editor.MarkHost(aArguments.mWords[0], aMark, std::move(aDone), details);
    }));
}

CtlCommand
MarkCommand(const char* aName,
            const char* aUsage,
            std::size_t aMaxWords,
            const char* aHelp,
            std::optional<std::string> aMark)
{
  return { "hosts",
           aName,
           aUsage,
           aHelp,
           1,
           aMaxWords,
           true,
           [aMark = std::move(aMark)](CtlContext& aContext,
                                      const CtlArguments& aArguments) {
             return Mark(aContext, aArguments, aMark);
           } };
}

} // namespace

std::vector<CtlCommand>
HostCommands()
{
  return {
    { "hosts", "list", "", "show the marked hosts", 0, 0, true, List },
    MarkCommand(
      "join",
      "HOST [role=|address=|failure_domain=|models=|checks_fencing=]...",
      6,
      "admit a host that is not yet listed",
      "joining"),
    MarkCommand("leave", "HOST", 1, "give a host no new work", "leaving"),
    MarkCommand("clear", "HOST", 1, "remove the mark of a host", std::nullopt),
  };
}

} // namespace ragwortdeck
