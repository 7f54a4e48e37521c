#include "Serving/EraTracker.h"

namespace ragwortdeck {

EraTracker::Outcome
EraTracker::Observe(StoreEra aEra)
{
  if (aEra < mLatest) {
    return Outcome::kOutdated;
  }
  if (aEra == mLatest) {
    return Outcome::kCurrent;
  }
  mLatest = aEra;
  return Outcome::kBegan;
}

} // namespace ragwortdeck
