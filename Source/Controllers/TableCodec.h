#pragma once

#include "Controllers/TableSchema.h"
#include "Core/SiteView.h"

#include <string>

namespace ragwortdeck {

/// \brief Rows of the operators' table to and from JSON, text cells and the
/// typed rows of SiteView.
///
/// A row is a JSON object with one member per cell that is set: a number for
/// an integer column, a string for a choice or text column, an array of
/// strings for a name list. Cells that are absent have the column's default.
class TableCodec
{
public:
  /// Longest accepted row, in bytes of JSON; bounds what a hostile value can
  /// cost, far below the 1 MB limit of the key-value service.
  static constexpr std::size_t kMaxRowBytes = 65'536;

  static CellResult<RowCells> CellsFromJson(Sheet aSheet,
                                            const std::string& aRow,
                                            const std::string& aJson);
  /// The cells must have passed TableSchema::CheckRow.
  static std::string JsonFromCells(Sheet aSheet, const RowCells& aCells);

  static TeamRow TeamFromCells(const std::string& aRow, const RowCells& aCells);
  static KindRow KindFromCells(const std::string& aRow, const RowCells& aCells);
  static ModelRow ModelFromCells(const std::string& aRow,
                                 const RowCells& aCells);

  /// All columns, also those with their default.
  static RowCells CellsFrom(const TeamRow& aRow);
  static RowCells CellsFrom(const KindRow& aRow);
  static RowCells CellsFrom(const ModelRow& aRow);

  static CellResult<TeamRow> TeamFromJson(const std::string& aRow,
                                          const std::string& aJson);
  static CellResult<KindRow> KindFromJson(const std::string& aRow,
                                          const std::string& aJson);
  static CellResult<ModelRow> ModelFromJson(const std::string& aRow,
                                            const std::string& aJson);
  static std::string ToJson(const TeamRow& aRow);
  static std::string ToJson(const KindRow& aRow);
  static std::string ToJson(const ModelRow& aRow);
};

} // namespace ragwortdeck
