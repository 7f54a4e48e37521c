#include "StandIns/WeightService.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr const char* kWeightsPath = "/weights/";

} // namespace

WeightService::WeightService(const Clock& aClock)
  : mClock(aClock)
  , mFilled(aClock.Now())
{
}

bool
WeightService::TakeToken()
{
  const auto now = mClock.Now();
  const std::chrono::duration<double> passed = now - mFilled;
  mFilled = now;
  mTokens = std::min(std::max(mRate, 1.0), mTokens + passed.count() * mRate);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
WeightService::ServeWeights(const QString& aName, const StandInReply& aReply)
{
  if (!TakeToken()) {
    ++mLimited;
    aReply.Send(429, QJsonObject{ { "error", "rate limit exceeded" } });
    return;
  }
  const auto it = mWeights.find(aName);
  if (it == mWeights.end()) {
    ++mMissing;
    aReply.Send(404, QJsonObject{ { "error", "unknown weights" } });
    return;
  }
  ++mServed;
  aReply.Send(200, QByteArray(it->second, 'w'), "application/octet-stream");
}

void
WeightService::Handle(const QHttpServerRequest& aRequest,
                      const StandInReply& aReply)
{
  const auto path = aRequest.url().path();
  if (path.startsWith(QLatin1String(kWeightsPath))) {
    ServeWeights(path.mid(static_cast<qsizetype>(qstrlen(kWeightsPath))),
                 aReply);
  } else if (path == "/standin/counts") {
    aReply.Send(200,
                QJsonObject{ { "served", static_cast<qint64>(mServed) },
                             { "limited", static_cast<qint64>(mLimited) },
                             { "missing", static_cast<qint64>(mMissing) } });
  } else if (path == "/standin/faults") {
    const auto body = QJsonDocument::fromJson(aRequest.body()).object();
    mRate = body["rate_per_second"].toDouble(mRate);
    aReply.Send(200, QJsonObject{});
  } else {
    aReply.Send(404, QJsonObject{ { "error", "not found" } });
  }
}

} // namespace ragwortdeck
