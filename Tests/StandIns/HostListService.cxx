#include "StandIns/HostListService.h"

namespace ragwortdeck {

HostListService::HostListService(Scheduler& aScheduler)
  : mScheduler(aScheduler)
  , mAlive(std::make_shared<int>(0))
{
}

void
HostListService::SetList(QByteArray aJson)
{
  std::weak_ptr<int> alive = mAlive;
  mScheduler.Post(mLag, [this, alive, aJson = std::move(aJson)] {
    if (alive.lock()) {
      mList = aJson;
    }
  });
}

void
HostListService::Handle(const QHttpServerRequest& aRequest,
                        const StandInReply& aReply)
{
  if (aRequest.url().path().startsWith("/standin/")) {
    ServeControl(aRequest, aReply);
  } else if (mDown) {
    aReply.Drop();
  } else {
    ++mGets;
    aReply.Send(200, mList);
  }
}

void
HostListService::ServeControl(const QHttpServerRequest& aRequest,
                              const StandInReply& aReply)
{
  const auto path = aRequest.url().path();
  if (path == "/standin/counts") {
    aReply.Send(200, QJsonObject{ { "get", static_cast<qint64>(mGets) } });
    return;
  }
  const auto body = QJsonDocument::fromJson(aRequest.body());
  if (path == "/standin/hosts" && body.isArray()) {
    SetList(aRequest.body());
  } else if (path == "/standin/faults" && body.isObject()) {
    const auto faults = body.object();
    mDown = faults["down"].toBool(mDown);
    if (faults.contains("lag_ms")) {
      mLag = std::chrono::milliseconds(faults["lag_ms"].toInteger());
    }
  } else {
    aReply.Send(400, QJsonObject{ { "error", "expected hosts or faults" } });
    return;
  }
  aReply.Send(200, QJsonObject{});
}

} // namespace ragwortdeck
