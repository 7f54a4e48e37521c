#include "Platform/EtcdJson.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <array>

namespace ragwortdeck {

namespace {

/// \brief Signals a malformed reply inside this file.
struct ParseFailure
{
  std::string mMessage;
};

QString
Encode(const std::string& aBytes)
{
  return QString::fromLatin1(QByteArray::fromStdString(aBytes).toBase64());
}

QString
Decimal(std::int64_t aNumber)
{
  return QString::number(aNumber);
}

QByteArray
Compact(const QJsonObject& aObject)
{
  return QJsonDocument(aObject).toJson(QJsonDocument::Compact);
}

QJsonObject
ParseObject(const QByteArray& aBody)
{
  QJsonParseError problem;
  const auto document = QJsonDocument::fromJson(aBody, &problem);
  if (!document.isObject()) {
    throw ParseFailure{ "expected a JSON object: " +
                        problem.errorString().toStdString() };
  }
  return document.object();
}

std::int64_t
Int64Of(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName));
  if (value.isUndefined()) {
    return 0;
  }
  bool valid = value.isString();
  std::int64_t number = 0;
  if (valid) {
    number = value.toString().toLongLong(&valid);
  } else if (value.isDouble()) {
    constexpr auto kNone = std::numeric_limits<qint64>::min();
    number = value.toInteger(kNone);
    valid = number != kNone;
  }
  if (!valid) {
    throw ParseFailure{ std::string("expected a 64-bit integer in ") + aName };
  }
  return number;
}

bool
BoolOf(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName));
  if (!value.isUndefined() && !value.isBool()) {
    throw ParseFailure{ std::string("expected true or false in ") + aName };
  }
  return value.toBool();
}

std::string
BytesOf(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName));
  if (value.isUndefined()) {
    return {};
  }
  const auto decoded = QByteArray::fromBase64Encoding(
    value.toString().toLatin1(), QByteArray::AbortOnBase64DecodingErrors);
  if (!value.isString() || !decoded) {
    throw ParseFailure{ std::string("expected base64 in ") + aName };
  }
  return decoded.decoded.toStdString();
}

QJsonObject
ObjectOf(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName));
  if (!value.isUndefined() && !value.isObject()) {
    throw ParseFailure{ std::string("expected an object in ") + aName };
  }
  return value.toObject();
}

std::vector<QJsonObject>
ObjectsOf(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName));
  if (!value.isUndefined() && !value.isArray()) {
    throw ParseFailure{ std::string("expected an array in ") + aName };
  }
  std::vector<QJsonObject> objects;
  for (const auto& entry : value.toArray()) {
    if (!entry.isObject()) {
      throw ParseFailure{ std::string("expected objects in ") + aName };
    }
    objects.push_back(entry.toObject());
  }
  return objects;
}

// A reply without a revision did not come from the key-value service, for
// example "{}" from a proxy.
std::int64_t
RevisionOf(const QJsonObject& aObject)
{
  const auto revision = Int64Of(ObjectOf(aObject, "header"), "revision");
  if (revision <= 0) {
    throw ParseFailure{ "expected a positive revision in header" };
  }
  return revision;
}

KeyValue
KeyOf(const QJsonObject& aObject)
{
  KeyValue key;
  key.mKey = BytesOf(aObject, "key");
  key.mValue = BytesOf(aObject, "value");
  key.mCreateRevision = Int64Of(aObject, "create_revision");
  key.mModRevision = Int64Of(aObject, "mod_revision");
  key.mVersion = Int64Of(aObject, "version");
  key.mLease = Int64Of(aObject, "lease");
  if (key.mKey.empty()) {
    throw ParseFailure{ "expected a key" };
  }
  return key;
}

std::vector<KeyValue>
KeysOf(const QJsonObject& aRange)
{
  if (BoolOf(aRange, "more")) {
    throw ParseFailure{ "the range reply is not whole" };
  }
  std::vector<KeyValue> keys;
  for (const auto& entry : ObjectsOf(aRange, "kvs")) {
    keys.push_back(KeyOf(entry));
  }
  return keys;
}

QJsonObject
ToJson(const KeyCompare& aCompare)
{
  struct Names
  {
    const char* mTarget;
    const char* mMember;
  };
  static constexpr std::array<Names, 4> kNames = { { { "CREATE",
                                                       "create_revision" },
                                                     { "MOD", "mod_revision" },
                                                     { "VERSION", "version" },
                                                     { "LEASE", "lease" } } };
  const auto& names = kNames.at(static_cast<std::size_t>(aCompare.mField));
  return { { "key", Encode(aCompare.mKey) },
           { "result", "EQUAL" },
           { "target", names.mTarget },
           { names.mMember, Decimal(aCompare.mExpected) } };
}

QJsonObject
RangeObject(const std::string& aKey, bool aPrefix)
{
  QJsonObject range{ { "key", Encode(aKey) } };
  if (aPrefix) {
    range.insert("range_end", Encode(EtcdJson::PrefixEnd(aKey)));
  }
  return range;
}

QJsonObject
ToJson(const KeyOperation& aOperation)
{
  switch (aOperation.mType) {
    case KeyOperation::Type::kPut: {
      QJsonObject put{ { "key", Encode(aOperation.mKey) },
                       { "value", Encode(aOperation.mValue) } };
      if (aOperation.mLease != 0) {
        put.insert("lease", Decimal(aOperation.mLease));
      }
      return { { "request_put", put } };
    }
    case KeyOperation::Type::kDelete:
      return { { "request_delete_range",
                 RangeObject(aOperation.mKey, aOperation.mPrefix) } };
    case KeyOperation::Type::kRange:
      break;
  }
  return { { "request_range",
             RangeObject(aOperation.mKey, aOperation.mPrefix) } };
}

QJsonArray
ToJson(const std::vector<KeyOperation>& aOperations)
{
  QJsonArray array;
  for (const auto& operation : aOperations) {
    array.append(ToJson(operation));
  }
  return array;
}

template<typename T, typename Parser>
Result<T>
Guarded(Parser aParser)
{
  try {
    return aParser();
  } catch (const ParseFailure& failure) {
    return Failure(ErrorCode::kCorrupt, failure.mMessage);
  }
}

void
AddEvent(std::vector<KeyEventBatch>& aBatches, const QJsonObject& aEvent)
{
  KeyEvent event;
  event.mDeleted = aEvent.value(QLatin1String("type")) == "DELETE";
  event.mKey = KeyOf(ObjectOf(aEvent, "kv"));
  const auto revision = event.mKey.mModRevision;
  if (revision <= 0 ||
      (!aBatches.empty() && revision < aBatches.back().mRevision)) {
    throw ParseFailure{ "events are out of order" };
  }
  if (aBatches.empty() || aBatches.back().mRevision != revision) {
    aBatches.push_back({ revision, {} });
  }
  aBatches.back().mEvents.push_back(std::move(event));
}

// The gateway reports an error of a unary call as {"error", "code", "message"}
// and that of a stream as {"error": {"grpc_code", "message"}}.
struct GatewayError
{
  int mCode = -1;
  std::string mMessage;
};

GatewayError
GatewayErrorOf(const QByteArray& aBody)
{
  const auto object = QJsonDocument::fromJson(aBody).object();
  const auto error = object.value(QLatin1String("error"));
  if (error.isObject()) {
    const auto inner = error.toObject();
    return { inner.value(QLatin1String("grpc_code")).toInt(-1),
             inner.value(QLatin1String("message")).toString().toStdString() };
  }
  return { object.value(QLatin1String("code")).toInt(-1),
           object.value(QLatin1String("message"))
             .toString(error.toString())
             .toStdString() };
}

} // namespace

std::string
EtcdJson::PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    const auto last = static_cast<unsigned char>(aPrefix.back());
    if (last < 0xff) {
      aPrefix.back() = static_cast<char>(last + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, '\0');
}

QByteArray
EtcdJson::RangeRequest(const std::string& aKey, bool aPrefix)
{
  return Compact(RangeObject(aKey, aPrefix));
}

QByteArray
EtcdJson::TransactionRequest(const KeyTransaction& aTransaction)
{
  QJsonArray compares;
  for (const auto& compare : aTransaction.mCompares) {
    compares.append(ToJson(compare));
  }
  return Compact({ { "compare", compares },
                   { "success", ToJson(aTransaction.mThen) },
                   { "failure", ToJson(aTransaction.mElse) } });
}

QByteArray
EtcdJson::GrantRequest(std::chrono::seconds aTtl)
{
  return Compact({ { "TTL", Decimal(aTtl.count()) } });
}

QByteArray
EtcdJson::LeaseRequest(std::int64_t aLease)
{
  return Compact({ { "ID", Decimal(aLease) } });
}

QByteArray
EtcdJson::WatchRequest(const std::string& aPrefix, std::int64_t aFromRevision)
{
  // A start revision of 0 would mean "from now" to etcd.
  auto create = RangeObject(aPrefix, true);
  create.insert("start_revision",
                Decimal(std::max<std::int64_t>(aFromRevision, 1)));
  create.insert("progress_notify", true);
  return Compact({ { "create_request", create } });
}

Result<KeyRangeReply>
EtcdJson::ParseRange(const QByteArray& aBody)
{
  return Guarded<KeyRangeReply>([&] {
    const auto object = ParseObject(aBody);
    return KeyRangeReply{ RevisionOf(object), KeysOf(object) };
  });
}

Result<KeyTransactionReply>
EtcdJson::ParseTransaction(const QByteArray& aBody)
{
  return Guarded<KeyTransactionReply>([&] {
    const auto object = ParseObject(aBody);
    KeyTransactionReply reply;
    reply.mRevision = RevisionOf(object);
    reply.mSucceeded = BoolOf(object, "succeeded");
    for (const auto& response : ObjectsOf(object, "responses")) {
      reply.mRanges.push_back(KeysOf(ObjectOf(response, "response_range")));
    }
    return reply;
  });
}

Result<std::int64_t>
EtcdJson::ParseGrant(const QByteArray& aBody)
{
  return Guarded<std::int64_t>([&] {
    const auto id = Int64Of(ParseObject(aBody), "ID");
    if (id == 0) {
      throw ParseFailure{ "expected a lease in ID" };
    }
    return id;
  });
}

Result<std::chrono::seconds>
EtcdJson::ParseKeepAlive(const QByteArray& aBody)
{
  return Guarded<std::chrono::seconds>([&] {
    const auto object = ParseObject(aBody);
    if (!object.contains(QLatin1String("result"))) {
      throw ParseFailure{ "expected a result" };
    }
    const auto ttl = Int64Of(ObjectOf(object, "result"), "TTL");
    return std::chrono::seconds(std::max<std::int64_t>(ttl, 0));
  });
}

Result<bool>
EtcdJson::ParseRevoke(const QByteArray& aBody)
{
  return Guarded<bool>([&] { return RevisionOf(ParseObject(aBody)) > 0; });
}

Result<EtcdWatchMessage>
EtcdJson::ParseWatch(const QByteArray& aLine)
{
  return Guarded<EtcdWatchMessage>([&] {
    const auto object = ParseObject(aLine);
    EtcdWatchMessage message;
    if (object.contains(QLatin1String("error"))) {
      message.mCanceled = true;
      message.mReason = ErrorText(aLine);
      return message;
    }
    const auto result = ObjectOf(object, "result");
    message.mRevision = RevisionOf(result);
    message.mCreated = BoolOf(result, "created");
    message.mCanceled = BoolOf(result, "canceled");
    message.mReason =
      result.value(QLatin1String("cancel_reason")).toString().toStdString();
    message.mCompacted = Int64Of(result, "compact_revision") > 0;
    message.mCanceled = message.mCanceled || message.mCompacted;
    for (const auto& event : ObjectsOf(result, "events")) {
      AddEvent(message.mBatches, event);
    }
    return message;
  });
}

std::string
EtcdJson::ErrorText(const QByteArray& aBody)
{
  const auto error = GatewayErrorOf(aBody);
  return error.mMessage + " (code " + std::to_string(error.mCode) + ")";
}

bool
EtcdJson::ProvesNotApplied(int aHttpStatus, const QByteArray& aBody)
{
  // gRPC codes with which etcd rejects a request before it is proposed or
  // while it is checked: invalid argument, not found, permission denied,
  // resource exhausted, failed precondition, out of range, unauthenticated.
  // "Unavailable" and "deadline exceeded" also occur after a proposal.
  switch (GatewayErrorOf(aBody).mCode) {
    case 3:
    case 5:
    case 7:
    case 8:
    case 9:
    case 11:
    case 16:
      return true;
    default:
      break;
  }
  return aHttpStatus == 400 || aHttpStatus == 401 || aHttpStatus == 403 ||
         aHttpStatus == 404 || aHttpStatus == 405 || aHttpStatus == 413 ||
         aHttpStatus == 429;
}

} // namespace ragwortdeck
