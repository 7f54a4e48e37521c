#pragma once

#include "Core/Result.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

/// A sheet of the operators' table.
enum class Sheet : std::uint8_t
{
  kTeams,
  kKinds,
  kModels,
};

inline constexpr std::array<Sheet, 3> kSheets = { Sheet::kTeams,
                                                  Sheet::kKinds,
                                                  Sheet::kModels };

/// "teams", "kinds" or "models".
const char*
ToText(Sheet aSheet);

std::optional<Sheet>
SheetFromText(std::string_view aText);

enum class ColumnType : std::uint8_t
{
  kInteger,
  kChoice,
  kText,
  /// Names separated by ';' in text form, an array in JSON.
  kNameList,
};

/// \brief One column of a sheet.
struct Column
{
  std::string mName;
  ColumnType mType = ColumnType::kText;
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
  std::vector<std::string> mChoices;
  /// Text that applies while the cell is not set.
  std::string mDefault;
  std::string mMeaning;
};

/// Cells of a row in text form, by column; cells that are not set are absent.
using RowCells = std::map<std::string, std::string>;

/// \brief Why a cell or a row is refused.
struct CellError
{
  std::string mSheet;
  std::string mRow;
  /// Empty when the row as a whole is wrong.
  std::string mColumn;
  std::string mValue;
  std::string mExpected;

  bool operator==(const CellError&) const = default;
};

/// "sheet teams, row taa, column share: value '0': expected ...".
std::string
ToText(const CellError& aError);

template<typename T>
using CellResult = Result<T, CellError>;

/// \brief Columns, types and ranges of the operators' table.
class TableSchema
{
public:
  /// Longest accepted row name or text cell, in bytes.
  static constexpr std::size_t kMaxTextBytes = 128;
  /// Longest accepted name list, in names.
  static constexpr std::size_t kMaxListNames = 64;

  static const std::vector<Column>& Columns(Sheet aSheet);
  /// Null when the sheet has no such column.
  static const Column* Find(Sheet aSheet, std::string_view aColumn);

  /// The canonical text of a cell.
  static CellResult<std::string> CheckCell(Sheet aSheet,
                                           const std::string& aRow,
                                           const std::string& aColumn,
                                           const std::string& aValue);
  static CellResult<void> CheckRowName(Sheet aSheet, const std::string& aRow);
  /// Checks the row's name and all cells; returns the canonical cells.
  static CellResult<RowCells> CheckRow(Sheet aSheet,
                                       const std::string& aRow,
                                       const RowCells& aCells);
  /// "an integer from 1 to 1000", for error messages and help.
  static std::string Expected(const Column& aColumn);
};

/// Splits the text form of a name list.
std::vector<std::string>
SplitNames(const std::string& aText);

std::string
JoinNames(const std::vector<std::string>& aNames);

} // namespace ragwortdeck
