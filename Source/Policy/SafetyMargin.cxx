#include "Policy/SafetyMargin.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr double kCeiling = 0.25;
/// Added by a report with new preemptions, removed by a report without.
constexpr double kStep = 0.02;
constexpr double kDecay = 0.001;

} // namespace

void
SafetyMargin::OnReport(const LoadReport& aReport)
{
  const bool hasPreempted = mHasReport && aReport.mPreemptions > mPreemptions;
  mHasReport = true;
  mPreemptions = aReport.mPreemptions;
  mValue += hasPreempted ? kStep : -kDecay;
  mValue = std::clamp(mValue, kFloor, kCeiling);
}

} // namespace ragwortdeck
