#pragma once

#include "Controllers/TableEditor.h"
#include "Core/Result.h"
#include "Core/SiteView.h"

#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief One sheet as a CSV file (RFC 4180): a header "row,<column>,...", then
/// one record per row. An empty cell is not set.
struct CsvSheet
{
  Sheet mSheet = Sheet::kTeams;
  /// Columns of the file, in its order; a file may leave columns out.
  std::vector<std::string> mColumns;
  std::map<std::string, RowCells> mRows;

  bool operator==(const CsvSheet&) const = default;
};

/// Longest accepted file; the teams sheet of 4,900 teams is about 200 kB.
inline constexpr std::size_t kMaxCsvBytes = 16 << 20;

/// Records of fields. Fails with the line of a record that is not RFC 4180.
Result<std::vector<std::vector<std::string>>>
ParseCsv(const std::string& aText);

std::string
FormatCsv(const std::vector<std::vector<std::string>>& aRecords);

/// Checks every cell; errors name the line as well as sheet, row, column,
/// value and what was expected.
Result<CsvSheet>
SheetFromCsv(Sheet aSheet, const std::string& aText);

std::string
ToCsv(const CsvSheet& aSheet);

/// The edits that make the table's cells equal to those of the file. Rows and
/// columns that the file leaves out are not touched. With aBase, the file that
/// was exported before, only cells that differ from it are edited, and each is
/// guarded by its value there.
std::vector<CellEdit>
ImportEdits(const CsvSheet& aSheet, const CsvSheet* aBase);

} // namespace ragwortdeck
