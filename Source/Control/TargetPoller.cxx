#include "Control/TargetPoller.h"

#include "Targets/LoadReportJson.h"

#include <QNetworkProxy>
#include <QNetworkReply>

namespace ragwortdeck {

namespace {

constexpr qint64 kMaxReportBytes = 65'536;

} // namespace

TargetPoller::TargetPoller(std::chrono::milliseconds aTimeout)
  : mTimeout(aTimeout)
{
  mManager.setProxy(QNetworkProxy::NoProxy);
}

void
TargetPoller::Poll(const Target& aTarget,
                   const LoadSharing::ReportCallback& aCallback)
{
  QNetworkRequest request(
    QUrl(QString::fromStdString("http://" + aTarget.mAddress + "/load")));
  request.setTransferTimeout(int(mTimeout.count()));
  auto* reply = mManager.get(request);
  QObject::connect(reply,
                   &QNetworkReply::downloadProgress,
                   reply,
                   [reply](qint64 aReceived, qint64) {
                     if (aReceived > kMaxReportBytes) {
                       reply->abort();
                     }
                   });
  QObject::connect(reply, &QNetworkReply::finished, reply, [reply, aCallback] {
    reply->deleteLater();
    if (reply->error() != QNetworkReply::NoError) {
      aCallback(
        Failure(ErrorCode::kUnavailable, reply->errorString().toStdString()));
      return;
    }
    const auto body = reply->readAll();
    aCallback(ParseLoadReport({ body.data(), std::size_t(body.size()) }));
  });
}

} // namespace ragwortdeck
