#pragma once

#include "Core/Clock.h"
#include "Platform/KeyValueStore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace ragwortdeck {

/// \brief State of a key-value service with etcd v3 semantics: one revision
/// per applied transaction, leases that expire, and an event history.
///
/// Used by the stand-in program and by the in-process fake.
class KeyValueState
{
public:
  /// aLimit is the number of revisions the history keeps; older watch starts
  /// are answered as compacted.
  explicit KeyValueState(std::size_t aHistoryLimit = 100'000);

  std::int64_t Revision() const { return mRevision; }
  KeyRangeReply Range(const std::string& aKey, bool aPrefix) const;
  /// Fails when a put names a lease that does not exist.
  Result<KeyTransactionReply> Commit(const KeyTransaction& aTransaction);

  std::int64_t GrantLease(Duration aTtl, MonotonicTime aNow);
  /// The full time to live again, or nothing when the lease does not exist.
  std::optional<Duration> KeepAlive(std::int64_t aLease, MonotonicTime aNow);
  bool RevokeLease(std::int64_t aLease);
  /// Removes leases that have expired, with their keys.
  void ExpireLeases(MonotonicTime aNow);

  /// Changes under the prefix with a revision of at least aFromRevision, or
  /// nothing when that part of the history is gone.
  std::optional<std::vector<KeyEventBatch>> EventsSince(
    const std::string& aPrefix,
    std::int64_t aFromRevision) const;

private:
  struct Lease
  {
    Duration mTtl{};
    MonotonicTime mExpiry;
    std::set<std::string> mKeys;
  };

  bool Holds(const KeyCompare& aCompare) const;
  bool NamesUnknownLease(const std::vector<KeyOperation>& aOperations) const;
  void Put(const KeyOperation& aOperation, KeyEventBatch& aBatch);
  void Delete(const std::string& aKey, KeyEventBatch& aBatch);
  std::vector<std::string> KeysOf(const KeyOperation& aOperation) const;
  void Record(KeyEventBatch aBatch);

  std::size_t mHistoryLimit;
  std::int64_t mRevision = 1;
  std::int64_t mNextLease = 1;
  /// The newest revision that the history no longer holds; -1 for none.
  std::int64_t mCompactedRevision = -1;
  std::map<std::string, KeyValue> mKeys;
  std::map<std::int64_t, Lease> mLeases;
  std::map<std::int64_t, KeyEventBatch> mHistory;
};

} // namespace ragwortdeck
