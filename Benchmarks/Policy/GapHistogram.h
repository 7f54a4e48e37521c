#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <vector>

namespace ragwortdeck {

/// \brief Histogram of durations with a resolution of 50 us below one second
/// and of 10 ms up to 600 s.
class GapHistogram
{
public:
  GapHistogram();

  void Add(Duration aGap);
  void Merge(const GapHistogram& aOther);
  /// Upper edge of the bucket that holds the quantile; zero without data.
  Duration Quantile(double aQuantile) const;
  std::uint64_t Count() const { return mCount; }

private:
  std::vector<std::uint64_t> mBuckets;
  std::uint64_t mCount = 0;
};

} // namespace ragwortdeck
