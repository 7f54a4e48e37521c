#include "Controllers/TableFromKeys.h"

#include "Controllers/TableCodec.h"
#include "Controllers/TableKeys.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

template<typename Rows, typename Row>
Result<void>
Store(Rows& aRows, typename Rows::key_type aName, CellResult<Row> aRow)
{
  if (!aRow) {
    return Failure(ErrorCode::kCorrupt, ToText(aRow.error()));
  }
  aRows.insert_or_assign(std::move(aName), std::move(aRow).value());
  return Success();
}

Result<void>
PutRow(Table& aTable, const RowAddress& aRow, const std::string& aJson)
{
  const auto& name = aRow.mRow;
  switch (aRow.mSheet) {
    case Sheet::kTeams:
      return Store(
        aTable.mTeams, TeamName(name), TableCodec::TeamFromJson(name, aJson));
    case Sheet::kKinds:
      return Store(
        aTable.mKinds, KindName(name), TableCodec::KindFromJson(name, aJson));
    case Sheet::kModels:
      break;
  }
  return Store(
    aTable.mModels, ModelName(name), TableCodec::ModelFromJson(name, aJson));
}

void
EraseRow(Table& aTable, const RowAddress& aRow)
{
  switch (aRow.mSheet) {
    case Sheet::kTeams:
      aTable.mTeams.erase(TeamName(aRow.mRow));
      break;
    case Sheet::kKinds:
      aTable.mKinds.erase(KindName(aRow.mRow));
      break;
    case Sheet::kModels:
      aTable.mModels.erase(ModelName(aRow.mRow));
      break;
  }
}

Result<void>
Apply(Table& aTable, const KeyValue& aKey, bool aDeleted)
{
  const auto row = TableKeys::ParseRow(aKey.mKey);
  if (!row) {
    return Failure(ErrorCode::kCorrupt,
                   "key " + aKey.mKey + " is not a row of the table");
  }
  if (aDeleted) {
    EraseRow(aTable, *row);
    return Success();
  }
  return PutRow(aTable, *row, aKey.mValue);
}

} // namespace

Result<Table>
TableFromKeys(const KeyRangeReply& aReply)
{
  Table table;
  for (const auto& key : aReply.mKeys) {
    if (key.mKey == TableKeys::kHead) {
      table.mVersion = static_cast<std::uint64_t>(key.mVersion);
      continue;
    }
    const auto applied = Apply(table, key, false);
    if (!applied) {
      return Failure(applied.error());
    }
  }
  if (table.mVersion == 0 && !aReply.mKeys.empty()) {
    return Failure(ErrorCode::kCorrupt,
                   std::string("rows exist without the key ") +
                     TableKeys::kHead);
  }
  return table;
}

Result<Table>
TableAfter(const Table& aTable, const KeyEventBatch& aBatch)
{
  const auto head = std::find_if(
    aBatch.mEvents.begin(), aBatch.mEvents.end(), [](const KeyEvent& aEvent) {
      return aEvent.mKey.mKey == TableKeys::kHead;
    });
  if (head == aBatch.mEvents.end()) {
    return aTable;
  }
  if (head->mDeleted) {
    return Failure(ErrorCode::kCorrupt,
                   std::string("the key ") + TableKeys::kHead + " was deleted");
  }
  const auto version = static_cast<std::uint64_t>(head->mKey.mVersion);
  if (version <= aTable.mVersion) {
    return aTable;
  }
  if (version != aTable.mVersion + 1) {
    return Failure(ErrorCode::kConflict,
                   "version " + std::to_string(version) +
                     " does not follow version " +
                     std::to_string(aTable.mVersion));
  }
  Table table = aTable;
  table.mVersion = version;
  for (const auto& event : aBatch.mEvents) {
    if (event.mKey.mKey == TableKeys::kHead) {
      continue;
    }
    const auto applied = Apply(table, event.mKey, event.mDeleted);
    if (!applied) {
      return Failure(applied.error());
    }
  }
  return table;
}

} // namespace ragwortdeck
