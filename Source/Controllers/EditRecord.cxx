#include "Controllers/EditRecord.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimeZone>
#include <cstdio>

namespace ragwortdeck {

namespace {

constexpr const char* kIdTimeFormat = "yyyyMMddThhmmsszzz";
// "20261204T041530123" and the random part.
constexpr std::size_t kIdTimeLength = 18;
constexpr std::size_t kIdLength = kIdTimeLength + 2 + 16;

std::int64_t
ToMillis(WallTime aTime)
{
  return std::chrono::floor<std::chrono::milliseconds>(aTime)
    .time_since_epoch()
    .count();
}

QDateTime
ToDateTime(WallTime aTime)
{
  return QDateTime::fromMSecsSinceEpoch(ToMillis(aTime), Qt::UTC);
}

QJsonValue
ToJson(const std::optional<std::string>& aValue)
{
  return aValue ? QJsonValue(QString::fromStdString(*aValue)) : QJsonValue();
}

std::optional<std::string>
TextOf(const QJsonValue& aValue)
{
  if (!aValue.isString()) {
    return std::nullopt;
  }
  return aValue.toString().toStdString();
}

Result<CellDelta>
CellFromJson(const QJsonValue& aValue)
{
  const auto object = aValue.toObject();
  CellDelta cell{ object["sheet"].toString().toStdString(),
                  object["row"].toString().toStdString(),
                  object["column"].toString().toStdString(),
                  TextOf(object["old"]),
                  TextOf(object["new"]) };
  if (cell.mSheet.empty() || cell.mRow.empty() || cell.mColumn.empty()) {
    return Failure(ErrorCode::kCorrupt,
                   "edit record: expected sheet, row and column in each cell");
  }
  return cell;
}

} // namespace

std::string
ToJson(const EditRecord& aRecord)
{
  QJsonArray cells;
  for (const auto& cell : aRecord.mCells) {
    cells.append(
      QJsonObject{ { "sheet", QString::fromStdString(cell.mSheet) },
                   { "row", QString::fromStdString(cell.mRow) },
                   { "column", QString::fromStdString(cell.mColumn) },
                   { "old", ToJson(cell.mOld) },
                   { "new", ToJson(cell.mNew) } });
  }
  const QJsonObject object{
    { "id", QString::fromStdString(aRecord.mId) },
    { "author", QString::fromStdString(aRecord.mAuthor) },
    { "time_ms", static_cast<qint64>(ToMillis(aRecord.mTime)) },
    { "version", static_cast<qint64>(aRecord.mVersion) },
    { "cancelled", aRecord.mCancelled },
    { "part", static_cast<qint64>(aRecord.mPart) },
    { "parts", static_cast<qint64>(aRecord.mParts) },
    { "cells", cells }
  };
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

Result<EditRecord>
EditRecordFromJson(const std::string& aJson)
{
  const auto document =
    QJsonDocument::fromJson(QByteArray::fromStdString(aJson));
  const auto object = document.object();
  EditRecord record;
  record.mId = object["id"].toString().toStdString();
  const auto version = object["version"].toInteger(-1);
  if (!TimeOfEditId(record.mId) || version < 0 || !object["cells"].isArray() ||
      !object["time_ms"].isDouble()) {
    return Failure(ErrorCode::kCorrupt,
                   "edit record: expected id, time_ms, version and cells");
  }
  record.mAuthor = object["author"].toString().toStdString();
  record.mTime =
    WallTime(std::chrono::milliseconds(object["time_ms"].toInteger()));
  record.mVersion = static_cast<std::uint64_t>(version);
  record.mCancelled = object["cancelled"].toBool();
  record.mPart = static_cast<std::uint32_t>(object["part"].toInteger(1));
  record.mParts = static_cast<std::uint32_t>(object["parts"].toInteger(1));
  for (const auto& value : object["cells"].toArray()) {
    auto cell = CellFromJson(value);
    if (!cell) {
      return Failure(cell.error());
    }
    record.mCells.push_back(std::move(cell).value());
  }
  return record;
}

std::string
NewEditId(WallTime aNow, RandomSource& aRandom)
{
  constexpr auto kHalf = std::uint64_t(1) << 32;
  char random[17];
  std::snprintf(random,
                sizeof random,
                "%08x%08x",
                static_cast<unsigned>(aRandom.Below(kHalf)),
                static_cast<unsigned>(aRandom.Below(kHalf)));
  return ToDateTime(aNow).toString(kIdTimeFormat).toStdString() + "Z-" + random;
}

std::optional<WallTime>
TimeOfEditId(const std::string& aId)
{
  if (aId.size() != kIdLength || aId[kIdTimeLength] != 'Z' ||
      aId.find('/') != std::string::npos) {
    return std::nullopt;
  }
  auto time = QDateTime::fromString(
    QString::fromStdString(aId.substr(0, kIdTimeLength)), kIdTimeFormat);
  if (!time.isValid()) {
    return std::nullopt;
  }
  time.setTimeZone(QTimeZone::utc());
  return WallTime(std::chrono::milliseconds(time.toMSecsSinceEpoch()));
}

std::string
EditDay(WallTime aTime)
{
  return ToDateTime(aTime).toString("yyyyMMdd").toStdString();
}

} // namespace ragwortdeck
