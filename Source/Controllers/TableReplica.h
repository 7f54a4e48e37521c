#pragma once

#include "Controllers/TableMessages.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace ragwortdeck {

/// What became of an offered change.
enum class ReplicaResult
{
  kApplied,
  /// Not newer than what the replica has.
  kOld,
  /// Newer, but it does not connect: fetch the missing part.
  kGap,
};

/// \brief One host's copy of the operators' table. It only moves to newer
/// versions, and to each version as a whole.
class TableReplica
{
public:
  /// Called after each change with the new table.
  using OnChange = std::function<void(std::shared_ptr<const Table>)>;

  explicit TableReplica(OnChange aOnChange);

  ReplicaResult OfferTable(Table aTable);
  ReplicaResult OfferDelta(const TableDelta& aDelta);

  /// Never null; version 0 before the first table.
  std::shared_ptr<const Table> Current() const { return mTable; }
  std::uint64_t Version() const { return mTable->mVersion; }
  /// Deltas from the version to the current one, or nothing when the log of
  /// this replica does not reach back that far.
  std::optional<std::vector<TableDelta>> DeltasSince(
    std::uint64_t aVersion) const;

  /// The rows that differ.
  static TableDelta Difference(const Table& aFrom, const Table& aTo);

private:
  void Log(TableDelta aDelta);

  OnChange mOnChange;
  std::shared_ptr<const Table> mTable;
  /// Deltas whose versions connect, the last one leading to mTable.
  std::deque<TableDelta> mLog;
};

} // namespace ragwortdeck
