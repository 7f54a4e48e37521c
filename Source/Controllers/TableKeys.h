#pragma once

#include "Controllers/TableSchema.h"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwortdeck {

/// \brief Address of a row of the operators' table.
struct RowAddress
{
  Sheet mSheet = Sheet::kTeams;
  std::string mRow;

  bool operator==(const RowAddress&) const = default;
  bool operator<(const RowAddress& aOther) const
  {
    return std::tie(mSheet, mRow) < std::tie(aOther.mSheet, aOther.mRow);
  }
};

/// \brief Key names of the operators' state in the key-value service; section 8
/// of docs/design.md.
class TableKeys
{
public:
  /// Prefix of all rows and of the head; one range reads the whole table.
  static constexpr const char* kTablePrefix = "/ragwort/table/";
  /// Written by every edit; its version counts table versions.
  static constexpr const char* kHead = "/ragwort/table/head";
  static constexpr const char* kEditPrefix = "/ragwort/edits/";
  static constexpr const char* kHostPrefix = "/ragwort/hosts/";

  static std::string Row(const RowAddress& aRow);
  static std::string Edit(const std::string& aEditId);
  static std::string Host(const std::string& aHost);
  /// The row that a key holds; nothing for the head and for foreign keys.
  static std::optional<RowAddress> ParseRow(std::string_view aKey);
};

} // namespace ragwortdeck
