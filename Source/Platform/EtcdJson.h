#pragma once

#include "Platform/KeyValueStore.h"

#include <QByteArray>
#include <optional>

namespace ragwortdeck {

/// \brief One message of a streamed watch reply.
struct EtcdWatchMessage
{
  /// The service has accepted the watch.
  bool mCreated = false;
  /// The service has ended the watch; mReason says why.
  bool mCanceled = false;
  /// Set with mCanceled when the start revision is no longer kept.
  bool mCompacted = false;
  std::string mReason;
  /// The revision of the service when it sent the message.
  std::int64_t mRevision = 0;
  /// Changes in order, one batch per revision.
  std::vector<KeyEventBatch> mBatches;
};

/// \brief Requests and replies of the etcd v3 JSON gateway: keys and values in
/// base64, 64-bit integers as strings, members with a zero value absent.
/// Source: the protocol buffer definitions of etcd v3 (rpc.proto, kv.proto)
/// under the proto3 JSON mapping.
class EtcdJson
{
public:
  static QByteArray RangeRequest(const std::string& aKey, bool aPrefix);
  static QByteArray TransactionRequest(const KeyTransaction& aTransaction);
  static QByteArray GrantRequest(std::chrono::seconds aTtl);
  static QByteArray LeaseRequest(std::int64_t aLease);
  static QByteArray WatchRequest(const std::string& aPrefix,
                                 std::int64_t aFromRevision);

  static Result<KeyRangeReply> ParseRange(const QByteArray& aBody);
  static Result<KeyTransactionReply> ParseTransaction(const QByteArray& aBody);
  /// The id of the granted lease.
  static Result<std::int64_t> ParseGrant(const QByteArray& aBody);
  /// The remaining time to live; zero when the lease has expired.
  static Result<std::chrono::seconds> ParseKeepAlive(const QByteArray& aBody);
  static Result<bool> ParseRevoke(const QByteArray& aBody);
  static Result<EtcdWatchMessage> ParseWatch(const QByteArray& aLine);

  /// The error of a reply with an HTTP status other than 200, for example
  /// "requested lease not found (code 5)".
  static std::string ErrorText(const QByteArray& aBody);
  /// True when the status and the error's gRPC code prove that the service
  /// rejected the request before it applied anything.
  static bool ProvesNotApplied(int aHttpStatus, const QByteArray& aBody);

  /// The first key after all keys with the prefix; "\0" (all keys) when there
  /// is none, as etcd defines it.
  static std::string PrefixEnd(std::string aPrefix);
};

} // namespace ragwortdeck
