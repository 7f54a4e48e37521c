#include "StandIns/EngineServer.h"

#include "StandIns/EngineHttp.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QUrlQuery>
#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

constexpr int kBacklog = 4096;
constexpr Duration kWeightRetry{ 1'000'000 };
const QByteArray kNotFound = R"({"error":{"code":"not_found"}})";

/// Tokens of a prompt, at four bytes each.
std::uint32_t
CountPromptTokens(const QByteArray& aInput)
{
  return std::uint32_t(aInput.size() / 4 + 1);
}

QByteArray
InputText(const QJsonValue& aInput)
{
  return aInput.isString()
           ? aInput.toString().toUtf8()
           : QJsonDocument(aInput.toArray()).toJson(QJsonDocument::Compact);
}

std::optional<EngineOrder>
ReadOrder(const QByteArray& aJson)
{
  const auto body = QJsonDocument::fromJson(aJson).object();
  const auto text = [&body](const char* aName) {
    return body[QLatin1String(aName)].toString().toStdString();
  };
  const auto action = OrderActionFromText(text("action"));
  if (!action || text("id").empty()) {
    return std::nullopt;
  }
  EngineOrder order;
  order.mId = text("id");
  order.mAction = *action;
  order.mModel = ModelName(text("model"));
  order.mVersion = text("version");
  order.mAdapter = text("adapter");
  order.mRole = text("role");
  order.mFencing = body["fencing"].toInteger();
  order.mExpiresIn = std::chrono::milliseconds(body["expires_in_ms"].toInt());
  return order;
}

} // namespace

EngineServer::EngineServer(EngineOptions aOptions)
  : mModel(mScheduler, std::move(aOptions))
{
  mModel.SetOnStep([this] { Pump(); });
}

EngineServer::~EngineServer()
{
  Stop();
}

std::uint16_t
EngineServer::Listen(const Endpoint& aEndpoint)
{
  mHttp = std::make_unique<QHttpServer>();
  mHttp->setMissingHandler(
    [this](const QHttpServerRequest& aRequest, QHttpServerResponder&& aReply) {
      Handle(aRequest, *aReply.socket());
    });
  auto server = std::make_unique<QTcpServer>();
  // Qt's default of 50 drops connection attempts of many streams that start
  // together; TCP then repeats them only after 1 s.
  server->setListenBacklogSize(kBacklog);
  const QHostAddress address(QString::fromStdString(aEndpoint.mAddress));
  if (!server->listen(address, aEndpoint.mPort)) {
    return 0;
  }
  const auto port = server->serverPort();
  mHttp->bind(server.release());
  return port;
}

void
EngineServer::Stop()
{
  for (const auto& reader : mReaders) {
    Detach(reader);
  }
  mReaders.clear();
  if (mHttp) {
    for (auto* server : mHttp->servers()) {
      server->close();
      for (auto* socket : server->findChildren<QTcpSocket*>()) {
        socket->abort();
      }
    }
  }
  mHttp.reset();
}

void
EngineServer::Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket)
{
  const auto path = aRequest.url().path();
  const bool isPost = aRequest.method() == QHttpServerRequest::Method::Post;
  if (path == "/v1/responses" && isPost) {
    HandleCreate(aRequest, aSocket);
  } else if (path.startsWith("/v1/responses/")) {
    HandleResponse(aRequest, path.section('/', 3, 3), aSocket);
  } else if (path == "/load") {
    WriteReply(aSocket, 200, mModel.LoadJson());
  } else if (path == "/state") {
    WriteReply(aSocket, 200, mModel.StateJson());
  } else if (path == "/orders" && isPost) {
    HandleOrder(aRequest, aSocket);
  } else {
    WriteReply(aSocket, 404, kNotFound);
  }
}

void
EngineServer::HandleCreate(const QHttpServerRequest& aRequest,
                           QTcpSocket& aSocket)
{
  const auto body = QJsonDocument::fromJson(aRequest.body()).object();
  const auto model = body["model"].toString().toStdString();
  if (mRefusal != 0) {
    WriteReply(aSocket, mRefusal, R"({"error":{"code":"refused"}})");
    return;
  }
  if (!mModel.HasModel(model)) {
    WriteReply(aSocket, 404, R"({"error":{"code":"model_not_found"}})");
    return;
  }
  const auto input = InputText(body["input"]);
  Generation generation;
  // vLLM lets the client choose the id of the response in the same way.
  generation.mId = body["request_id"].toString().toStdString();
  if (generation.mId.empty()) {
    generation.mId = "resp_" + std::to_string(mNextId++);
  }
  generation.mModel = model;
  if (body["metadata"].isObject()) {
    generation.mMetadata =
      QJsonDocument(body["metadata"].toObject()).toJson(QJsonDocument::Compact);
  }
  generation.mInputHash = XXH3_64bits(input.data(), std::size_t(input.size()));
  generation.mPromptTokens = CountPromptTokens(input);
  const auto& options = mModel.Options();
  const auto span =
    options.mMaxOutputTokens - options.mMinOutputTokens + std::uint64_t(1);
  const auto chosen =
    options.mMinOutputTokens + std::uint32_t(mRandom.Below(span));
  const auto wanted = body["output_tokens"].toInt(int(chosen));
  const auto limit = body["max_output_tokens"].toInt(wanted);
  generation.mOutputTokens =
    std::uint32_t(std::max(1, std::min(wanted, limit)));
  auto* created = mModel.Create(std::move(generation));
  if (!created) {
    WriteReply(aSocket, 409, R"({"error":{"code":"duplicate_id"}})");
    return;
  }
  AddReader(*created, 0, aSocket);
}

void
EngineServer::HandleResponse(const QHttpServerRequest& aRequest,
                             const QString& aId,
                             QTcpSocket& aSocket)
{
  const auto id = aId.toStdString();
  auto* generation = mModel.Find(id);
  if (!generation) {
    WriteReply(aSocket, 404, kNotFound);
    return;
  }
  if (aRequest.url().path().endsWith("/cancel")) {
    mModel.Cancel(id);
    WriteReply(aSocket, 200, generation->ResponseJson());
    Pump();
    return;
  }
  const auto query = aRequest.query();
  if (query.queryItemValue("stream") != "true") {
    WriteReply(aSocket, 200, generation->ResponseJson());
    return;
  }
  const auto after = query.queryItemValue("starting_after");
  const auto next = after.isEmpty() ? 0 : after.toLongLong() + 1;
  AddReader(*generation, next, aSocket);
}

void
EngineServer::HandleOrder(const QHttpServerRequest& aRequest,
                          QTcpSocket& aSocket)
{
  const auto order = ReadOrder(aRequest.body());
  if (!order) {
    WriteReply(aSocket, 400, R"({"error":{"code":"bad_order"}})");
    return;
  }
  WriteReply(aSocket, mModel.Execute(*order), mModel.StateJson());
}

void
EngineServer::SetWeightStore(const Endpoint& aWeightStore)
{
  const auto base =
    "http://" + QString::fromStdString(ToText(aWeightStore)) + "/weights/";
  mModel.Orders().mFetch = [this, base](const EngineOrder& aOrder,
                                        const std::function<void()>& aDone) {
    const auto name = aOrder.mModel.Value() + "-" + aOrder.mVersion;
    FetchWeights(QUrl(base + QString::fromStdString(name)), aDone);
  };
}

void
EngineServer::FetchWeights(const QUrl& aUrl, const std::function<void()>& aDone)
{
  auto* reply = mNetwork.get(QNetworkRequest(aUrl));
  QObject::connect(
    reply, &QNetworkReply::finished, this, [this, reply, aUrl, aDone] {
      reply->deleteLater();
      if (reply->error() == QNetworkReply::NoError) {
        aDone();
        return;
      }
      mScheduler.Post(kWeightRetry,
                      [this, aUrl, aDone] { FetchWeights(aUrl, aDone); });
    });
}

void
EngineServer::AddReader(Generation& aGeneration,
                        std::int64_t aNext,
                        QTcpSocket& aSocket)
{
  ++aGeneration.mReaders;
  WriteStreamHead(aSocket);
  mReaders.push_back({ QPointer<QTcpSocket>(&aSocket),
                       aGeneration.mId,
                       aNext,
                       ++mConnections[aGeneration.mId] });
  if (!Pump(mReaders.back())) {
    Detach(mReaders.back());
    mReaders.pop_back();
  }
}

void
EngineServer::Detach(const Reader& aReader)
{
  if (auto* generation = mModel.Find(aReader.mGeneration)) {
    --generation->mReaders;
    generation->mLastRead = mScheduler.Now();
  }
}

void
EngineServer::Pump()
{
  for (auto it = mReaders.begin(); it != mReaders.end();) {
    if (Pump(*it)) {
      ++it;
    } else {
      Detach(*it);
      it = mReaders.erase(it);
    }
  }
}

bool
EngineServer::Pump(Reader& aReader)
{
  const auto* generation = mModel.Find(aReader.mGeneration);
  if (!generation || !aReader.mSocket ||
      aReader.mSocket->state() != QAbstractSocket::ConnectedState) {
    return false;
  }
  QByteArray text;
  const auto count = generation->EventCount();
  for (; aReader.mNext < count && !aReader.mStalled; ++aReader.mNext) {
    const auto sequence = aReader.mNext;
    const auto fault =
      mChooseFault ? mChooseFault(*generation, sequence, aReader.mConnection)
                   : StreamFault::kNone;
    switch (fault) {
      case StreamFault::kNone:
        text += generation->EventText(sequence);
        break;
      case StreamFault::kDuplicate:
        text += generation->EventText(sequence);
        text += generation->EventText(sequence);
        break;
      case StreamFault::kSkip:
        break;
      case StreamFault::kSwap:
        if (sequence + 1 < count) {
          text += generation->EventText(sequence + 1);
          ++aReader.mNext;
        }
        text += generation->EventText(sequence);
        break;
      case StreamFault::kDrop:
        if (!text.isEmpty()) {
          WriteChunk(*aReader.mSocket, text);
          aReader.mSocket->flush();
        }
        aReader.mSocket->abort();
        return false;
      case StreamFault::kStall:
        aReader.mStalled = true;
        break;
    }
  }
  if (!text.isEmpty()) {
    WriteChunk(*aReader.mSocket, text);
  }
  if (aReader.mStalled || !generation->IsEnded()) {
    return true;
  }
  WriteStreamEnd(*aReader.mSocket);
  return false;
}

} // namespace ragwortdeck
