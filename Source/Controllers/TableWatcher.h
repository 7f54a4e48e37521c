#pragma once

#include "Controllers/KeyPrefixWatcher.h"
#include "Controllers/TableReplica.h"

namespace ragwortdeck {

/// \brief Feeds a replica of the table and the host marks from the key-value
/// service, with one watch for each.
class TableWatcher
{
public:
  struct Hooks
  {
    /// A table from the service; the replica decides whether it is newer.
    std::function<void(Table)> mOnTable;
    /// The host marks, whenever they changed.
    std::function<void(HostMarks)> mOnMarks;
    /// What this host has now, as the base of the next watched change.
    std::function<std::shared_ptr<const Table>()> mTable;
    std::function<const HostMarks&()> mMarks;
  };

  TableWatcher(Scheduler& aScheduler,
               RandomSource aRandom,
               KeyValueStore& aStore,
               Hooks aHooks);

  void Start();
  void Stop();
  bool IsRunning() const { return mTableKeys.IsRunning(); }
  bool IsWatching() const { return mTableKeys.IsWatching(); }

  /// The marks of a range over TableKeys::kHostPrefix; entries that are no
  /// valid marks are logged and left out.
  static std::map<std::string, HostMark> ParseMarks(
    const std::vector<KeyValue>& aKeys);

private:
  bool TakeKeys(const KeyRangeReply& aReply);
  bool TakeBatch(const KeyEventBatch& aBatch);
  bool IsAhead(const KeyRangeReply& aReply) const;
  bool TakeMarks(const KeyRangeReply& aReply);
  bool TakeMarkBatch(const KeyEventBatch& aBatch);

  Hooks mHooks;
  /// The table that the next watched change builds on.
  Table mBase;
  KeyPrefixWatcher mTableKeys;
  KeyPrefixWatcher mMarkKeys;
};

} // namespace ragwortdeck
