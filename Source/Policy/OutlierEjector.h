#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"

#include <cstdint>
#include <set>
#include <vector>

namespace ragwortdeck {

/// \brief Ejects failing targets for a limited time and ramps their weight up
/// after the return. Ejects no further target once that would leave less than
/// 66% of the live targets.
class OutlierEjector
{
public:
  using Index = std::uint32_t;

  OutlierEjector(const Clock& aClock, std::uint64_t aSeed);

  /// Adds a target that has not been seen before; returns its index.
  Index Add();
  /// Sets the number of live targets, of which a fraction may be ejected.
  void SetLiveCount(std::size_t aLive) { mLive = aLive; }
  void OnSuccess(Index aTarget);
  void OnFailure(Index aTarget);
  bool IsEjected(Index aTarget) const { return mTargets[aTarget].mIsEjected; }
  /// Fraction of its capacity that a target may use; below 1 after a return.
  double Weight(Index aTarget) const;
  /// Ends ejections whose time is over.
  void Tick();
  std::size_t Ejected() const { return mReturns.size(); }

private:
  struct TargetState
  {
    std::uint32_t mFailures = 0;
    std::uint32_t mEjections = 0;
    bool mIsEjected = false;
    bool mHasReturned = false;
    MonotonicTime mReturned{};
  };

  bool CanEject() const;

  const Clock& mClock;
  RandomSource mRandom;
  std::size_t mLive = 0;
  std::vector<TargetState> mTargets;
  std::set<std::pair<MonotonicTime, Index>> mReturns;
};

} // namespace ragwortdeck
