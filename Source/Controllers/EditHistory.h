#pragma once

#include "Controllers/EditRecord.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <vector>

namespace ragwortdeck {

/// How long edit records are kept.
inline constexpr Duration kEditRetention = std::chrono::hours(7 * 24);

/// Reads the newest edit records, newest first, at most aLimit. Reads one day
/// per call, at most nine calls, because all records of the retention time
/// could exceed a reply (22,000 records at 3,100 edits a day). aDone is called
/// once.
void
ReadHistory(Scheduler& aScheduler,
            KeyValueStore& aStore,
            std::size_t aLimit,
            std::function<void(Result<std::vector<EditRecord>>)> aDone);

/// The net change per cell from version aFrom to version aTo, out of any
/// records that include those between. Cells that end as they began are left
/// out. Fails with kNotFound when a version between is not among the records.
Result<std::vector<CellDelta>>
DiffVersions(const std::vector<EditRecord>& aRecords,
             std::uint64_t aFrom,
             std::uint64_t aTo);

/// The transaction that deletes all edit records of days that ended before the
/// retention time: one call with at most 60 prefix deletions, regardless of
/// the number of records. Run it about once a day, by the controller lease
/// holder or by "ragwort-ctl table prune".
KeyTransaction
PruneTransaction(WallTime aNow);

} // namespace ragwortdeck
