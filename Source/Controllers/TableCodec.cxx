#include "Controllers/TableCodec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <charconv>
#include <cmath>

namespace ragwortdeck {

namespace {

// Longest part of a wrong value that an error message repeats, in bytes.
constexpr qsizetype kShownBytes = 80;
// Largest magnitude up to which a double holds every integer.
constexpr double kMaxExactInteger = 9007199254740992.0;

std::string
Shown(const QJsonValue& aValue)
{
  if (aValue.isString()) {
    return aValue.toString().toUtf8().left(kShownBytes).toStdString();
  }
  auto text =
    QJsonDocument(QJsonArray{ aValue }).toJson(QJsonDocument::Compact);
  return text.mid(1, text.size() - 2).left(kShownBytes).toStdString();
}

std::optional<std::string>
IntegerText(const QJsonValue& aValue)
{
  const double number = aValue.toDouble();
  if (!aValue.isDouble() || std::floor(number) != number ||
      std::abs(number) > kMaxExactInteger) {
    return std::nullopt;
  }
  return std::to_string(static_cast<std::int64_t>(number));
}

std::optional<std::string>
NamesText(const QJsonValue& aValue)
{
  if (!aValue.isArray()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& entry : aValue.toArray()) {
    const auto name = entry.toString().toStdString();
    if (name.empty() || name.find(';') != std::string::npos) {
      return std::nullopt;
    }
    names.push_back(name);
  }
  return JoinNames(names);
}

std::optional<std::string>
CellText(const Column& aColumn, const QJsonValue& aValue)
{
  switch (aColumn.mType) {
    case ColumnType::kInteger:
      return IntegerText(aValue);
    case ColumnType::kChoice:
    case ColumnType::kText:
      if (!aValue.isString()) {
        return std::nullopt;
      }
      return aValue.toString().toStdString();
    case ColumnType::kNameList:
      return NamesText(aValue);
  }
  return std::nullopt;
}

QJsonValue
CellJson(const Column& aColumn, const std::string& aText)
{
  switch (aColumn.mType) {
    case ColumnType::kInteger:
      return static_cast<qint64>(std::stoll(aText));
    case ColumnType::kChoice:
    case ColumnType::kText:
      return QString::fromStdString(aText);
    case ColumnType::kNameList: {
      QJsonArray names;
      for (const auto& name : SplitNames(aText)) {
        names.append(QString::fromStdString(name));
      }
      return names;
    }
  }
  return {};
}

/// \brief Reads the cells of one row, with the defaults of the schema.
class CellReader
{
public:
  CellReader(Sheet aSheet, const RowCells& aCells)
    : mSheet(aSheet)
    , mCells(aCells)
  {
  }

  const std::string& Text(const char* aColumn) const
  {
    const auto it = mCells.find(aColumn);
    return it == mCells.end() ? TableSchema::Find(mSheet, aColumn)->mDefault
                              : it->second;
  }
  std::uint32_t Number(const char* aColumn) const
  {
    const auto& text = Text(aColumn);
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }

private:
  Sheet mSheet;
  const RowCells& mCells;
};

} // namespace

CellResult<RowCells>
TableCodec::CellsFromJson(Sheet aSheet,
                          const std::string& aRow,
                          const std::string& aJson)
{
  const auto reject = [&](std::string aExpected) {
    return CellError{ ToText(aSheet),
                      aRow,
                      {},
                      aJson.substr(0, kShownBytes),
                      std::move(aExpected) };
  };
  if (aJson.size() > kMaxRowBytes) {
    return Failure(
      reject("at most " + std::to_string(kMaxRowBytes) + " bytes"));
  }
  QJsonParseError problem;
  const auto document =
    QJsonDocument::fromJson(QByteArray::fromStdString(aJson), &problem);
  if (!document.isObject()) {
    return Failure(
      reject("a JSON object (" + problem.errorString().toStdString() + ")"));
  }
  const auto object = document.object();
  RowCells cells;
  for (auto it = object.begin(); it != object.end(); ++it) {
    const auto name = it.key().toStdString();
    const auto* column = TableSchema::Find(aSheet, name);
    auto text = column == nullptr ? std::nullopt : CellText(*column, *it);
    if (column != nullptr && !text) {
      return Failure(CellError{ ToText(aSheet),
                                aRow,
                                name,
                                Shown(*it),
                                TableSchema::Expected(*column) });
    }
    cells[name] = text ? std::move(*text) : Shown(*it);
  }
  return TableSchema::CheckRow(aSheet, aRow, cells);
}

std::string
TableCodec::JsonFromCells(Sheet aSheet, const RowCells& aCells)
{
  QJsonObject object;
  for (const auto& [name, text] : aCells) {
    const auto* column = TableSchema::Find(aSheet, name);
    if (column != nullptr) {
      object.insert(QString::fromStdString(name), CellJson(*column, text));
    }
  }
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

TeamRow
TableCodec::TeamFromCells(const std::string& aRow, const RowCells& aCells)
{
  const CellReader cells(Sheet::kTeams, aCells);
  TeamRow row;
  row.mTeam = TeamName(aRow);
  row.mShare = cells.Number("share");
  row.mMaxConcurrent = cells.Number("max_concurrent");
  row.mTokensPerSecond = cells.Number("tokens_per_second");
  row.mPriority = cells.Number("priority");
  return row;
}

KindRow
TableCodec::KindFromCells(const std::string& aRow, const RowCells& aCells)
{
  const CellReader cells(Sheet::kKinds, aCells);
  KindRow row;
  row.mKind = KindName(aRow);
  row.mClass =
    cells.Text("class") == "short" ? KindClass::kShort : KindClass::kLong;
  row.mDeadlineSeconds = cells.Number("deadline_s");
  row.mPriority = cells.Number("priority");
  row.mMaxOutputTokens = cells.Number("max_output_tokens");
  row.mRepeat = cells.Text("repeat") == "at-most-once"
                  ? RepeatRule::kAtMostOnce
                  : RepeatRule::kIdempotent;
  row.mReservedPercent = cells.Number("reserved_percent");
  return row;
}

ModelRow
TableCodec::ModelFromCells(const std::string& aRow, const RowCells& aCells)
{
  const CellReader cells(Sheet::kModels, aCells);
  ModelRow row;
  row.mModel = ModelName(aRow);
  row.mReplicas = cells.Number("replicas");
  row.mVersion = cells.Text("version");
  row.mAdapters = SplitNames(cells.Text("adapters"));
  return row;
}

RowCells
TableCodec::CellsFrom(const TeamRow& aRow)
{
  return { { "share", std::to_string(aRow.mShare) },
           { "max_concurrent", std::to_string(aRow.mMaxConcurrent) },
           { "tokens_per_second", std::to_string(aRow.mTokensPerSecond) },
           { "priority", std::to_string(aRow.mPriority) } };
}

RowCells
TableCodec::CellsFrom(const KindRow& aRow)
{
  return { { "class", aRow.mClass == KindClass::kShort ? "short" : "long" },
           { "deadline_s", std::to_string(aRow.mDeadlineSeconds) },
           { "priority", std::to_string(aRow.mPriority) },
           { "max_output_tokens", std::to_string(aRow.mMaxOutputTokens) },
           { "repeat",
             aRow.mRepeat == RepeatRule::kAtMostOnce ? "at-most-once"
                                                     : "idempotent" },
           { "reserved_percent", std::to_string(aRow.mReservedPercent) } };
}

RowCells
TableCodec::CellsFrom(const ModelRow& aRow)
{
  return { { "replicas", std::to_string(aRow.mReplicas) },
           { "version", aRow.mVersion },
           { "adapters", JoinNames(aRow.mAdapters) } };
}

CellResult<TeamRow>
TableCodec::TeamFromJson(const std::string& aRow, const std::string& aJson)
{
  const auto cells = CellsFromJson(Sheet::kTeams, aRow, aJson);
  if (!cells) {
    return Failure(cells.error());
  }
  return TeamFromCells(aRow, cells.value());
}

CellResult<KindRow>
TableCodec::KindFromJson(const std::string& aRow, const std::string& aJson)
{
  const auto cells = CellsFromJson(Sheet::kKinds, aRow, aJson);
  if (!cells) {
    return Failure(cells.error());
  }
  return KindFromCells(aRow, cells.value());
}

CellResult<ModelRow>
TableCodec::ModelFromJson(const std::string& aRow, const std::string& aJson)
{
  const auto cells = CellsFromJson(Sheet::kModels, aRow, aJson);
  if (!cells) {
    return Failure(cells.error());
  }
  return ModelFromCells(aRow, cells.value());
}

std::string
TableCodec::ToJson(const TeamRow& aRow)
{
  return JsonFromCells(Sheet::kTeams, CellsFrom(aRow));
}

std::string
TableCodec::ToJson(const KindRow& aRow)
{
  return JsonFromCells(Sheet::kKinds, CellsFrom(aRow));
}

std::string
TableCodec::ToJson(const ModelRow& aRow)
{
  return JsonFromCells(Sheet::kModels, CellsFrom(aRow));
}

} // namespace ragwortdeck
