#pragma once

#include "Core/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A stored key with its revisions, as in etcd v3.
struct KeyValue
{
  std::string mKey;
  std::string mValue;
  std::int64_t mCreateRevision = 0;
  std::int64_t mModRevision = 0;
  /// Writes since the key was created, starting at 1.
  std::int64_t mVersion = 0;
  /// 0 when the key has no lease.
  std::int64_t mLease = 0;

  bool operator==(const KeyValue&) const = default;
};

/// \brief A condition of a transaction: the field of the key equals the
/// number. A missing key has 0 in every field.
struct KeyCompare
{
  enum class Field
  {
    kCreateRevision,
    kModRevision,
    kVersion,
    kLease,
  };
  std::string mKey;
  Field mField = Field::kModRevision;
  std::int64_t mExpected = 0;
};

/// \brief One operation inside a transaction.
struct KeyOperation
{
  enum class Type
  {
    kPut,
    kDelete,
    kRange,
  };
  Type mType = Type::kRange;
  std::string mKey;
  std::string mValue;
  std::int64_t mLease = 0;
  /// For kRange and kDelete: all keys that start with mKey.
  bool mPrefix = false;

  static KeyOperation Put(std::string aKey,
                          std::string aValue,
                          std::int64_t aLease = 0);
  static KeyOperation Delete(std::string aKey);
  static KeyOperation Range(std::string aKey);
  static KeyOperation RangePrefix(std::string aPrefix);
};

struct KeyTransaction
{
  std::vector<KeyCompare> mCompares;
  std::vector<KeyOperation> mThen;
  std::vector<KeyOperation> mElse;
};

struct KeyTransactionReply
{
  /// True when all compares held and mThen was applied.
  bool mSucceeded = false;
  std::int64_t mRevision = 0;
  /// One entry per operation that ran; the keys of a kRange, else empty.
  std::vector<std::vector<KeyValue>> mRanges;
};

struct KeyRangeReply
{
  std::int64_t mRevision = 0;
  std::vector<KeyValue> mKeys;
};

/// \brief A change of a watched key.
struct KeyEvent
{
  bool mDeleted = false;
  KeyValue mKey;
};

/// \brief All changes of one revision under the watched prefix.
struct KeyEventBatch
{
  std::int64_t mRevision = 0;
  std::vector<KeyEvent> mEvents;
};

/// \brief Why a call failed, and whether it may have taken effect.
struct KeyValueError
{
  enum class Effect
  {
    /// The call certainly had no effect and never will.
    kNotApplied,
    /// The call may have taken effect, or may still do so.
    kUnknown,
  };
  Effect mEffect = Effect::kUnknown;
  std::string mMessage;
  /// The watch's start revision is no longer kept: read again.
  bool mCompacted = false;
};

template<typename T>
using KeyValueResult = Result<T, KeyValueError>;
template<typename T>
using KeyValueCallback = std::function<void(KeyValueResult<T>)>;

/// \brief Ends the watch when destroyed.
class KeyWatch
{
public:
  virtual ~KeyWatch() = default;
};

/// \brief The platform's key-value service.
///
/// All calls are asynchronous; each callback runs exactly once on the
/// caller's thread, never inside the call, and at the latest when the
/// implementation's timeout has passed.
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  /// All keys with the prefix, or the one key; linearizable.
  virtual void Range(const std::string& aKey,
                     bool aPrefix,
                     KeyValueCallback<KeyRangeReply> aCallback) = 0;
  virtual void Commit(const KeyTransaction& aTransaction,
                      KeyValueCallback<KeyTransactionReply> aCallback) = 0;
  /// Calls back with the lease id.
  virtual void GrantLease(std::chrono::seconds aTtl,
                          KeyValueCallback<std::int64_t> aCallback) = 0;
  /// Calls back with the remaining time; zero when the lease has expired.
  virtual void KeepAlive(std::int64_t aLease,
                         KeyValueCallback<std::chrono::seconds> aCallback) = 0;
  virtual void RevokeLease(std::int64_t aLease,
                           KeyValueCallback<bool> aCallback) = 0;
  /// Delivers changes with a revision of at least aFromRevision, in order.
  /// After aOnError the watch is over.
  virtual std::unique_ptr<KeyWatch> Watch(
    const std::string& aPrefix,
    std::int64_t aFromRevision,
    std::function<void(const KeyEventBatch&)> aOnBatch,
    std::function<void(const KeyValueError&)> aOnError) = 0;
};

} // namespace ragwortdeck
