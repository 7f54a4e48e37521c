#pragma once

#include "Core/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace ragwortdeck {

/// \brief Counters and latency histograms of an entry process.
class EntryMetrics
{
public:
  /// Upper bounds of the histogram buckets, in milliseconds.
  static constexpr std::array kBucketsMs = { 5,   10,   25,   50,   100,  250,
                                             500, 1000, 2500, 5000, 10000 };

  void Count(const std::string& aName, std::uint64_t aBy = 1)
  {
    mCounters[aName] += aBy;
  }
  void Observe(const std::string& aName, Duration aTook);
  std::uint64_t Value(const std::string& aName) const;
  /// Formats all metrics in the Prometheus text format.
  std::string ToText() const;

private:
  struct Histogram
  {
    std::array<std::uint64_t, kBucketsMs.size() + 1> mCounts{};
    double mSumMs = 0;
  };
  std::map<std::string, std::uint64_t> mCounters;
  std::map<std::string, Histogram> mHistograms;
};

} // namespace ragwortdeck
