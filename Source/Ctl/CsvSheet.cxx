#include "Ctl/CsvSheet.h"

#include <algorithm>
#include <csv.h>

namespace ragwortdeck {

namespace {

constexpr const char* kRowHeader = "row";
// Written by some spreadsheet programs at the start of a file.
constexpr const char* kByteOrderMark = "\xEF\xBB\xBF";

/// \brief Collects fields; its functions are called from C code and do not
/// throw except when memory runs out.
struct CsvCollector
{
  std::vector<std::vector<std::string>> mRecords;
  std::vector<std::string> mFields;

  static void OnField(void* aText, std::size_t aSize, void* aSelf)
  {
    static_cast<CsvCollector*>(aSelf)->mFields.emplace_back(
      static_cast<const char*>(aText), aSize);
  }
  static void OnRecord(int, void* aSelf)
  {
    auto& self = *static_cast<CsvCollector*>(aSelf);
    self.mRecords.push_back(std::move(self.mFields));
    self.mFields.clear();
  }
};

/// \brief Owns a libcsv parser.
class CsvParser
{
public:
  CsvParser()
  {
    csv_init(&mParser, CSV_STRICT | CSV_STRICT_FINI);
    // RFC 4180 counts spaces as part of a field; libcsv would remove them.
    csv_set_space_func(&mParser, [](unsigned char) { return 0; });
  }
  ~CsvParser() { csv_free(&mParser); }
  CsvParser(const CsvParser&) = delete;
  CsvParser& operator=(const CsvParser&) = delete;

  /// False when the text is malformed.
  bool Parse(const std::string& aText, CsvCollector& aCollector)
  {
    const auto parsed = csv_parse(&mParser,
                                  aText.data(),
                                  aText.size(),
                                  &CsvCollector::OnField,
                                  &CsvCollector::OnRecord,
                                  &aCollector);
    return parsed == aText.size() && csv_fini(&mParser,
                                              &CsvCollector::OnField,
                                              &CsvCollector::OnRecord,
                                              &aCollector) == 0;
  }

private:
  csv_parser mParser{};
};

bool
NeedsQuotes(const std::string& aField)
{
  return aField.find_first_of(",\"\r\n") != std::string::npos ||
         (!aField.empty() && (aField.front() == ' ' || aField.back() == ' '));
}

std::string
Quoted(const std::string& aField)
{
  std::string text(2 * aField.size() + 2, '\0');
  text.resize(
    csv_write(text.data(), text.size(), aField.data(), aField.size()));
  return text;
}

Result<void>
CheckHeader(Sheet aSheet, const std::vector<std::string>& aHeader)
{
  if (aHeader.empty() || aHeader.front() != kRowHeader) {
    return Failure(ErrorCode::kInvalidArgument,
                   std::string("sheet ") + ToText(aSheet) +
                     ", record 1: expected a header that starts with 'row'");
  }
  for (std::size_t n = 1; n < aHeader.size(); ++n) {
    const bool repeats =
      std::count(aHeader.begin(), aHeader.end(), aHeader[n]) > 1;
    if (repeats || TableSchema::Find(aSheet, aHeader[n]) == nullptr) {
      return Failure(ErrorCode::kInvalidArgument,
                     std::string("sheet ") + ToText(aSheet) +
                       ", record 1, column " + aHeader[n] +
                       ": expected a column of the sheet, once");
    }
  }
  return Success();
}

} // namespace

Result<std::vector<std::vector<std::string>>>
ParseCsv(const std::string& aText)
{
  if (aText.size() > kMaxCsvBytes) {
    return Failure(ErrorCode::kInvalidArgument,
                   "expected at most " + std::to_string(kMaxCsvBytes) +
                     " bytes of CSV");
  }
  const bool hasMark = aText.compare(0, 3, kByteOrderMark) == 0;
  CsvCollector collector;
  CsvParser parser;
  if (!parser.Parse(hasMark ? aText.substr(3) : aText, collector)) {
    return Failure(ErrorCode::kInvalidArgument,
                   "record " + std::to_string(collector.mRecords.size() + 1) +
                     ": expected CSV as in RFC 4180, with quotes doubled "
                     "inside quoted fields");
  }
  return std::move(collector.mRecords);
}

std::string
FormatCsv(const std::vector<std::vector<std::string>>& aRecords)
{
  std::string text;
  for (const auto& record : aRecords) {
    for (std::size_t n = 0; n < record.size(); ++n) {
      text += n == 0 ? "" : ",";
      text += NeedsQuotes(record[n]) ? Quoted(record[n]) : record[n];
    }
    text += "\r\n";
  }
  return text;
}

Result<CsvSheet>
SheetFromCsv(Sheet aSheet, const std::string& aText)
{
  const auto records = ParseCsv(aText);
  if (!records) {
    return Failure(records.error());
  }
  const auto fail = [aSheet](std::size_t aRecord, const std::string& aText) {
    return Error{ ErrorCode::kInvalidArgument,
                  std::string("sheet ") + ToText(aSheet) + ", record " +
                    std::to_string(aRecord + 1) + ": " + aText };
  };
  if (records.value().empty()) {
    return Failure(fail(0, "expected a header"));
  }
  const auto& header = records.value().front();
  const auto checked = CheckHeader(aSheet, header);
  if (!checked) {
    return Failure(checked.error());
  }
  CsvSheet sheet;
  sheet.mSheet = aSheet;
  sheet.mColumns.assign(header.begin() + 1, header.end());
  for (std::size_t n = 1; n < records.value().size(); ++n) {
    const auto& record = records.value()[n];
    if (record.size() != header.size()) {
      return Failure(fail(n,
                          "expected " + std::to_string(header.size()) +
                            " fields, found " + std::to_string(record.size())));
    }
    RowCells cells;
    for (std::size_t column = 1; column < record.size(); ++column) {
      if (!record[column].empty()) {
        cells[header[column]] = record[column];
      }
    }
    auto row = TableSchema::CheckRow(aSheet, record.front(), cells);
    if (!row) {
      return Failure(fail(n, ToText(row.error())));
    }
    if (!sheet.mRows.emplace(record.front(), std::move(row).value()).second) {
      return Failure(fail(n, "row " + record.front() + " repeats"));
    }
  }
  return sheet;
}

std::string
ToCsv(const CsvSheet& aSheet)
{
  std::vector<std::vector<std::string>> records(1, { kRowHeader });
  records.front().insert(
    records.front().end(), aSheet.mColumns.begin(), aSheet.mColumns.end());
  for (const auto& [row, cells] : aSheet.mRows) {
    records.push_back({ row });
    for (const auto& column : aSheet.mColumns) {
      const auto it = cells.find(column);
      records.back().push_back(it == cells.end() ? "" : it->second);
    }
  }
  return FormatCsv(records);
}

std::vector<CellEdit>
ImportEdits(const CsvSheet& aSheet, const CsvSheet* aBase)
{
  const auto cellOf = [](const RowCells& aCells, const std::string& aColumn) {
    const auto it = aCells.find(aColumn);
    return it == aCells.end() ? std::optional<std::string>{}
                              : std::optional<std::string>{ it->second };
  };
  std::vector<CellEdit> edits;
  for (const auto& [row, cells] : aSheet.mRows) {
    const auto base =
      aBase != nullptr ? aBase->mRows.find(row) : aSheet.mRows.end();
    const bool hasBase = aBase != nullptr && base != aBase->mRows.end();
    for (const auto& column : aSheet.mColumns) {
      CellEdit edit{ { aSheet.mSheet, row }, column, cellOf(cells, column) };
      if (aBase != nullptr) {
        edit.mGuarded = true;
        edit.mExpected = hasBase ? cellOf(base->second, column) : std::nullopt;
        if (edit.mExpected == edit.mValue) {
          continue;
        }
      }
      edits.push_back(std::move(edit));
    }
  }
  return edits;
}

} // namespace ragwortdeck
