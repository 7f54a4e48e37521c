#include "Support/History.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::array<std::pair<HistoryType, const char*>, 14> kTypeNames = { {
  { HistoryType::kRequestSent, "request_sent" },
  { HistoryType::kTokenDelivered, "token_delivered" },
  { HistoryType::kAnswerCompleted, "answer_completed" },
  { HistoryType::kAnswerFailed, "answer_failed" },
  { HistoryType::kRan, "ran" },
  { HistoryType::kVerdict, "verdict" },
  { HistoryType::kMarkedLeaving, "marked_leaving" },
  { HistoryType::kWorkAccepted, "work_accepted" },
  { HistoryType::kStopRequested, "stop_requested" },
  { HistoryType::kCutOff, "cut_off" },
  { HistoryType::kTableAccepted, "table_accepted" },
  { HistoryType::kTableInForce, "table_in_force" },
  { HistoryType::kHostUp, "host_up" },
  { HistoryType::kHostDown, "host_down" },
} };

std::optional<HistoryType>
TypeFromName(const std::string& aName)
{
  for (const auto& [type, name] : kTypeNames) {
    if (aName == name) {
      return type;
    }
  }
  return std::nullopt;
}

std::string
NameOf(HistoryType aType)
{
  for (const auto& [type, name] : kTypeNames) {
    if (aType == type) {
      return name;
    }
  }
  return "unknown";
}

Result<HistoryRecord>
ParseLine(std::string_view aLine, int aNumber)
{
  const auto at = "line " + std::to_string(aNumber) + ": ";
  QJsonParseError error;
  const auto document = QJsonDocument::fromJson(
    QByteArray(aLine.data(), qsizetype(aLine.size())), &error);
  if (!document.isObject()) {
    return Failure(
      ErrorCode::kCorrupt,
      at + "expected a JSON object: " + error.errorString().toStdString());
  }
  const auto object = document.object();
  const auto text = [&object](const char* aKey) {
    return object.value(QLatin1String(aKey)).toString().toStdString();
  };
  const auto type = TypeFromName(text("type"));
  if (!type || !object.value(QLatin1String("t_us")).isDouble()) {
    return Failure(ErrorCode::kCorrupt,
                   at + "expected \"t_us\" and a known \"type\", found type '" +
                     text("type") + "'");
  }
  HistoryRecord record;
  record.mTime = Duration(object.value(QLatin1String("t_us")).toInteger());
  record.mType = *type;
  record.mHost = text("host");
  record.mRequest = text("request");
  record.mGeneration = text("generation");
  record.mNumber = std::uint64_t(object.value(QLatin1String("n")).toInteger());
  record.mText = text("text");
  return record;
}

} // namespace

Result<History>
ParseHistory(std::string_view aText)
{
  History history;
  int number = 0;
  while (!aText.empty()) {
    ++number;
    const auto end = std::min(aText.find('\n'), aText.size());
    const auto line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.empty()) {
      continue;
    }
    auto record = ParseLine(line, number);
    if (!record) {
      return Failure(record.error());
    }
    history.push_back(std::move(record.value()));
  }
  std::stable_sort(history.begin(),
                   history.end(),
                   [](const HistoryRecord& aLeft, const HistoryRecord& aRight) {
                     return aLeft.mTime < aRight.mTime;
                   });
  return history;
}

std::string
ToJsonLine(const HistoryRecord& aRecord)
{
  const QJsonObject object{
    { "t_us", qint64(aRecord.mTime.count()) },
    { "type", QString::fromStdString(NameOf(aRecord.mType)) },
    { "host", QString::fromStdString(aRecord.mHost) },
    { "request", QString::fromStdString(aRecord.mRequest) },
    { "generation", QString::fromStdString(aRecord.mGeneration) },
    { "n", qint64(aRecord.mNumber) },
    { "text", QString::fromStdString(aRecord.mText) },
  };
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace ragwortdeck
