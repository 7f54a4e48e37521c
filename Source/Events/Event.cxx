#include "Events/Event.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <array>

namespace ragwortdeck {

namespace {

// In the order of EventType.
constexpr std::array<const char*, 22> kNames = {
  "process-started",  "process-stopping",  "request-received",
  "request-refused",  "request-queued",    "request-dispatched",
  "first-token",      "stream-resumed",    "stream-stalled",
  "request-finished", "request-cancelled", "action-intent",
  "action-outcome",   "table-applied",     "lease-acquired",
  "lease-lost",       "order-sent",        "member-changed",
  "target-changed",   "credits-granted",   "store-unavailable",
  "store-available",
};
static_assert(kNames.size() ==
              static_cast<std::size_t>(EventType::kStoreAvailable) + 1);

// Longest accepted text member, in characters.
constexpr qsizetype kMaxText = 256;

/// \brief Reads members; remembers the first wrong one.
class EventReader
{
public:
  explicit EventReader(QJsonObject aObject)
    : mObject(std::move(aObject))
  {
  }

  std::string Text(const char* aName)
  {
    const auto value = mObject.take(QLatin1String(aName));
    if (!value.isUndefined() &&
        (!value.isString() || value.toString().size() > kMaxText)) {
      Reject(aName, "a short string");
    }
    return value.toString().toStdString();
  }

  // 64-bit numbers travel as strings, because JSON readers in other languages
  // round numbers above 2^53.
  std::uint64_t Number(const char* aName)
  {
    const auto value = mObject.take(QLatin1String(aName));
    if (value.isUndefined()) {
      return 0;
    }
    bool valid = false;
    const auto number = value.toString().toULongLong(&valid);
    if (!valid) {
      Reject(aName, "a decimal number in a string");
    }
    return number;
  }

  void RejectRest()
  {
    if (!mObject.isEmpty()) {
      Reject(mObject.begin().key().toStdString(), "no such member");
    }
  }
  void Reject(const std::string& aName, const std::string& aExpected)
  {
    if (mProblem.empty()) {
      mProblem = "member " + aName + ": expected " + aExpected;
    }
  }
  const std::string& Problem() const { return mProblem; }

private:
  QJsonObject mObject;
  std::string mProblem;
};

void
Insert(QJsonObject& aObject, const char* aName, const std::string& aText)
{
  if (!aText.empty()) {
    aObject.insert(QLatin1String(aName), QString::fromStdString(aText));
  }
}

void
Insert(QJsonObject& aObject, const char* aName, std::uint64_t aNumber)
{
  if (aNumber != 0) {
    aObject.insert(QLatin1String(aName), QString::number(aNumber));
  }
}

} // namespace

const char*
ToText(EventType aType)
{
  const auto index = static_cast<std::size_t>(aType);
  return index < kNames.size() ? kNames.at(index) : "unknown";
}

std::optional<EventType>
EventTypeFromText(const std::string& aText)
{
  for (std::size_t n = 0; n < kNames.size(); ++n) {
    if (aText == kNames.at(n)) {
      return static_cast<EventType>(n);
    }
  }
  return std::nullopt;
}

std::string
ToJson(const Event& aEvent)
{
  QJsonObject object;
  Insert(object, "time", aEvent.mTime.mPacked);
  Insert(object, "type", std::string(ToText(aEvent.mType)));
  Insert(object, "host", aEvent.mHost.Value());
  Insert(object, "process", aEvent.mProcess);
  Insert(object, "request", aEvent.mRequest.Value());
  Insert(object, "target", aEvent.mTarget.Value());
  Insert(object, "attempt", std::uint64_t(aEvent.mAttempt));
  Insert(object, "table_version", aEvent.mTableVersion);
  Insert(object, "lease", static_cast<std::uint64_t>(aEvent.mLease));
  Insert(object, "verdict", aEvent.mVerdict);
  Insert(object, "detail", aEvent.mDetail);
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

Result<Event>
EventFromJson(const std::string& aLine)
{
  const auto document =
    QJsonDocument::fromJson(QByteArray::fromStdString(aLine));
  if (!document.isObject()) {
    return Failure(ErrorCode::kCorrupt, "expected a JSON object");
  }
  EventReader reader(document.object());
  Event event;
  event.mTime = { reader.Number("time") };
  const auto type = EventTypeFromText(reader.Text("type"));
  event.mType = type.value_or(EventType::kProcessStarted);
  event.mHost = HostId(reader.Text("host"));
  event.mProcess = reader.Text("process");
  event.mRequest = RequestId(reader.Text("request"));
  event.mTarget = TargetId(reader.Text("target"));
  const auto attempt = reader.Number("attempt");
  event.mAttempt = static_cast<std::uint32_t>(attempt);
  event.mTableVersion = reader.Number("table_version");
  event.mLease = static_cast<std::int64_t>(reader.Number("lease"));
  event.mVerdict = reader.Text("verdict");
  event.mDetail = reader.Text("detail");
  reader.RejectRest();
  if (!type) {
    reader.Reject("type", "a known event type");
  }
  if (event.mTime.mPacked == 0 || event.mHost.IsEmpty()) {
    reader.Reject("time", "time and host in every event");
  }
  if (attempt > std::numeric_limits<std::uint32_t>::max()) {
    reader.Reject("attempt", "a 32-bit number");
  }
  if (!reader.Problem().empty()) {
    return Failure(ErrorCode::kCorrupt, reader.Problem());
  }
  return event;
}

} // namespace ragwortdeck
