#pragma once

#include "Core/Clock.h"
#include "StandIns/StandInHttpServer.h"

#include <map>

namespace ragwortdeck {

/// \brief Stand-in of the rate-limited weight store.
///
/// GET /weights/<name> returns the named weights, 404 for an unknown name and
/// 429 with Retry-After above the rate. GET /standin/counts returns {"served",
/// "limited", "missing"}; POST /standin/faults takes {"rate_per_second"}.
class WeightService : public StandInHttpServer
{
public:
  explicit WeightService(const Clock& aClock);

  /// Requests per second; also the largest burst.
  double mRate = 2;
  /// Size in bytes of the weights by name.
  std::map<QString, qint64> mWeights;
  std::uint64_t mServed = 0;
  std::uint64_t mLimited = 0;
  std::uint64_t mMissing = 0;

protected:
  void Handle(const QHttpServerRequest& aRequest,
              const StandInReply& aReply) override;

private:
  bool TakeToken();
  void ServeWeights(const QString& aName, const StandInReply& aReply);

  const Clock& mClock;
  double mTokens = 1;
  MonotonicTime mFilled;
};

} // namespace ragwortdeck
