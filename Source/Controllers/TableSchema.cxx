#include "Controllers/TableSchema.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace ragwortdeck {

namespace {

// Generated tokens over the whole fleet; about 170 times the design peak of
// 5.8 million tokens/s.
constexpr std::int64_t kMaxTokensPerSecond = 1'000'000'000;
constexpr std::int64_t kMaxStreams = 10'000'000;
constexpr std::int64_t kMaxDeadlineSeconds = 86'400;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;
constexpr std::int64_t kMaxReplicas = 100'000;

Column
IntegerColumn(const char* aName,
              std::int64_t aMin,
              std::int64_t aMax,
              const char* aDefault,
              const char* aMeaning)
{
  return { aName, ColumnType::kInteger, aMin, aMax, {}, aDefault, aMeaning };
}

Column
ChoiceColumn(const char* aName,
             std::vector<std::string> aChoices,
             const char* aDefault,
             const char* aMeaning)
{
  return { aName,   ColumnType::kChoice, 0, 0, std::move(aChoices), aDefault,
           aMeaning };
}

std::vector<Column>
TeamColumns()
{
  return {
    IntegerColumn("share", 1, 1000, "100", "weight in fair queueing"),
    IntegerColumn("max_concurrent",
                  0,
                  kMaxStreams,
                  "0",
                  "streams over the whole fleet; 0 means no cap"),
    IntegerColumn(
      "tokens_per_second",
      0,
      kMaxTokensPerSecond,
      "0",
      "generated tokens per second over the whole fleet; 0 means no cap"),
    IntegerColumn("priority", 0, 9, "5", "0 is the lowest, 9 the highest"),
  };
}

std::vector<Column>
KindColumns()
{
  return {
    ChoiceColumn(
      "class", { "short", "long" }, "long", "short questions or long answers"),
    IntegerColumn("deadline_s",
                  1,
                  kMaxDeadlineSeconds,
                  "600",
                  "seconds after which an answer is useless"),
    IntegerColumn("priority", 0, 9, "5", "0 is the lowest, 9 the highest"),
    IntegerColumn(
      "max_output_tokens", 1, kMaxOutputTokens, "32768", "longest answer"),
    ChoiceColumn("repeat",
                 { "idempotent", "at-most-once" },
                 "idempotent",
                 "whether a call may be repeated"),
    IntegerColumn("reserved_percent",
                  0,
                  100,
                  "0",
                  "percent of each engine's room kept for this kind"),
  };
}

std::vector<Column>
ModelColumns()
{
  return {
    IntegerColumn(
      "replicas", 0, kMaxReplicas, "1", "engines that load the model"),
    { "version", ColumnType::kText, 0, 0, {}, "", "version of the weights" },
    { "adapters",
      ColumnType::kNameList,
      0,
      0,
      {},
      "",
      "adapters loaded with the model" },
  };
}

bool
IsNameByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '.' || aByte == '_' ||
         aByte == '-';
}

// Model, version and adapter names also contain '/' and ':', for example
// "org/model:7b". Team names do not, because they are a segment of the action
// record keys.
bool
IsName(std::string_view aText, bool aAllowPath)
{
  if (aText.empty() || aText.size() > TableSchema::kMaxTextBytes ||
      aText.front() == '.' || aText.front() == '/') {
    return false;
  }
  return std::all_of(aText.begin(), aText.end(), [aAllowPath](char aByte) {
    return IsNameByte(aByte) || (aAllowPath && (aByte == '/' || aByte == ':'));
  });
}

std::optional<std::string>
CanonicalInteger(const Column& aColumn, const std::string& aValue)
{
  std::int64_t value = 0;
  const char* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end || value < aColumn.mMin ||
      value > aColumn.mMax) {
    return std::nullopt;
  }
  return std::to_string(value);
}

std::optional<std::string>
CanonicalNames(const std::string& aValue)
{
  const auto names = SplitNames(aValue);
  const std::set<std::string> distinct(names.begin(), names.end());
  const bool valid =
    names.size() <= TableSchema::kMaxListNames &&
    distinct.size() == names.size() &&
    std::all_of(names.begin(), names.end(), [](const std::string& aName) {
      return IsName(aName, true);
    });
  if (!valid) {
    return std::nullopt;
  }
  return JoinNames(names);
}

std::optional<std::string>
Canonical(const Column& aColumn, const std::string& aValue)
{
  switch (aColumn.mType) {
    case ColumnType::kInteger:
      return CanonicalInteger(aColumn, aValue);
    case ColumnType::kChoice:
      if (std::find(aColumn.mChoices.begin(), aColumn.mChoices.end(), aValue) ==
          aColumn.mChoices.end()) {
        return std::nullopt;
      }
      return aValue;
    case ColumnType::kText:
      if (!aValue.empty() && !IsName(aValue, true)) {
        return std::nullopt;
      }
      return aValue;
    case ColumnType::kNameList:
      return CanonicalNames(aValue);
  }
  return std::nullopt;
}

std::string
ColumnNames(Sheet aSheet)
{
  std::string text;
  for (const auto& column : TableSchema::Columns(aSheet)) {
    text += (text.empty() ? "" : ", ") + column.mName;
  }
  return text;
}

} // namespace

const char*
ToText(Sheet aSheet)
{
  switch (aSheet) {
    case Sheet::kTeams:
      return "teams";
    case Sheet::kKinds:
      return "kinds";
    case Sheet::kModels:
      return "models";
  }
  return "unknown";
}

std::optional<Sheet>
SheetFromText(std::string_view aText)
{
  for (const auto sheet : kSheets) {
    if (aText == ToText(sheet)) {
      return sheet;
    }
  }
  return std::nullopt;
}

std::string
ToText(const CellError& aError)
{
  std::string text = "sheet " + aError.mSheet + ", row " + aError.mRow;
  if (!aError.mColumn.empty()) {
    text += ", column " + aError.mColumn;
  }
  return text + ": value '" + aError.mValue + "': expected " + aError.mExpected;
}

std::vector<std::string>
SplitNames(const std::string& aText)
{
  std::vector<std::string> names;
  if (aText.empty()) {
    return names;
  }
  std::size_t start = 0;
  while (true) {
    const auto end = aText.find(';', start);
    names.push_back(aText.substr(start, end - start));
    if (end == std::string::npos) {
      return names;
    }
    start = end + 1;
  }
}

std::string
JoinNames(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const auto& name : aNames) {
    text += (text.empty() ? "" : ";") + name;
  }
  return text;
}

const std::vector<Column>&
TableSchema::Columns(Sheet aSheet)
{
  static const std::vector<Column> sTeams = TeamColumns();
  static const std::vector<Column> sKinds = KindColumns();
  static const std::vector<Column> sModels = ModelColumns();
  switch (aSheet) {
    case Sheet::kTeams:
      return sTeams;
    case Sheet::kKinds:
      return sKinds;
    case Sheet::kModels:
      break;
  }
  return sModels;
}

const Column*
TableSchema::Find(Sheet aSheet, std::string_view aColumn)
{
  const auto& columns = Columns(aSheet);
  const auto it = std::find_if(
    columns.begin(), columns.end(), [aColumn](const Column& aEntry) {
      return aEntry.mName == aColumn;
    });
  return it == columns.end() ? nullptr : &*it;
}

std::string
TableSchema::Expected(const Column& aColumn)
{
  switch (aColumn.mType) {
    case ColumnType::kInteger:
      return "an integer from " + std::to_string(aColumn.mMin) + " to " +
             std::to_string(aColumn.mMax);
    case ColumnType::kChoice: {
      std::string text = "one of ";
      for (const auto& choice : aColumn.mChoices) {
        text += (&choice == aColumn.mChoices.data() ? "" : ", ") + choice;
      }
      return text;
    }
    case ColumnType::kText:
      return "at most " + std::to_string(kMaxTextBytes) +
             " characters from A-Z a-z 0-9 . _ - / :";
    case ColumnType::kNameList:
      return "at most " + std::to_string(kMaxListNames) +
             " different names separated by ';'";
  }
  return {};
}

CellResult<void>
TableSchema::CheckRowName(Sheet aSheet, const std::string& aRow)
{
  const bool allowPath = aSheet == Sheet::kModels;
  if (!IsName(aRow, allowPath)) {
    return Failure(CellError{
      ToText(aSheet),
      aRow,
      {},
      aRow,
      "a row name of 1 to " + std::to_string(kMaxTextBytes) +
        " characters from A-Z a-z 0-9 . _ -" + (allowPath ? " / :" : "") +
        " that does not start with '.' or '/'" });
  }
  return Success();
}

CellResult<std::string>
TableSchema::CheckCell(Sheet aSheet,
                       const std::string& aRow,
                       const std::string& aColumn,
                       const std::string& aValue)
{
  const auto* column = Find(aSheet, aColumn);
  if (column == nullptr) {
    return Failure(CellError{ ToText(aSheet),
                              aRow,
                              aColumn,
                              aValue,
                              "a column among " + ColumnNames(aSheet) });
  }
  auto text = Canonical(*column, aValue);
  if (!text) {
    return Failure(
      CellError{ ToText(aSheet), aRow, aColumn, aValue, Expected(*column) });
  }
  return std::move(*text);
}

CellResult<RowCells>
TableSchema::CheckRow(Sheet aSheet,
                      const std::string& aRow,
                      const RowCells& aCells)
{
  const auto name = CheckRowName(aSheet, aRow);
  if (!name) {
    return Failure(name.error());
  }
  RowCells checked;
  for (const auto& [column, value] : aCells) {
    auto text = CheckCell(aSheet, aRow, column, value);
    if (!text) {
      return Failure(text.error());
    }
    checked[column] = std::move(text).value();
  }
  return checked;
}

} // namespace ragwortdeck
