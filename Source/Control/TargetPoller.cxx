#include "Control/TargetPoller.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkProxy>
#include <QNetworkReply>

namespace ragwortdeck {

namespace {

constexpr qint64 kMaxReportBytes = 65'536;
// Largest integer that JSON numbers hold exactly.
constexpr double kMaxExact = 9007199254740992.0;

std::uint64_t
Number(const QJsonObject& aObject, const char* aName)
{
  const auto value = aObject.value(QLatin1String(aName)).toDouble();
  return value > 0 && value <= kMaxExact ? std::uint64_t(value) : 0;
}

} // namespace

Result<LoadReport>
ParseLoadReport(const QByteArray& aJson)
{
  const auto document = QJsonDocument::fromJson(aJson);
  const auto named = document.object().value(QLatin1String("named_metrics"));
  if (!document.isObject() || !(named.isObject() || named.isUndefined())) {
    return Failure(ErrorCode::kCorrupt, "expected an ORCA load report");
  }
  const auto metrics = named.toObject();
  LoadReport report;
  report.mMemoryTokens = Number(metrics, "memory_tokens");
  report.mMemoryUsedTokens = Number(metrics, "memory_used_tokens");
  report.mRunning = std::uint32_t(Number(metrics, "running"));
  report.mWaiting = std::uint32_t(Number(metrics, "waiting"));
  report.mMaxBatch = std::uint32_t(Number(metrics, "max_batch"));
  report.mPreemptions = Number(metrics, "preemptions");
  return report;
}

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
    aCallback(ParseLoadReport(reply->readAll()));
  });
}

} // namespace ragwortdeck
