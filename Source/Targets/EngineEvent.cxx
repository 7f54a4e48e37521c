#include "Targets/EngineEvent.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <charconv>
#include <optional>

namespace ragwortdeck {

namespace {

constexpr std::string_view kSequenceKey = "\"sequence_number\":";
/// The largest integer that a JSON number holds exactly, 2^53 - 1.
constexpr double kMaxSequence = 9007199254740991.0;

EngineEventKind
ToKind(std::string_view aType)
{
  if (aType.ends_with(".delta")) {
    return EngineEventKind::kToken;
  }
  if (aType == "response.completed") {
    return EngineEventKind::kCompleted;
  }
  if (aType == "response.failed" || aType == "response.incomplete" ||
      aType == "response.cancelled" || aType == "error") {
    return EngineEventKind::kFailed;
  }
  if (aType == "response.created" || aType == "response.queued" ||
      aType == "response.in_progress" || aType.ends_with(".added")) {
    return EngineEventKind::kPreamble;
  }
  return EngineEventKind::kOther;
}

/// Finds the sequence number without parsing the JSON. The key with its quotes
/// cannot occur inside a string, because quotes are escaped there.
std::optional<std::int64_t>
ScanSequence(std::string_view aData)
{
  const auto at = aData.rfind(kSequenceKey);
  if (at == std::string_view::npos || aData.empty() || aData.front() != '{' ||
      aData.back() != '}') {
    return std::nullopt;
  }
  auto begin = aData.data() + at + kSequenceKey.size();
  const auto end = aData.data() + aData.size();
  while (begin != end && *begin == ' ') {
    ++begin;
  }
  std::int64_t value = 0;
  const auto [rest, ec] = std::from_chars(begin, end, value);
  const bool isWhole = rest != end && (*rest == ',' || *rest == '}');
  if (ec != std::errc() || !isWhole || value < 0) {
    return std::nullopt;
  }
  return value;
}

} // namespace

Result<EngineEvent>
ParseEngineEvent(SseEvent&& aEvent)
{
  EngineEvent event;
  event.mType = std::move(aEvent.mType);
  event.mData = std::move(aEvent.mData);
  event.mKind = ToKind(event.mType);
  // Almost all events are tokens, and they carry no nested sequence number.
  if (event.mKind == EngineEventKind::kToken) {
    if (const auto sequence = ScanSequence(event.mData)) {
      event.mSequence = *sequence;
      return event;
    }
  }
  const auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(event.mData)).object();
  const auto sequence = object["sequence_number"];
  if (!sequence.isDouble() || sequence.toDouble() < 0 ||
      sequence.toDouble() > kMaxSequence) {
    return Failure(ErrorCode::kCorrupt,
                   "the engine sent an event without a sequence number");
  }
  if (event.mType.empty()) {
    event.mType = object["type"].toString().toStdString();
    event.mKind = ToKind(event.mType);
  }
  if (event.mType.empty()) {
    return Failure(ErrorCode::kCorrupt,
                   "the engine sent an event without a type");
  }
  event.mSequence = sequence.toInteger();
  event.mResponseId = object["response"]["id"].toString().toStdString();
  return event;
}

std::string
WithResponseId(const EngineEvent& aEvent, const std::string& aId)
{
  if (aEvent.mResponseId.empty()) {
    return aEvent.mData;
  }
  auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(aEvent.mData)).object();
  auto response = object["response"].toObject();
  response["id"] = QString::fromStdString(aId);
  object["response"] = response;
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string
ToSse(const std::string& aType, const std::string& aData)
{
  std::string text;
  text.reserve(aType.size() + aData.size() + 18);
  text += "event: ";
  text += aType;
  text += "\ndata: ";
  text += aData;
  text += "\n\n";
  return text;
}

} // namespace ragwortdeck
