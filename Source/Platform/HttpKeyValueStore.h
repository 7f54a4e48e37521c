#pragma once

#include "Core/Scheduler.h"
#include "Core/Settings.h"
#include "Platform/KeyValueStore.h"

#include <QByteArray>

namespace ragwortdeck {

/// \brief How to reach the key-value service.
struct KeyValueSettings
{
  std::vector<Endpoint> mEndpoints;
  /// Longest time from a call to its callback.
  Duration mCallTimeout{ std::chrono::seconds(2) };
  /// A watch without any message for this long is opened again at another
  /// endpoint, because a stalled connection looks like a quiet one. Each
  /// opening counts as one call.
  Duration mWatchIdleLimit{ std::chrono::seconds(10) };

  /// Reads "endpoints", "call_timeout_ms" and "watch_idle_limit_ms".
  static KeyValueSettings Read(SettingsSection aSection);
};

/// \brief KeyValueStore over the etcd v3 JSON gateway.
///
/// A call moves on to the next endpoint when the one before it was not reached
/// or, for calls that may be repeated, when it did not answer. A write that may
/// have left is never sent again. Needs the event loop of its thread.
class HttpKeyValueStore : public KeyValueStore
{
public:
  /// aScheduler must outlive the store and its watches.
  HttpKeyValueStore(Scheduler& aScheduler, KeyValueSettings aSettings);
  /// Pending callbacks are dropped.
  ~HttpKeyValueStore() override;

  void Range(const std::string& aKey,
             bool aPrefix,
             KeyValueCallback<KeyRangeReply> aCallback) override;
  void Commit(const KeyTransaction& aTransaction,
              KeyValueCallback<KeyTransactionReply> aCallback) override;
  void GrantLease(std::chrono::seconds aTtl,
                  KeyValueCallback<std::int64_t> aCallback) override;
  void KeepAlive(std::int64_t aLease,
                 KeyValueCallback<std::chrono::seconds> aCallback) override;
  void RevokeLease(std::int64_t aLease,
                   KeyValueCallback<bool> aCallback) override;
  std::unique_ptr<KeyWatch> Watch(
    const std::string& aPrefix,
    std::int64_t aFromRevision,
    std::function<void(const KeyEventBatch&)> aOnBatch,
    std::function<void(const KeyValueError&)> aOnError) override;

private:
  class Call;
  class WatchStream;
  class WatchHandle;
  struct Shared;

  template<typename T>
  void Send(const char* aPath,
            QByteArray aBody,
            bool aRepeatable,
            std::function<Result<T>(const QByteArray&)> aParse,
            KeyValueCallback<T> aCallback);

  std::shared_ptr<Shared> mShared;
};

} // namespace ragwortdeck
