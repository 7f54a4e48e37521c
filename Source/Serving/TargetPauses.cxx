#include "Serving/TargetPauses.h"

#include <algorithm>

namespace ragwortdeck {

bool
TargetPauses::Start(const Target& aTarget, Duration aWish, MonotonicTime aNow)
{
  std::erase_if(mPauses,
                [&](const auto& aItem) { return aItem.second.mEnd <= aNow; });
  if (aWish <= Duration(0)) {
    return false;
  }
  const Pause pause{ aTarget.mBorn, aNow + std::min(aWish, kLongest) };
  const auto [it, isNew] = mPauses.try_emplace(aTarget.mId, pause);
  if (isNew) {
    return true;
  }
  auto& known = it->second;
  const bool hasRestarted = known.mBorn != 0 && pause.mBorn > known.mBorn;
  const bool isEarlierStart = pause.mBorn != 0 && pause.mBorn < known.mBorn;
  if (hasRestarted || (!isEarlierStart && pause.mEnd > known.mEnd)) {
    known = { std::max(known.mBorn, pause.mBorn), pause.mEnd };
    return true;
  }
  return false;
}

std::optional<MonotonicTime>
TargetPauses::EndOf(const Target& aTarget, MonotonicTime aNow) const
{
  const auto it = mPauses.find(aTarget.mId);
  if (it == mPauses.end() || it->second.mEnd <= aNow ||
      (it->second.mBorn != 0 && aTarget.mBorn > it->second.mBorn)) {
    return std::nullopt;
  }
  return it->second.mEnd;
}

} // namespace ragwortdeck
