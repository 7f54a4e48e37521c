#include "Controllers/EditHistory.h"

#include "Controllers/TableKeys.h"

#include <QDate>
#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace ragwortdeck {

namespace {

constexpr Duration kDay = std::chrono::hours(24);
// Days of the retention time, today, and tomorrow for editors whose clock is
// ahead.
constexpr int kHistoryDays = 9;
// No record is older than the system.
constexpr int kFirstYear = 2024;

/// \brief Reads one day after the other.
struct HistoryRead
{
  KeyValueStore& mStore;
  WallTime mDay;
  int mDaysLeft = kHistoryDays;
  std::size_t mLimit = 0;
  std::vector<EditRecord> mRecords;
  std::function<void(Result<std::vector<EditRecord>>)> mDone;
};

Result<void>
AddRecords(HistoryRead& aRead, const std::vector<KeyValue>& aKeys)
{
  for (auto it = aKeys.rbegin(); it != aKeys.rend(); ++it) {
    auto record = EditRecordFromJson(it->mValue);
    if (!record) {
      return Failure(ErrorCode::kCorrupt,
                     it->mKey + ": " + record.error().mMessage);
    }
    aRead.mRecords.push_back(std::move(record).value());
  }
  return Success();
}

void
ReadDay(const std::shared_ptr<HistoryRead>& aRead)
{
  if (aRead->mDaysLeft == 0 || aRead->mRecords.size() >= aRead->mLimit) {
    aRead->mRecords.resize(std::min(aRead->mRecords.size(), aRead->mLimit));
    aRead->mDone(std::move(aRead->mRecords));
    return;
  }
  aRead->mStore.Range(
    TableKeys::Edit(EditDay(aRead->mDay)),
    true,
    [aRead](const KeyValueResult<KeyRangeReply>& aReply) {
      if (!aReply) {
        aRead->mDone(Failure(ErrorCode::kUnavailable, aReply.error().mMessage));
        return;
      }
      const auto added = AddRecords(*aRead, aReply.value().mKeys);
      if (!added) {
        aRead->mDone(Failure(added.error()));
        return;
      }
      aRead->mDay -= kDay;
      --aRead->mDaysLeft;
      ReadDay(aRead);
    });
}

} // namespace

void
ReadHistory(Scheduler& aScheduler,
            KeyValueStore& aStore,
            std::size_t aLimit,
            std::function<void(Result<std::vector<EditRecord>>)> aDone)
{
  ReadDay(
    std::make_shared<HistoryRead>(HistoryRead{ aStore,
                                               aScheduler.WallNow() + kDay,
                                               kHistoryDays,
                                               aLimit,
                                               {},
                                               std::move(aDone) }));
}

Result<std::vector<CellDelta>>
DiffVersions(const std::vector<EditRecord>& aRecords,
             std::uint64_t aFrom,
             std::uint64_t aTo)
{
  std::map<std::uint64_t, const EditRecord*> byVersion;
  for (const auto& record : aRecords) {
    if (record.mVersion > aFrom && record.mVersion <= aTo) {
      byVersion[record.mVersion] = &record;
    }
  }
  if (aTo < aFrom || byVersion.size() != aTo - aFrom) {
    return Failure(ErrorCode::kNotFound,
                   "the records of versions " + std::to_string(aFrom) + " to " +
                     std::to_string(aTo) +
                     " are not all kept; records are kept for 7 days");
  }
  std::map<std::tuple<std::string, std::string, std::string>, CellDelta> net;
  for (const auto& [version, record] : byVersion) {
    for (const auto& cell : record->mCells) {
      const auto key = std::make_tuple(cell.mSheet, cell.mRow, cell.mColumn);
      const auto [it, isNew] = net.emplace(key, cell);
      it->second.mNew = cell.mNew;
    }
  }
  std::vector<CellDelta> deltas;
  for (const auto& [key, delta] : net) {
    if (delta.mOld != delta.mNew) {
      deltas.push_back(delta);
    }
  }
  return deltas;
}

KeyTransaction
PruneTransaction(WallTime aNow)
{
  const auto day = EditDay(aNow - kEditRetention);
  const auto cutoff =
    QDate::fromString(QString::fromStdString(day), "yyyyMMdd");
  KeyTransaction transaction;
  const auto remove = [&transaction](const QString& aPrefix) {
    auto operation =
      KeyOperation::Delete(TableKeys::Edit(aPrefix.toStdString()));
    operation.mPrefix = true;
    transaction.mThen.push_back(std::move(operation));
  };
  // Whole years, then whole months of the cutoff's year, then days of its
  // month.
  for (int year = kFirstYear; year < cutoff.year(); ++year) {
    remove(QString::number(year));
  }
  for (int month = 1; month < cutoff.month(); ++month) {
    remove(QDate(cutoff.year(), month, 1).toString("yyyyMM"));
  }
  for (int n = 1; n < cutoff.day(); ++n) {
    remove(QDate(cutoff.year(), cutoff.month(), n).toString("yyyyMMdd"));
  }
  return transaction;
}

} // namespace ragwortdeck
