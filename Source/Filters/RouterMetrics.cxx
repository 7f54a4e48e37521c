#include "Filters/RouterMetrics.h"

#include "Core/ErrorGuard.h"
#include "Targets/CurlMulti.h"

#include <array>
#include <sstream>

namespace ragwortdeck {

namespace {

namespace acc = boost::accumulators;

/// Quantiles that the extended P-square algorithm estimates and that are
/// reported.
constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.95, 0.99 };
/// The algorithm keeps two markers per quantile and three more.
constexpr std::size_t kMarkers = 2 * kQuantiles.size() + 3;
constexpr double kMicrosPerSecond = 1e6;

double
ToSeconds(Duration aDuration)
{
  return double(aDuration.count()) / kMicrosPerSecond;
}

} // namespace

DurationSummary::DurationSummary()
  : mValues(acc::tag::extended_p_square::probabilities = kQuantiles)
{
}

void
DurationSummary::Add(Duration aDuration)
{
  mValues(ToSeconds(aDuration));
}

std::string
DurationSummary::ToPrometheus(const std::string& aName,
                              const std::string& aLabels) const
{
  std::ostringstream text;
  const auto count = acc::count(mValues);
  // The estimate needs more samples than it has markers.
  if (count > kMarkers) {
    const auto heights = acc::extended_p_square(mValues);
    for (std::size_t n = 0; n < kQuantiles.size(); ++n) {
      text << aName << "{" << aLabels << ",quantile=\"" << kQuantiles[n]
           << "\"} " << heights[long(n)] << "\n";
    }
  }
  text << aName << "_sum{" << aLabels << "} " << acc::sum(mValues) << "\n"
       << aName << "_count{" << aLabels << "} " << count << "\n";
  return text.str();
}

void
RouterMetrics::OnEnded(const std::string& aOutcome)
{
  const std::lock_guard lock(mMutex);
  ++mEnded[aOutcome];
}

void
RouterMetrics::OnFirstToken(Duration aSinceArrival)
{
  const std::lock_guard lock(mMutex);
  mFirstToken.Add(aSinceArrival);
}

void
RouterMetrics::OnToken(Duration aSinceLast, Duration aStallThreshold)
{
  const std::lock_guard lock(mMutex);
  mInterToken.Add(aSinceLast);
  if (aSinceLast > aStallThreshold) {
    ++mStalls;
    mStallSeconds += ToSeconds(aSinceLast - aStallThreshold);
  }
}

void
RouterMetrics::OnResumed(std::uint32_t aCount)
{
  const std::lock_guard lock(mMutex);
  mResumed += aCount;
}

void
RouterMetrics::OnCancelled()
{
  const std::lock_guard lock(mMutex);
  ++mCancelled;
}

std::string
RouterMetrics::Header()
{
  return "# TYPE ragwort_requests_total counter\n"
         "# TYPE ragwort_first_token_seconds summary\n"
         "# TYPE ragwort_inter_token_seconds summary\n"
         "# TYPE ragwort_stalls_total counter\n"
         "# TYPE ragwort_stall_seconds_total counter\n"
         "# TYPE ragwort_resumes_total counter\n"
         "# TYPE ragwort_cancels_total counter\n"
         "# TYPE ragwort_open_streams gauge\n"
         "# TYPE ragwort_unexpected_errors_total counter\n"
         "ragwort_unexpected_errors_total " +
         std::to_string(CaughtErrors()) +
         "\n"
         "# TYPE ragwort_refused_replies_total counter\n"
         "ragwort_refused_replies_total " +
         std::to_string(CurlMulti::CountRefused()) + "\n";
}

std::string
RouterMetrics::ToPrometheus(const std::string& aThread) const
{
  const std::lock_guard lock(mMutex);
  const auto labels = "thread=\"" + aThread + "\"";
  std::ostringstream text;
  for (const auto& [outcome, count] : mEnded) {
    text << "ragwort_requests_total{" << labels << ",outcome=\"" << outcome
         << "\"} " << count << "\n";
  }
  text << mFirstToken.ToPrometheus("ragwort_first_token_seconds", labels)
       << mInterToken.ToPrometheus("ragwort_inter_token_seconds", labels);
  text << "ragwort_stalls_total{" << labels << "} " << mStalls << "\n"
       << "ragwort_stall_seconds_total{" << labels << "} " << mStallSeconds
       << "\n"
       << "ragwort_resumes_total{" << labels << "} " << mResumed << "\n"
       << "ragwort_cancels_total{" << labels << "} " << mCancelled << "\n"
       << "ragwort_open_streams{" << labels << "} " << mOpenStreams << "\n";
  return text.str();
}

} // namespace ragwortdeck
