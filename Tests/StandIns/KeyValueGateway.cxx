#include "StandIns/KeyValueGateway.h"

#include "Platform/EtcdJson.h"

#include <QJsonArray>
#include <set>

namespace ragwortdeck {

namespace {

// How often leases are checked for expiry.
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(50);

/// \brief An error of the gateway with its gRPC code.
struct CallError
{
  int mStatus = 400;
  int mCode = 3;
  const char* mMessage = "";
};

std::string
Decode(const QJsonValue& aValue)
{
  return QByteArray::fromBase64(aValue.toString().toLatin1()).toStdString();
}

QString
Encode(const std::string& aBytes)
{
  return QString::fromLatin1(QByteArray::fromStdString(aBytes).toBase64());
}

std::int64_t
Number(const QJsonValue& aValue)
{
  return aValue.isString() ? aValue.toString().toLongLong()
                           : aValue.toInteger();
}

// The gateway leaves out members with the value zero.
void
Insert(QJsonObject& aObject, const char* aName, std::int64_t aNumber)
{
  if (aNumber != 0) {
    aObject.insert(QLatin1String(aName), QString::number(aNumber));
  }
}

QJsonObject
ToJson(const KeyValue& aKey)
{
  QJsonObject object{ { "key", Encode(aKey.mKey) } };
  Insert(object, "create_revision", aKey.mCreateRevision);
  Insert(object, "mod_revision", aKey.mModRevision);
  Insert(object, "version", aKey.mVersion);
  Insert(object, "lease", aKey.mLease);
  if (!aKey.mValue.empty()) {
    object.insert("value", Encode(aKey.mValue));
  }
  return object;
}

QJsonObject
ToRange(const std::vector<KeyValue>& aKeys)
{
  QJsonArray keys;
  for (const auto& key : aKeys) {
    keys.append(ToJson(key));
  }
  QJsonObject range;
  if (!keys.isEmpty()) {
    range.insert("kvs", keys);
    Insert(range, "count", keys.size());
  }
  return range;
}

bool
IsPrefix(const QJsonObject& aRange)
{
  if (!aRange.contains("range_end")) {
    return false;
  }
  if (Decode(aRange["range_end"]) !=
      EtcdJson::PrefixEnd(Decode(aRange["key"]))) {
    throw CallError{ 400, 12, "the stand-in supports only prefix ranges" };
  }
  return true;
}

KeyCompare
ToCompare(const QJsonObject& aCompare)
{
  static const std::map<QString, std::pair<KeyCompare::Field, const char*>>
    sTargets = {
      { "CREATE", { KeyCompare::Field::kCreateRevision, "create_revision" } },
      { "MOD", { KeyCompare::Field::kModRevision, "mod_revision" } },
      { "VERSION", { KeyCompare::Field::kVersion, "version" } },
      { "LEASE", { KeyCompare::Field::kLease, "lease" } },
    };
  const auto it = sTargets.find(aCompare["target"].toString());
  if (it == sTargets.end() || aCompare["result"] != "EQUAL") {
    throw CallError{ 400, 12, "the stand-in supports only EQUAL on numbers" };
  }
  return { Decode(aCompare["key"]),
           it->second.first,
           Number(aCompare[QLatin1String(it->second.second)]) };
}

KeyOperation
ToOperation(const QJsonObject& aOperation)
{
  if (aOperation.contains("request_put")) {
    const auto put = aOperation["request_put"].toObject();
    return KeyOperation::Put(
      Decode(put["key"]), Decode(put["value"]), Number(put["lease"]));
  }
  const bool isDelete = aOperation.contains("request_delete_range");
  const auto range = aOperation[QLatin1String(isDelete ? "request_delete_range"
                                                       : "request_range")]
                       .toObject();
  KeyOperation operation;
  operation.mType =
    isDelete ? KeyOperation::Type::kDelete : KeyOperation::Type::kRange;
  operation.mKey = Decode(range["key"]);
  operation.mPrefix = IsPrefix(range);
  return operation;
}

std::vector<KeyOperation>
ToOperations(const QJsonArray& aArray)
{
  if (static_cast<std::size_t>(aArray.size()) >
      KeyValueGateway::kMaxOperations) {
    throw CallError{ 400, 3, "etcdserver: too many operations in txn request" };
  }
  std::vector<KeyOperation> operations;
  std::set<std::string> puts;
  for (const auto& entry : aArray) {
    operations.push_back(ToOperation(entry.toObject()));
    const auto& operation = operations.back();
    if (operation.mType == KeyOperation::Type::kPut &&
        !puts.insert(operation.mKey).second) {
      throw CallError{ 400,
                       3,
                       "etcdserver: duplicate key given in txn request" };
    }
  }
  return operations;
}

QJsonArray
ToResponses(const std::vector<KeyOperation>& aOperations,
            const KeyTransactionReply& aReply)
{
  QJsonArray responses;
  for (std::size_t n = 0; n < aOperations.size(); ++n) {
    switch (aOperations[n].mType) {
      case KeyOperation::Type::kPut:
        responses.append(QJsonObject{ { "response_put", QJsonObject{} } });
        break;
      case KeyOperation::Type::kDelete:
        responses.append(
          QJsonObject{ { "response_delete_range", QJsonObject{} } });
        break;
      case KeyOperation::Type::kRange:
        responses.append(
          QJsonObject{ { "response_range", ToRange(aReply.mRanges[n]) } });
        break;
    }
  }
  return responses;
}

QByteArray
ToLine(const QJsonObject& aResult)
{
  return QJsonDocument(QJsonObject{ { "result", aResult } })
           .toJson(QJsonDocument::Compact) +
         "\n";
}

} // namespace

/// \brief A watch that waits for events.
struct KeyValueGateway::OpenWatch
{
  StandInReply mReply;
  std::string mPrefix;
  std::int64_t mNextRevision = 0;
};

KeyValueGateway::KeyValueGateway(Scheduler& aScheduler)
  : mScheduler(aScheduler)
  , mAlive(std::make_shared<int>(0))
{
  ScheduleExpiry();
}

KeyValueGateway::~KeyValueGateway() = default;

void
KeyValueGateway::ScheduleExpiry()
{
  mExpiry = mScheduler.After(kExpiryPeriod, [this] {
    mState.ExpireLeases(mScheduler.Now());
    PumpWatches();
    ScheduleExpiry();
  });
}

QJsonObject
KeyValueGateway::Header() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", QString::number(mState.Revision()) },
           { "raft_term", "1" } };
}

void
KeyValueGateway::Handle(const QHttpServerRequest& aRequest,
                        const StandInReply& aReply)
{
  const auto path = aRequest.url().path().toStdString();
  if (path.rfind("/standin/", 0) == 0) {
    ServeControl(aRequest, aReply);
    return;
  }
  ++mArrived;
  if (mFaults.mDown) {
    aReply.Drop();
    return;
  }
  if (mFaults.mStalled) {
    return;
  }
  const auto bytes = aRequest.body();
  if (bytes.size() > kMaxRequestBytes) {
    aReply.Send(400,
                QJsonObject{ { "code", 3 },
                             { "message", "etcdserver: request is too large" },
                             { "error", "etcdserver: request is too large" } });
    return;
  }
  const auto body = QJsonDocument::fromJson(bytes).object();
  if (mFaults.mSlow == Duration::zero()) {
    Serve(path, body, aReply);
    return;
  }
  std::weak_ptr<int> alive = mAlive;
  mScheduler.Post(mFaults.mSlow, [this, alive, path, body, aReply] {
    if (alive.lock()) {
      Serve(path, body, aReply);
    }
  });
}

void
KeyValueGateway::Serve(const std::string& aPath,
                       const QJsonObject& aBody,
                       const StandInReply& aReply)
{
  static const std::map<std::string, std::pair<const char*, Handler>>
    sHandlers = {
      { "/v3/kv/range", { "range", &KeyValueGateway::OnRange } },
      { "/v3/kv/txn", { "txn", &KeyValueGateway::OnTransaction } },
      { "/v3/lease/grant", { "lease_grant", &KeyValueGateway::OnGrant } },
      { "/v3/lease/keepalive",
        { "lease_keepalive", &KeyValueGateway::OnKeepAlive } },
      { "/v3/lease/revoke", { "lease_revoke", &KeyValueGateway::OnRevoke } },
    };
  mState.ExpireLeases(mScheduler.Now());
  if (aPath == "/v3/watch") {
    ++mCounts["watch"];
    StartWatch(aBody, aReply);
    return;
  }
  const auto it = sHandlers.find(aPath);
  if (it == sHandlers.end()) {
    aReply.Send(404, QJsonObject{ { "code", 5 }, { "message", "Not Found" } });
    return;
  }
  ++mCounts[it->second.first];
  try {
    QJsonObject answer;
    const bool wrote = (this->*it->second.second)(aBody, answer);
    if (wrote && mFaults.mDropReplies > 0) {
      --mFaults.mDropReplies;
      aReply.Drop();
    } else {
      aReply.Send(200, answer);
    }
  } catch (const CallError& error) {
    aReply.Send(error.mStatus,
                QJsonObject{ { "code", error.mCode },
                             { "message", error.mMessage },
                             { "error", error.mMessage } });
  }
  PumpWatches();
}

void
KeyValueGateway::ServeControl(const QHttpServerRequest& aRequest,
                              const StandInReply& aReply)
{
  if (aRequest.url().path() == "/standin/counts") {
    QJsonObject counts;
    for (const auto& [name, count] : mCounts) {
      counts.insert(QString::fromStdString(name), static_cast<qint64>(count));
    }
    aReply.Send(200, counts);
    return;
  }
  const auto body = QJsonDocument::fromJson(aRequest.body());
  if (aRequest.url().path() != "/standin/faults" || !body.isObject()) {
    aReply.Send(400, QJsonObject{ { "error", "expected faults as JSON" } });
    return;
  }
  const auto faults = body.object();
  mFaults.mDown = faults["down"].toBool(mFaults.mDown);
  mFaults.mStalled = faults["stalled"].toBool(mFaults.mStalled);
  mFaults.mStallWatches = faults["stall_watches"].toBool(mFaults.mStallWatches);
  mFaults.mDropReplies = faults["drop_replies"].toInt(mFaults.mDropReplies);
  if (faults.contains("slow_ms")) {
    mFaults.mSlow = std::chrono::milliseconds(faults["slow_ms"].toInteger());
  }
  aReply.Send(200, QJsonObject{});
  if (mFaults.mDown) {
    for (const auto& watch : mWatches) {
      watch.mReply.Drop();
    }
    mWatches.clear();
  }
  PumpWatches();
}

void
KeyValueGateway::StartWatch(const QJsonObject& aBody,
                            const StandInReply& aReply)
{
  const auto create = aBody["create_request"].toObject();
  OpenWatch watch{ aReply,
                   Decode(create["key"]),
                   Number(create["start_revision"]) };
  if (watch.mNextRevision == 0) {
    watch.mNextRevision = mState.Revision() + 1;
  }
  aReply.StartStream();
  aReply.SendChunk(ToLine({ { "header", Header() }, { "created", true } }));
  mWatches.push_back(std::move(watch));
  PumpWatches();
}

void
KeyValueGateway::PumpWatches()
{
  if (mFaults.mStallWatches) {
    return;
  }
  mWatches.remove_if([this](OpenWatch& aWatch) {
    if (!aWatch.mReply.IsOpen()) {
      return true;
    }
    const auto batches =
      mState.EventsSince(aWatch.mPrefix, aWatch.mNextRevision);
    if (!batches) {
      aWatch.mReply.SendChunk(
        ToLine({ { "header", Header() },
                 { "canceled", true },
                 { "compact_revision", QString::number(mState.Revision()) } }));
      return true;
    }
    QJsonArray events;
    for (const auto& batch : *batches) {
      for (const auto& event : batch.mEvents) {
        QJsonObject object{ { "kv", ToJson(event.mKey) } };
        if (event.mDeleted) {
          object.insert("type", "DELETE");
        }
        events.append(object);
      }
      aWatch.mNextRevision = batch.mRevision + 1;
    }
    if (!events.isEmpty()) {
      aWatch.mReply.SendChunk(
        ToLine({ { "header", Header() }, { "events", events } }));
    }
    return false;
  });
}

bool
KeyValueGateway::OnRange(const QJsonObject& aBody, QJsonObject& aAnswer)
{
  aAnswer = ToRange(mState.Range(Decode(aBody["key"]), IsPrefix(aBody)).mKeys);
  aAnswer.insert("header", Header());
  return false;
}

bool
KeyValueGateway::OnTransaction(const QJsonObject& aBody, QJsonObject& aAnswer)
{
  KeyTransaction transaction;
  const auto compares = aBody["compare"].toArray();
  if (static_cast<std::size_t>(compares.size()) > kMaxOperations) {
    throw CallError{ 400, 3, "etcdserver: too many operations in txn request" };
  }
  for (const auto& compare : compares) {
    transaction.mCompares.push_back(ToCompare(compare.toObject()));
  }
  transaction.mThen = ToOperations(aBody["success"].toArray());
  transaction.mElse = ToOperations(aBody["failure"].toArray());
  const auto before = mState.Revision();
  const auto reply = mState.Commit(transaction);
  if (!reply) {
    throw CallError{ 404, 5, "etcdserver: requested lease not found" };
  }
  const auto& operations =
    reply.value().mSucceeded ? transaction.mThen : transaction.mElse;
  aAnswer = { { "header", Header() },
              { "responses", ToResponses(operations, reply.value()) } };
  if (reply.value().mSucceeded) {
    aAnswer.insert("succeeded", true);
  }
  return mState.Revision() != before;
}

bool
KeyValueGateway::OnGrant(const QJsonObject& aBody, QJsonObject& aAnswer)
{
  const std::chrono::seconds ttl(Number(aBody["TTL"]));
  const auto id = mState.GrantLease(ttl, mScheduler.Now());
  aAnswer = { { "header", Header() } };
  Insert(aAnswer, "ID", id);
  Insert(aAnswer, "TTL", ttl.count());
  return true;
}

bool
KeyValueGateway::OnKeepAlive(const QJsonObject& aBody, QJsonObject& aAnswer)
{
  const auto id = Number(aBody["ID"]);
  const auto left = mState.KeepAlive(id, mScheduler.Now());
  QJsonObject result{ { "header", Header() } };
  Insert(result, "ID", id);
  Insert(
    result,
    "TTL",
    std::chrono::floor<std::chrono::seconds>(left.value_or(Duration::zero()))
      .count());
  aAnswer = { { "result", result } };
  return left.has_value();
}

bool
KeyValueGateway::OnRevoke(const QJsonObject& aBody, QJsonObject& aAnswer)
{
  if (!mState.RevokeLease(Number(aBody["ID"]))) {
    throw CallError{ 404, 5, "etcdserver: requested lease not found" };
  }
  aAnswer = { { "header", Header() } };
  return true;
}

} // namespace ragwortdeck
