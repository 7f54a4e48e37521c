#include "Policy/GapHistogram.h"

#include <algorithm>
#include <cmath>

namespace ragwortdeck {

namespace {

constexpr Duration kFine{ 50 };
constexpr Duration kCoarse{ 10'000 };
constexpr Duration kFineEnd{ 1'000'000 };
constexpr Duration kEnd{ 600'000'000 };
constexpr std::size_t kFineBuckets = kFineEnd / kFine;
constexpr std::size_t kCoarseBuckets = (kEnd - kFineEnd) / kCoarse;

std::size_t
BucketOf(Duration aGap)
{
  const auto gap = std::clamp(aGap, Duration::zero(), kEnd - Duration(1));
  return gap < kFineEnd ? gap / kFine
                        : kFineBuckets + ((gap - kFineEnd) / kCoarse);
}

Duration
UpperEdge(std::size_t aBucket)
{
  const auto n = static_cast<std::int64_t>(aBucket) + 1;
  const auto fine = static_cast<std::int64_t>(kFineBuckets);
  return n <= fine ? kFine * n : kFineEnd + kCoarse * (n - fine);
}

} // namespace

GapHistogram::GapHistogram()
  : mBuckets(kFineBuckets + kCoarseBuckets)
{
}

void
GapHistogram::Add(Duration aGap)
{
  ++mBuckets[BucketOf(aGap)];
  ++mCount;
}

void
GapHistogram::Merge(const GapHistogram& aOther)
{
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    mBuckets[i] += aOther.mBuckets[i];
  }
  mCount += aOther.mCount;
}

Duration
GapHistogram::Quantile(double aQuantile) const
{
  if (mCount == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::uint64_t>(
    std::ceil(aQuantile * static_cast<double>(mCount)));
  std::uint64_t seen = 0;
  std::size_t bucket = 0;
  while (seen + mBuckets[bucket] < rank) {
    seen += mBuckets[bucket++];
  }
  return UpperEdge(bucket);
}

} // namespace ragwortdeck
