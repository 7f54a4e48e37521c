#pragma once

#include "Core/Scheduler.h"
#include "StandIns/KeyValueState.h"
#include "StandIns/StandInHttpServer.h"

#include <list>

namespace ragwortdeck {

/// \brief Faults of the stand-in key-value service.
struct GatewayFaults
{
  /// Connections are closed before a request is applied.
  bool mDown = false;
  /// Requests are taken and neither applied nor answered.
  bool mStalled = false;
  /// Open watches get no more messages, without an error.
  bool mStallWatches = false;
  /// Time before a request is applied.
  Duration mSlow{};
  /// So many writes are applied and their connection closed without a reply.
  int mDropReplies = 0;
};

/// \brief Stand-in of the key-value service: the etcd v3 JSON gateway around
/// KeyValueState, for the calls that HttpKeyValueStore makes.
///
/// POST /standin/faults takes {"down", "stalled", "stall_watches", "slow_ms",
/// "drop_replies"}; GET /standin/counts returns the calls by type.
class KeyValueGateway : public StandInHttpServer
{
public:
  /// Limits of an etcd server with default settings.
  static constexpr std::size_t kMaxOperations = 128;
  static constexpr qsizetype kMaxRequestBytes = 1'572'864;

  explicit KeyValueGateway(Scheduler& aScheduler);
  ~KeyValueGateway() override;

  GatewayFaults mFaults;
  KeyValueState mState;
  /// Calls by name: range, txn, lease_grant, lease_keepalive, lease_revoke,
  /// watch.
  std::map<std::string, std::uint64_t> mCounts;
  /// Requests that arrived, also those that a fault left unanswered.
  std::uint64_t mArrived = 0;

  /// Sends new events to the watches; called after every write and by tests
  /// that change the state themselves.
  void PumpWatches();

protected:
  void Handle(const QHttpServerRequest& aRequest,
              const StandInReply& aReply) override;

private:
  struct OpenWatch;
  /// Answers one call; true when the call was a write that was applied.
  using Handler = bool (KeyValueGateway::*)(const QJsonObject&, QJsonObject&);

  void Serve(const std::string& aPath,
             const QJsonObject& aBody,
             const StandInReply& aReply);
  void ServeControl(const QHttpServerRequest& aRequest,
                    const StandInReply& aReply);
  void StartWatch(const QJsonObject& aBody, const StandInReply& aReply);
  bool OnRange(const QJsonObject& aBody, QJsonObject& aAnswer);
  bool OnTransaction(const QJsonObject& aBody, QJsonObject& aAnswer);
  bool OnGrant(const QJsonObject& aBody, QJsonObject& aAnswer);
  bool OnKeepAlive(const QJsonObject& aBody, QJsonObject& aAnswer);
  bool OnRevoke(const QJsonObject& aBody, QJsonObject& aAnswer);
  QJsonObject Header() const;
  void ScheduleExpiry();

  Scheduler& mScheduler;
  std::list<OpenWatch> mWatches;
  std::shared_ptr<int> mAlive;
  TimerHandle mExpiry;
};

} // namespace ragwortdeck
