#include "Ctl/CtlCommands.h"
#include "Events/EventMerger.h"
#include "Events/TimelineRenderer.h"

#include <QFile>
#include <ostream>

namespace ragwortdeck {

namespace {

// Longest accepted input file; a ring of 4,096 events is about 1 MB of JSON.
constexpr qint64 kMaxInputBytes = 512 << 20;

WallTime
FromMillis(std::int64_t aMillis)
{
  return WallTime(std::chrono::milliseconds(aMillis));
}

EventFilter
FilterOf(const CtlArguments& aArguments)
{
  EventFilter filter;
  filter.mRequest = RequestId(aArguments.mRequest);
  filter.mHost = HostId(aArguments.mHost);
  if (aArguments.mFromMs != 0) {
    filter.mFrom = FromMillis(aArguments.mFromMs);
  }
  if (aArguments.mToMs != 0) {
    filter.mTo = FromMillis(aArguments.mToMs);
  }
  return filter;
}

int
Timeline(CtlContext& aContext, const CtlArguments& aArguments)
{
  if (aArguments.mInputs.empty() && aArguments.mWords.empty()) {
    return Fail(aContext,
                kExitUsage,
                "expected an address or --input FILE at least once");
  }
  EventMerger merger(FilterOf(aArguments));
  for (const auto& name : aArguments.mInputs) {
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly) || file.size() > kMaxInputBytes) {
      return Fail(aContext, kExitFailure, "cannot read " + name);
    }
    const auto added = merger.AddJsonLines(file.readAll().toStdString(), name);
    if (!added) {
      return Fail(aContext, kExitFailure, added.error().mMessage);
    }
  }
  // Hosts that do not answer leave a gap, and an exit code that says so.
  const int code = FetchEvents(
    aContext, aArguments, [&merger](const std::vector<Event>& aEvents) {
      merger.Add(aEvents);
    });
  const auto events = merger.Merged();
  if (aContext.mJson || aArguments.mFormat == "json") {
    aContext.mOut << TimelineRenderer::JsonLines(events);
  } else if (aArguments.mFormat == "html") {
    aContext.mOut << TimelineRenderer::Html(events);
  } else {
    aContext.mOut << TimelineRenderer::Text(events);
  }
  return code;
}

} // namespace

std::vector<CtlCommand>
TimelineCommands()
{
  constexpr std::size_t kMaxPeers = 2000;
  return { { "timeline",
             "",
             "[ADDRESS...] [--input FILE]... [--request ID] [--host HOST] "
             "[--from-ms T] "
             "[--to-ms T] [--format text|json|html]",
             "merge the events of live hosts and of JSON-lines files",
             0,
             kMaxPeers,
             false,
             Timeline } };
}

} // namespace ragwortdeck
