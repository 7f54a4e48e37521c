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
    const auto* text = mark.value().mLeaving ? "leaving" : "joining";
    marks.append(QJsonObject{
      { "host", QString::fromStdString(mark.value().mHost) },
      { "mark", text },
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
  TableEditor editor(aContext.mScheduler,
                     aContext.mStore,
                     aContext.mRandom.Split(),
                     aContext.mAuthor);
  return Report(
    aContext, aContext.Await<EditOutcome>([&](TableEditor::Done aDone) {
      editor.MarkHost(aArguments.mWords[0], aMark, std::move(aDone));
    }));
}

CtlCommand
MarkCommand(const char* aName,
            const char* aHelp,
            std::optional<std::string> aMark)
{
  return { "hosts",
           aName,
           "HOST",
           aHelp,
           1,
           1,
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
    MarkCommand("join", "admit a host that is not yet listed", "joining"),
    MarkCommand("leave", "give a host no new work", "leaving"),
    MarkCommand("clear", "remove the mark of a host", std::nullopt),
  };
}

} // namespace ragwortdeck
