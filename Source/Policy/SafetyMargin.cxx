#include "Policy/SafetyMargin.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr double kMaxMargin = 0.25;
/// Added by a report with new preemptions, removed by a report without.
constexpr double kIncrease = 0.02;
constexpr double kDecrease = 0.001;

} // namespace

void
SafetyMargin::OnReport(const LoadReport& aReport)
{
  const bool hasPreempted = mHasReport && aReport.mPreemptions > mPreemptions;
  mHasReport = true;
  mPreemptions = aReport.mPreemptions;
  mValue += hasPreempted ? kIncrease : -kDecrease;
  mValue = std::clamp(mValue, kMinMargin, kMaxMargin);
}

} // namespace ragwortdeck
