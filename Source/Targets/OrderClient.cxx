#include "Targets/OrderClient.h"

#include "Core/HttpStatus.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxReplyBytes = 4 << 20;

void
AddText(QJsonObject& aJson, const QString& aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aJson[aName] = QString::fromStdString(aValue);
  }
}

LoadedModel
ModelFromJson(const QJsonObject& aJson)
{
  LoadedModel model;
  model.mModel = ModelName(aJson["model"].toString().toStdString());
  model.mVersion = aJson["version"].toString().toStdString();
  model.mReady = aJson["ready"].toBool();
  for (const auto& adapter : aJson["adapters"].toArray()) {
    model.mAdapters.push_back(adapter.toString().toStdString());
  }
  return model;
}

OrderReport
ReportOf(const TransferEnd& aEnd)
{
  // A part of an answer says nothing of the order.
  if (aEnd.mKind != TransferEndKind::kReplied) {
    return OrderReport::kUnknown;
  }
  if (aEnd.mStatus == 409 || aEnd.mStatus == 412) {
    return OrderReport::kStale;
  }
  return aEnd.mStatus < 300 ? OrderReport::kAccepted : OrderReport::kRefused;
}

} // namespace

std::string
EncodeEngineOrder(const EngineOrder& aOrder)
{
  QJsonObject json{ { "id", QString::fromStdString(aOrder.mId) },
                    { "action", QString::fromLatin1(ToText(aOrder.mAction)) },
                    { "fencing", qint64(aOrder.mFencing) },
                    { "expires_in_ms", qint64(aOrder.mExpiresIn.count()) } };
  AddText(json, "model", aOrder.mModel.Value());
  AddText(json, "version", aOrder.mVersion);
  AddText(json, "adapter", aOrder.mAdapter);
  AddText(json, "role", aOrder.mRole);
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

Result<EngineState>
DecodeEngineState(const std::string& aJson)
{
  const auto document =
    QJsonDocument::fromJson(QByteArray::fromStdString(aJson));
  const auto json = document.object();
  if (!json["models"].isArray()) {
    return Failure(ErrorCode::kCorrupt, "engine state has no list \"models\"");
  }
  EngineState state;
  state.mFencing = json["fencing"].toInteger();
  state.mRole = json["role"].toString().toStdString();
  state.mMemoryFreeBytes =
    std::uint64_t(std::max<qint64>(0, json["memory_free_bytes"].toInteger()));
  for (const auto& model : json["models"].toArray()) {
    auto loaded = ModelFromJson(model.toObject());
    if (loaded.mModel.IsEmpty()) {
      return Failure(ErrorCode::kCorrupt,
                     "engine state has a model without a name");
    }
    state.mModels.push_back(std::move(loaded));
  }
  return state;
}

OrderClient::OrderClient(std::chrono::milliseconds aTimeout)
  : mTimeout(aTimeout)
  , mCalls(kMaxReplyBytes)
{
}

HttpCall
OrderClient::CallTo(const Target& aEngine, const char* aPath) const
{
  HttpCall call;
  call.mUrl = "http://" + aEngine.mAddress + aPath;
  call.mConnectTimeout = mTimeout;
  call.mTimeout = mTimeout;
  return call;
}

void
OrderClient::ReadState(const Target& aEngine,
                       std::function<void(Result<EngineState>)> aCallback)
{
  mCalls.Start(CallTo(aEngine, "/state"),
               [callback = std::move(aCallback)](const TransferEnd& aEnd,
                                                 const std::string& aBody) {
                 if (aEnd.mKind != TransferEndKind::kReplied ||
                     aEnd.mStatus != kStatusOk) {
                   callback(Failure(ErrorCode::kUnavailable,
                                    aEnd.mMessage + " (status " +
                                      std::to_string(aEnd.mStatus) + ")"));
                   return;
                 }
                 callback(DecodeEngineState(aBody));
               });
}

void
OrderClient::Send(const Target& aEngine,
                  const EngineOrder& aOrder,
                  std::function<void(OrderReport)> aCallback)
{
  auto call = CallTo(aEngine, "/orders");
  call.mMethod = "POST";
  call.mHeaders = { "Content-Type: application/json" };
  call.mBody = EncodeEngineOrder(aOrder);
  mCalls.Start(call,
               [callback = std::move(aCallback)](const TransferEnd& aEnd,
                                                 const std::string&) {
                 callback(ReportOf(aEnd));
               });
}

} // namespace ragwortdeck
