#pragma once

#include "Core/Clock.h"

#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace ragwortdeck {

/// \brief Count, sum and streaming quantiles of a duration in seconds.
class DurationSummary
{
public:
  DurationSummary();
  void Add(Duration aDuration);
  /// Lines of a Prometheus summary.
  std::string ToPrometheus(const std::string& aName,
                           const std::string& aLabels) const;

private:
  boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::extended_p_square>>
    mValues;
};

/// \brief Counters of one router thread. Only that thread writes; the lock is
/// contended only while the metrics are read.
class RouterMetrics
{
public:
  /// A request ended; aOutcome is "completed" or the code of its verdict.
  void OnEnded(const std::string& aOutcome);
  void OnFirstToken(Duration aSinceArrival);
  /// Time between two tokens; a gap over aStallThreshold counts as a stall.
  void OnToken(Duration aSinceLast, Duration aStallThreshold);
  void OnResumed(std::uint32_t aCount);
  void OnCancelled();
  void OnStreams(int aChange) { mOpenStreams += aChange; }
  int OpenStreams() const { return mOpenStreams; }

  /// Text for one thread; aThread is the value of the "thread" label.
  std::string ToPrometheus(const std::string& aThread) const;
  /// Type lines, which the text format allows once per metric.
  static std::string Header();

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::uint64_t> mEnded;
  DurationSummary mFirstToken;
  DurationSummary mInterToken;
  std::uint64_t mStalls = 0;
  double mStallSeconds = 0;
  std::uint64_t mResumed = 0;
  std::uint64_t mCancelled = 0;
  std::atomic<int> mOpenStreams{ 0 };
};

} // namespace ragwortdeck
