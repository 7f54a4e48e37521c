#include "Serving/CopyBarrier.h"

#include <utility>

namespace ragwortdeck {

DepartingKey
KeyOf(const DepartingRun& aRun)
{
  return { aRun.mHost, aRun.mRun, aRun.mEngine };
}

DepartingKey
KeyOf(const PlannedCopy& aCopy)
{
  return { aCopy.mHost, aCopy.mRun, aCopy.mEngine };
}

void
CopyBarrier::Await(const std::vector<PlannedCopy>& aPlan, MonotonicTime aNow)
{
  for (const auto& copy : aPlan) {
    if (!copy.mDestination.empty()) {
      mAwaited[KeyOf(copy)] = aNow + Duration(Milliseconds(copy.mLatestStopMs));
      mHosts.insert(copy.mHost);
    }
  }
}

std::set<std::string>
CopyBarrier::OnCopied(const std::vector<DepartingRun>& aRuns,
                      MonotonicTime aNow)
{
  for (const auto& run : aRuns) {
    mAwaited.erase(KeyOf(run));
  }
  std::erase_if(mAwaited,
                [&](const auto& aItem) { return aItem.second <= aNow; });
  if (!mAwaited.empty()) {
    return {};
  }
  auto told = std::exchange(mHosts, {});
  for (const auto& run : aRuns) {
    // A host that reports again has not heard of the end.
    told.insert(run.mHost);
  }
  return told;
}

} // namespace ragwortdeck
