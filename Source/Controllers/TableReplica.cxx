#include "Controllers/TableReplica.h"

namespace ragwortdeck {

namespace {

// A host that missed more changes fetches the whole table.
constexpr std::size_t kLogLength = 64;

template<typename Rows, typename Changed, typename Removed>
void
Compare(const Rows& aFrom,
        const Rows& aTo,
        std::vector<Changed>& aChanged,
        std::vector<Removed>& aRemoved)
{
  for (const auto& [name, row] : aTo) {
    const auto it = aFrom.find(name);
    if (it == aFrom.end() || it->second != row) {
      aChanged.push_back(row);
    }
  }
  for (const auto& [name, row] : aFrom) {
    if (!aTo.contains(name)) {
      aRemoved.push_back(name);
    }
  }
}

} // namespace

TableReplica::TableReplica(OnChange aOnChange)
  : mOnChange(std::move(aOnChange))
  , mTable(std::make_shared<const Table>())
{
}

TableDelta
TableReplica::Difference(const Table& aFrom, const Table& aTo)
{
  TableDelta delta;
  delta.mFrom = aFrom.mVersion;
  delta.mTo = aTo.mVersion;
  Compare(aFrom.mTeams, aTo.mTeams, delta.mTeams, delta.mRemovedTeams);
  Compare(aFrom.mKinds, aTo.mKinds, delta.mKinds, delta.mRemovedKinds);
  Compare(aFrom.mModels, aTo.mModels, delta.mModels, delta.mRemovedModels);
  return delta;
}

ReplicaResult
TableReplica::OfferTable(Table aTable)
{
  if (aTable.mVersion <= mTable->mVersion) {
    return ReplicaResult::kOld;
  }
  // From no table at all, the difference would be the whole table once more.
  if (mTable->mVersion == 0) {
    mLog.clear();
  } else {
    Log(Difference(*mTable, aTable));
  }
  mTable = std::make_shared<const Table>(std::move(aTable));
  mOnChange(mTable);
  return ReplicaResult::kApplied;
}

ReplicaResult
TableReplica::OfferDelta(const TableDelta& aDelta)
{
  if (aDelta.mTo <= mTable->mVersion) {
    return ReplicaResult::kOld;
  }
  if (aDelta.mFrom != mTable->mVersion) {
    return ReplicaResult::kGap;
  }
  Table table = *mTable;
  table.mVersion = aDelta.mTo;
  for (const auto& row : aDelta.mTeams) {
    table.mTeams.insert_or_assign(row.mTeam, row);
  }
  for (const auto& row : aDelta.mKinds) {
    table.mKinds.insert_or_assign(row.mKind, row);
  }
  for (const auto& row : aDelta.mModels) {
    table.mModels.insert_or_assign(row.mModel, row);
  }
  for (const auto& name : aDelta.mRemovedTeams) {
    table.mTeams.erase(name);
  }
  for (const auto& name : aDelta.mRemovedKinds) {
    table.mKinds.erase(name);
  }
  for (const auto& name : aDelta.mRemovedModels) {
    table.mModels.erase(name);
  }
  Log(aDelta);
  mTable = std::make_shared<const Table>(std::move(table));
  mOnChange(mTable);
  return ReplicaResult::kApplied;
}

void
TableReplica::Log(TableDelta aDelta)
{
  mLog.push_back(std::move(aDelta));
  if (mLog.size() > kLogLength) {
    mLog.pop_front();
  }
}

std::optional<std::vector<TableDelta>>
TableReplica::DeltasSince(std::uint64_t aVersion) const
{
  std::vector<TableDelta> deltas;
  for (const auto& delta : mLog) {
    if (delta.mFrom == aVersion || !deltas.empty()) {
      deltas.push_back(delta);
    }
  }
  if (deltas.empty()) {
    return std::nullopt;
  }
  return deltas;
}

} // namespace ragwortdeck
