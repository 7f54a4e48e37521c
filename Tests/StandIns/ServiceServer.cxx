#include "StandIns/ServiceServer.h"

#include "StandIns/EngineHttp.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpServer>

namespace ragwortdeck {

ServiceServer::ServiceServer(ServiceOptions aOptions)
  : mOptions(aOptions)
{
}

std::uint16_t
ServiceServer::Listen(const Endpoint& aEndpoint)
{
  mHttp = std::make_unique<QHttpServer>();
  mHttp->setMissingHandler(
    [this](const QHttpServerRequest& aRequest, QHttpServerResponder&& aReply) {
      Handle(aRequest, *aReply.socket());
    });
  return mHttp->listen(QHostAddress(QString::fromStdString(aEndpoint.mAddress)),
                       aEndpoint.mPort);
}

void
ServiceServer::Stop()
{
  mHttp.reset();
}

std::uint64_t
ServiceServer::Runs(const std::string& aKey) const
{
  const auto found = mRuns.find(aKey);
  return found == mRuns.end() ? 0 : found->second;
}

QByteArray
ServiceServer::RunsJson() const
{
  QJsonObject runs;
  for (const auto& [key, count] : mRuns) {
    runs[QString::fromStdString(key)] = double(count);
  }
  const QJsonObject report{ { "runs", runs },
                            { "look_ups", double(mLookUps) } };
  return QJsonDocument(report).toJson(QJsonDocument::Compact);
}

void
ServiceServer::Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket)
{
  const auto path = aRequest.url().path();
  if (path == "/runs") {
    WriteReply(aSocket, 200, RunsJson());
    return;
  }
  if (path == "/load") {
    // An ORCA load report; a call lasts only for the reply delay.
    WriteReply(aSocket, 200, R"({"named_metrics":{"running":0}})");
    return;
  }
  if (mDrops > 0) {
    --mDrops;
    aSocket.abort();
    return;
  }
  const auto key = aRequest.value("Idempotency-Key").toStdString();
  if (aRequest.method() == QHttpServerRequest::Method::Post) {
    Run(path, key, aRequest.body(), aSocket);
    return;
  }
  if (!key.empty()) {
    const auto found = mOutcomes.find(key);
    const bool isKnown = found != mOutcomes.end();
    WriteReply(aSocket, isKnown ? 200 : 404, isKnown ? found->second : "{}");
    return;
  }
  ++mLookUps;
  if (mIgnores > 0) {
    --mIgnores;
    return;
  }
  const QJsonObject answer{ { "path", path },
                            { "query", aRequest.url().query() },
                            { "look_up", double(mLookUps) } };
  QPointer<QTcpSocket> socket(&aSocket);
  mScheduler.Post(mOptions.mDelay, [socket, answer] {
    if (socket) {
      WriteReply(
        *socket, 200, QJsonDocument(answer).toJson(QJsonDocument::Compact));
    }
  });
}

void
ServiceServer::Run(const QString& aPath,
                   const std::string& aKey,
                   const QByteArray& aBody,
                   QTcpSocket& aSocket)
{
  auto& outcome = mOutcomes[aKey];
  const bool isRepeat =
    mOptions.mKnowsKeys && !aKey.empty() && !outcome.isEmpty();
  if (!isRepeat) {
    const auto count = ++mRuns[aKey];
    const QJsonObject done{ { "path", aPath },
                            { "run", double(count) },
                            { "body_bytes", double(aBody.size()) } };
    outcome = QJsonDocument(done).toJson(QJsonDocument::Compact);
  }
  QPointer<QTcpSocket> socket(&aSocket);
  mScheduler.Post(mOptions.mDelay, [this, socket, text = outcome] {
    if (!socket) {
      return;
    }
    if (mLosesReplies) {
      socket->abort();
    } else {
      WriteReply(*socket, 200, text);
    }
  });
}

} // namespace ragwortdeck
