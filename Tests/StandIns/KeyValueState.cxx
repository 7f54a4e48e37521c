#include "StandIns/KeyValueState.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

bool
HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

KeyValueState::KeyValueState(std::size_t aHistoryLimit)
  : mHistoryLimit(aHistoryLimit)
{
}

KeyRangeReply
KeyValueState::Range(const std::string& aKey, bool aPrefix) const
{
  KeyRangeReply reply{ mRevision, {} };
  for (auto it = mKeys.lower_bound(aKey); it != mKeys.end(); ++it) {
    if (aPrefix ? !HasPrefix(it->first, aKey) : it->first != aKey) {
      break;
    }
    reply.mKeys.push_back(it->second);
  }
  return reply;
}

bool
KeyValueState::Holds(const KeyCompare& aCompare) const
{
  const auto it = mKeys.find(aCompare.mKey);
  const KeyValue key = it == mKeys.end() ? KeyValue{} : it->second;
  switch (aCompare.mField) {
    case KeyCompare::Field::kCreateRevision:
      return key.mCreateRevision == aCompare.mExpected;
    case KeyCompare::Field::kModRevision:
      return key.mModRevision == aCompare.mExpected;
    case KeyCompare::Field::kVersion:
      return key.mVersion == aCompare.mExpected;
    case KeyCompare::Field::kLease:
      return key.mLease == aCompare.mExpected;
  }
  return false;
}

bool
KeyValueState::NamesUnknownLease(
  const std::vector<KeyOperation>& aOperations) const
{
  return std::any_of(
    aOperations.begin(), aOperations.end(), [this](const KeyOperation& aOp) {
      return aOp.mType == KeyOperation::Type::kPut && aOp.mLease != 0 &&
             mLeases.count(aOp.mLease) == 0;
    });
}

std::vector<std::string>
KeyValueState::KeysOf(const KeyOperation& aOperation) const
{
  std::vector<std::string> keys;
  for (const auto& key : Range(aOperation.mKey, aOperation.mPrefix).mKeys) {
    keys.push_back(key.mKey);
  }
  return keys;
}

void
KeyValueState::Put(const KeyOperation& aOperation, KeyEventBatch& aBatch)
{
  auto& key = mKeys[aOperation.mKey];
  if (key.mLease != 0 && key.mLease != aOperation.mLease) {
    mLeases[key.mLease].mKeys.erase(aOperation.mKey);
  }
  key.mKey = aOperation.mKey;
  key.mValue = aOperation.mValue;
  key.mCreateRevision =
    key.mVersion == 0 ? aBatch.mRevision : key.mCreateRevision;
  key.mModRevision = aBatch.mRevision;
  ++key.mVersion;
  key.mLease = aOperation.mLease;
  if (key.mLease != 0) {
    mLeases[key.mLease].mKeys.insert(aOperation.mKey);
  }
  aBatch.mEvents.push_back({ false, key });
}

void
KeyValueState::Delete(const std::string& aKey, KeyEventBatch& aBatch)
{
  const auto it = mKeys.find(aKey);
  if (it == mKeys.end()) {
    return;
  }
  if (it->second.mLease != 0) {
    mLeases[it->second.mLease].mKeys.erase(aKey);
  }
  mKeys.erase(it);
  KeyValue tombstone;
  tombstone.mKey = aKey;
  tombstone.mModRevision = aBatch.mRevision;
  aBatch.mEvents.push_back({ true, tombstone });
}

void
KeyValueState::Record(KeyEventBatch aBatch)
{
  if (aBatch.mEvents.empty()) {
    return;
  }
  mRevision = aBatch.mRevision;
  mHistory.emplace(aBatch.mRevision, std::move(aBatch));
  while (mHistory.size() > mHistoryLimit) {
    mCompactedRevision = mHistory.begin()->first;
    mHistory.erase(mHistory.begin());
  }
}

Result<KeyTransactionReply>
KeyValueState::Commit(const KeyTransaction& aTransaction)
{
  KeyTransactionReply reply;
  reply.mSucceeded =
    std::all_of(aTransaction.mCompares.begin(),
                aTransaction.mCompares.end(),
                [this](const KeyCompare& aCompare) { return Holds(aCompare); });
  const auto& operations =
    reply.mSucceeded ? aTransaction.mThen : aTransaction.mElse;
  if (NamesUnknownLease(operations)) {
    return Failure(ErrorCode::kNotFound, "requested lease not found");
  }
  KeyEventBatch batch{ mRevision + 1, {} };
  for (const auto& operation : operations) {
    reply.mRanges.emplace_back();
    switch (operation.mType) {
      case KeyOperation::Type::kPut:
        Put(operation, batch);
        break;
      case KeyOperation::Type::kDelete:
        for (const auto& key : KeysOf(operation)) {
          Delete(key, batch);
        }
        break;
      case KeyOperation::Type::kRange:
        reply.mRanges.back() = Range(operation.mKey, operation.mPrefix).mKeys;
        break;
    }
  }
  Record(std::move(batch));
  reply.mRevision = mRevision;
  return reply;
}

std::int64_t
KeyValueState::GrantLease(Duration aTtl, MonotonicTime aNow)
{
  const auto id = mNextLease++;
  mLeases[id] = { aTtl, aNow + aTtl, {} };
  return id;
}

std::optional<Duration>
KeyValueState::KeepAlive(std::int64_t aLease, MonotonicTime aNow)
{
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return std::nullopt;
  }
  it->second.mExpiry = aNow + it->second.mTtl;
  return it->second.mTtl;
}

bool
KeyValueState::RevokeLease(std::int64_t aLease)
{
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return false;
  }
  const auto keys = it->second.mKeys;
  KeyEventBatch batch{ mRevision + 1, {} };
  for (const auto& key : keys) {
    Delete(key, batch);
  }
  mLeases.erase(aLease);
  Record(std::move(batch));
  return true;
}

void
KeyValueState::ExpireLeases(MonotonicTime aNow)
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mExpiry <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    RevokeLease(id);
  }
}

std::optional<std::vector<KeyEventBatch>>
KeyValueState::EventsSince(const std::string& aPrefix,
                           std::int64_t aFromRevision) const
{
  if (aFromRevision <= mCompactedRevision) {
    return std::nullopt;
  }
  std::vector<KeyEventBatch> batches;
  for (auto it = mHistory.lower_bound(aFromRevision); it != mHistory.end();
       ++it) {
    KeyEventBatch batch{ it->first, {} };
    for (const auto& event : it->second.mEvents) {
      if (HasPrefix(event.mKey.mKey, aPrefix)) {
        batch.mEvents.push_back(event);
      }
    }
    if (!batch.mEvents.empty()) {
      batches.push_back(std::move(batch));
    }
  }
  return batches;
}

} // namespace ragwortdeck
