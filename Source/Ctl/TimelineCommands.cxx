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
  if (aArguments.mInputs.empty()) {
    return Fail(aContext, kExitUsage, "expected --input FILE at least once");
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
  const auto events = merger.Merged();
  if (aContext.mJson || aArguments.mFormat == "json") {
    aContext.mOut << TimelineRenderer::JsonLines(events);
  } else if (aArguments.mFormat == "html") {
    aContext.mOut << TimelineRenderer::Html(events);
  } else {
    aContext.mOut << TimelineRenderer::Text(events);
  }
  return kExitSuccess;
}

} // namespace

std::vector<CtlCommand>
TimelineCommands()
{
  return { { "timeline",
             "",
             "--input FILE... [--request ID] [--host HOST] [--from-ms T] "
             "[--to-ms T] [--format text|json|html]",
             "merge events from JSON-lines files",
             0,
             0,
             false,
             Timeline } };
}

} // namespace ragwortdeck
