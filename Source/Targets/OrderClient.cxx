#include "Targets/OrderClient.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr qint64 kMaxStateBytes = 4 << 20;

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
ReportOf(QNetworkReply& aReply)
{
  const auto status =
    aReply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  if (status >= 200 && status < 300) {
    return OrderReport::kAccepted;
  }
  if (status == 409 || status == 412) {
    return OrderReport::kStale;
  }
  // Without a status nothing is certain, not even after a refused connection:
  // QNetworkAccessManager sends a request again when a kept connection closes,
  // and only the last error is seen here.
  return status != 0 ? OrderReport::kRefused : OrderReport::kUnknown;
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
{
  mNetwork.setAutoDeleteReplies(true);
}

QNetworkRequest
OrderClient::RequestTo(const Target& aEngine, const char* aPath) const
{
  QNetworkRequest request(QUrl("http://" +
                               QString::fromStdString(aEngine.mAddress) +
                               QString::fromLatin1(aPath)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  // A redirect would take an order to a host that was not chosen.
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  return request;
}

void
OrderClient::Bound(QNetworkReply* aReply) const
{
  // The manager's own transfer timeout begins again with each byte.
  QTimer::singleShot(mTimeout, aReply, [aReply] { aReply->abort(); });
}

void
OrderClient::ReadState(const Target& aEngine,
                       std::function<void(Result<EngineState>)> aCallback)
{
  auto* reply = mNetwork.get(RequestTo(aEngine, "/state"));
  Bound(reply);
  QObject::connect(
    reply,
    &QNetworkReply::finished,
    &mNetwork,
    [reply, callback = std::move(aCallback)] {
      if (reply->error() != QNetworkReply::NoError) {
        callback(
          Failure(ErrorCode::kUnavailable, reply->errorString().toStdString()));
        return;
      }
      callback(DecodeEngineState(reply->read(kMaxStateBytes).toStdString()));
    });
}

void
OrderClient::Send(const Target& aEngine,
                  const EngineOrder& aOrder,
                  std::function<void(OrderReport)> aCallback)
{
  const auto body = QByteArray::fromStdString(EncodeEngineOrder(aOrder));
  auto* reply = mNetwork.post(RequestTo(aEngine, "/orders"), body);
  Bound(reply);
  QObject::connect(
    reply,
    &QNetworkReply::finished,
    &mNetwork,
    [reply, callback = std::move(aCallback)] { callback(ReportOf(*reply)); });
}

} // namespace ragwortdeck
