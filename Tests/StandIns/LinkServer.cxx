#include "StandIns/LinkServer.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <optional>

namespace ragwortdeck {

namespace {

std::optional<LinkMode>
ReadMode(const QJsonObject& aObject, const char* aKey)
{
  const auto text = aObject.value(QLatin1String(aKey)).toString("pass");
  if (text == "pass") {
    return LinkMode::kPass;
  }
  if (text == "stall") {
    return LinkMode::kStall;
  }
  if (text == "drop") {
    return LinkMode::kDrop;
  }
  return std::nullopt;
}

QString
ToText(LinkMode aMode)
{
  switch (aMode) {
    case LinkMode::kPass:
      return "pass";
    case LinkMode::kStall:
      return "stall";
    case LinkMode::kDrop:
      return "drop";
  }
  return "pass";
}

QHttpServerResponse
Refuse(QHttpServerResponse::StatusCode aStatus, const QString& aMessage)
{
  return QHttpServerResponse(QJsonObject{ { "error", aMessage } }, aStatus);
}

} // namespace

LinkServer::LinkServer(const Endpoint& aControl)
  : mControl(aControl)
{
  mHttp.route("/links", [this] {
    QJsonObject links;
    for (const auto& [name, link] : mLinks) {
      const auto& state = link->State();
      links.insert(QString::fromStdString(name),
                   QJsonObject{ { "forward", ToText(state.mForward) },
                                { "backward", ToText(state.mBackward) },
                                { "delay_ms", qint64(state.mDelay.count()) },
                                { "refuse", state.mRefuse } });
    }
    return QHttpServerResponse(links);
  });
  mHttp.route("/links/<arg>",
              QHttpServerRequest::Method::Post,
              [this](const QString& aName, const QHttpServerRequest& aRequest) {
                return Set(aName.toStdString(), aRequest.body());
              });
}

bool
LinkServer::Add(const std::string& aName,
                const Endpoint& aListen,
                const Endpoint& aTarget)
{
  auto link = std::make_unique<LinkRelay>(aListen, aTarget);
  if (link->Listen() == 0) {
    return false;
  }
  mLinks[aName] = std::move(link);
  return true;
}

std::uint16_t
LinkServer::Listen()
{
  const QHostAddress address(QString::fromStdString(mControl.mAddress));
  return mHttp.listen(address, mControl.mPort);
}

QHttpServerResponse
LinkServer::Set(const std::string& aName, const QByteArray& aBody)
{
  const auto it = mLinks.find(aName);
  if (it == mLinks.end()) {
    return Refuse(QHttpServerResponse::StatusCode::NotFound,
                  "no link has this name");
  }
  const auto document = QJsonDocument::fromJson(aBody);
  const auto object = document.object();
  const auto forward = ReadMode(object, "forward");
  const auto backward = ReadMode(object, "backward");
  if (!document.isObject() || !forward || !backward) {
    return Refuse(QHttpServerResponse::StatusCode::BadRequest,
                  "expected an object with modes pass, stall or drop");
  }
  LinkState state;
  state.mForward = *forward;
  state.mBackward = *backward;
  state.mDelay =
    std::chrono::milliseconds(object.value("delay_ms").toInteger(0));
  state.mRefuse = object.value("refuse").toBool(false);
  it->second->SetState(state);
  if (object.value("close").toBool(false)) {
    it->second->CloseAll();
  }
  return QHttpServerResponse(QJsonObject{ { "ok", true } });
}

} // namespace ragwortdeck
