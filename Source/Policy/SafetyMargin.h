#pragma once

#include "Core/SiteView.h"

#include <cstdint>

namespace ragwortdeck {

/// \brief Fraction of an engine's memory that is kept free for growth beyond
/// the estimates. Grows while the engine reports new preemptions.
class SafetyMargin
{
public:
  void OnReport(const LoadReport& aReport);
  /// Fraction of the memory.
  double Value() const { return mValue; }

private:
  static constexpr double kMinMargin = 0.03;

  std::uint64_t mPreemptions = 0;
  bool mHasReport = false;
  double mValue = kMinMargin;
};

} // namespace ragwortdeck
