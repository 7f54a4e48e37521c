#include "Events/TimelineRenderer.h"

#include <QCollator>
#include <QDateTime>
#include <algorithm>
#include <cstdio>
#include <map>

namespace ragwortdeck {

namespace {

constexpr int kLaneWidth = 22;
// Gap between two events from which the page draws a line between their rows.
constexpr Duration kShownGap = std::chrono::seconds(1);

constexpr const char* kStyle = R"(
body{font:13px sans-serif;margin:0;color:#222}
h1{font-size:16px;margin:8px}
p{margin:8px}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#fff;vertical-align:bottom;text-align:left;
  z-index:1;border-bottom:1px solid #888;padding:2px 8px}
td{padding:1px 8px;white-space:nowrap}
td.t,td.d{font-family:monospace}
td.d{text-align:right;color:#777}
td.l{padding:0}
td.l div{position:relative;height:18px;background:repeating-linear-gradient(
  90deg,#f4f4f4 0 11px,#ccc 11px 12px,#f4f4f4 12px 22px)}
td.l i{position:absolute;top:3px;width:12px;height:12px;border-radius:6px}
th.l{padding:0}
th.l div{position:relative;height:150px}
th.l span{position:absolute;bottom:2px;width:22px;writing-mode:vertical-rl;
  transform:rotate(180deg);font-weight:normal;overflow:hidden;max-height:148px}
tr.g td{border-top:2px solid #bbb}
tr.m{background:#fff3b0}
.c0{background:#4a6fa5}.c1{background:#c0392b}.c2{background:#2e8b57}
.c3{background:#b8860b}.c4{background:#7d5ba6}
)";

constexpr const char* kScript = R"(
document.querySelector('tbody').addEventListener('click',function(e){
  var row=e.target.closest('tr'),id=row&&row.dataset.r;
  document.querySelectorAll('tbody tr').forEach(function(r){
    r.classList.toggle('m',!!id&&r.dataset.r===id)})});
)";

/// Colour class: 1 for failures, 2 for progress of requests, 3 for actions, 4
/// for table and leases, else 0.
int
ColourOf(EventType aType)
{
  switch (aType) {
    case EventType::kRequestRefused:
    case EventType::kStreamStalled:
    case EventType::kRequestCancelled:
    case EventType::kLeaseLost:
    case EventType::kStoreUnavailable:
      return 1;
    case EventType::kRequestDispatched:
    case EventType::kFirstToken:
    case EventType::kStreamResumed:
    case EventType::kRequestFinished:
      return 2;
    case EventType::kActionIntent:
    case EventType::kActionOutcome:
    case EventType::kOrderSent:
      return 3;
    case EventType::kTableApplied:
    case EventType::kLeaseAcquired:
    case EventType::kCreditsGranted:
      return 4;
    default:
      return 0;
  }
}

std::string
Escaped(const std::string& aText)
{
  return QString::fromStdString(aText).toHtmlEscaped().toStdString();
}

std::string
LaneOf(const Event& aEvent)
{
  return aEvent.mHost.Value() + "/" + aEvent.mProcess;
}

/// Lanes in the order of their names, with numbers in them as numbers, so that
/// entry-2 comes before entry-10.
std::map<std::string, int>
LanesOf(const std::vector<Event>& aEvents)
{
  std::map<std::string, int> lanes;
  for (const auto& event : aEvents) {
    lanes[LaneOf(event)] = 0;
  }
  std::vector<QString> names;
  names.reserve(lanes.size());
  for (const auto& [name, lane] : lanes) {
    names.push_back(QString::fromStdString(name));
  }
  QCollator collator{ QLocale{ QLocale::English } };
  collator.setNumericMode(true);
  std::sort(names.begin(), names.end(), collator);
  for (std::size_t n = 0; n < names.size(); ++n) {
    lanes[names[n].toStdString()] = int(n);
  }
  return lanes;
}

std::string
Header(const std::map<std::string, int>& aLanes)
{
  const auto width =
    std::to_string(static_cast<int>(aLanes.size()) * kLaneWidth);
  std::string html = "<thead><tr><th>time (UTC)</th><th>after</th>"
                     "<th class=l><div style=\"width:" +
                     width + "px\">";
  for (const auto& [name, lane] : aLanes) {
    html += "<span style=\"left:" + std::to_string(lane * kLaneWidth) +
            "px\">" + Escaped(name) + "</span>";
  }
  return html + "</div></th><th>process</th><th>event</th></tr></thead>\n";
}

std::string
GapText(Duration aGap)
{
  char text[32];
  std::snprintf(
    text, sizeof text, "+%.3f ms", static_cast<double>(aGap.count()) / 1000.0);
  return text;
}

std::string
Row(const Event& aEvent, const Event* aPrevious, int aLane)
{
  const auto gap = aPrevious != nullptr
                     ? aEvent.mTime.Wall() - aPrevious->mTime.Wall()
                     : Duration::zero();
  std::string html = gap >= kShownGap ? "<tr class=g" : "<tr";
  if (!aEvent.mRequest.IsEmpty()) {
    html += " data-r=\"" + Escaped(aEvent.mRequest.Value()) + "\"";
  }
  const auto description = Escaped(Describe(aEvent));
  return html + "><td class=t>" + ToText(aEvent.mTime.Wall()) +
         "</td><td class=d>" + GapText(gap) +
         "</td><td class=l><div><i class=c" +
         std::to_string(ColourOf(aEvent.mType)) +
         " style=\"left:" + std::to_string(aLane * kLaneWidth + 5) +
         "px\" title=\"" + Escaped(LaneOf(aEvent)) + " " + description +
         "\"></i></div></td><td>" + Escaped(LaneOf(aEvent)) + "</td><td>" +
         description + "</td></tr>\n";
}

} // namespace

std::string
ToText(WallTime aTime)
{
  const auto micros = aTime.time_since_epoch().count();
  const auto seconds =
    QDateTime::fromSecsSinceEpoch(micros / 1'000'000, Qt::UTC);
  char fraction[16];
  std::snprintf(
    fraction, sizeof fraction, ".%06dZ", static_cast<int>(micros % 1'000'000));
  return seconds.toString("yyyy-MM-ddTHH:mm:ss").toStdString() + fraction;
}

std::string
Describe(const Event& aEvent)
{
  std::string text = ToText(aEvent.mType);
  const auto add = [&text](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      text += std::string(" ") + aName + "=" + aValue;
    }
  };
  const auto number = [](auto aNumber) {
    return aNumber == 0 ? std::string() : std::to_string(aNumber);
  };
  add("request", aEvent.mRequest.Value());
  add("target", aEvent.mTarget.Value());
  add("attempt", number(aEvent.mAttempt));
  add("table", number(aEvent.mTableVersion));
  add("lease", number(aEvent.mLease));
  add("verdict", aEvent.mVerdict);
  add("detail", aEvent.mDetail);
  return text;
}

std::string
TimelineRenderer::Text(const std::vector<Event>& aEvents)
{
  std::string text;
  for (const auto& event : aEvents) {
    text += ToText(event.mTime.Wall()) + "  " + LaneOf(event) + "  " +
            Describe(event) + "\n";
  }
  return text;
}

std::string
TimelineRenderer::JsonLines(const std::vector<Event>& aEvents)
{
  std::string text;
  for (const auto& event : aEvents) {
    text += ToJson(event) + "\n";
  }
  return text;
}

std::string
TimelineRenderer::Html(const std::vector<Event>& aEvents)
{
  const auto skipped =
    aEvents.size() > kMaxHtmlEvents ? aEvents.size() - kMaxHtmlEvents : 0;
  const auto lanes = LanesOf(aEvents);
  std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head>"
                     "<meta charset=\"utf-8\"><title>Time line</title><style>";
  html += kStyle;
  html += "</style></head><body><h1>Time line</h1><p>" +
          std::to_string(aEvents.size()) + " events of " +
          std::to_string(lanes.size()) + " processes.";
  if (skipped > 0) {
    html += " The oldest " + std::to_string(skipped) +
            " are not shown; narrow the time window.";
  }
  html += " Click a row to mark its request.</p><table>" + Header(lanes) +
          "<tbody>\n";
  for (auto n = skipped; n < aEvents.size(); ++n) {
    html += Row(aEvents[n],
                n > skipped ? &aEvents[n - 1] : nullptr,
                lanes.at(LaneOf(aEvents[n])));
  }
  return html + "</tbody></table><script>" + kScript +
         "</script></body></html>\n";
}

} // namespace ragwortdeck
