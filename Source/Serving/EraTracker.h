#pragma once

#include "Serving/StoreEra.h"

namespace ragwortdeck {

/// \brief The latest era of the store that this host knows of, from the store's
/// answers and from other hosts. It never goes back.
class EraTracker
{
public:
  /// \brief How the era of an answer or message compares with the latest one.
  enum class Outcome
  {
    kCurrent,
    /// It is later, and is the latest one from now on.
    kBegan,
    /// It is earlier, or not known: what came with it may be out of date.
    kOutdated,
  };

  Outcome Observe(StoreEra aEra);
  StoreEra Latest() const { return mLatest; }

private:
  StoreEra mLatest;
};

} // namespace ragwortdeck
