#include "Entry/EntryMetrics.h"

#include <sstream>

namespace ragwortdeck {

namespace {

constexpr double kMicrosecondsPerMs = 1000;

/// Adds a suffix and a label to the name of a metric that may have labels.
std::string
WithLabel(const std::string& aName,
          const std::string& aSuffix,
          const std::string& aLabel)
{
  const auto brace = aName.find('{');
  if (brace == std::string::npos) {
    return aName + aSuffix + (aLabel.empty() ? "" : "{" + aLabel + "}");
  }
  auto labels = aName.substr(brace + 1);
  if (!aLabel.empty()) {
    labels = aLabel + "," + labels;
  }
  return aName.substr(0, brace) + aSuffix + "{" + labels;
}

} // namespace

void
EntryMetrics::Observe(const std::string& aName, Duration aTook)
{
  auto& histogram = mHistograms[aName];
  const double ms = static_cast<double>(aTook.count()) / kMicrosecondsPerMs;
  std::size_t bucket = 0;
  while (bucket < kBucketsMs.size() && ms > kBucketsMs[bucket]) {
    ++bucket;
  }
  ++histogram.mCounts[bucket];
  histogram.mSumMs += ms;
}

std::uint64_t
EntryMetrics::Value(const std::string& aName) const
{
  const auto it = mCounters.find(aName);
  return it == mCounters.end() ? 0 : it->second;
}

std::string
EntryMetrics::ToText() const
{
  std::ostringstream out;
  for (const auto& [name, value] : mCounters) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, histogram] : mHistograms) {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kBucketsMs.size(); ++i) {
      sum += histogram.mCounts[i];
      out << WithLabel(
               name, "_bucket", "le=\"" + std::to_string(kBucketsMs[i]) + "\"")
          << ' ' << sum << '\n';
    }
    sum += histogram.mCounts.back();
    out << WithLabel(name, "_bucket", "le=\"+Inf\"") << ' ' << sum << '\n';
    out << WithLabel(name, "_sum", "") << ' ' << histogram.mSumMs << '\n';
    out << WithLabel(name, "_count", "") << ' ' << sum << '\n';
  }
  return out.str();
}

} // namespace ragwortdeck
