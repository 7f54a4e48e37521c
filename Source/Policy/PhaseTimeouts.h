#pragma once

#include "Policy/Dispatcher.h"

namespace ragwortdeck {

/// \brief Time limits of the phases of a request.
class PhaseTimeouts
{
public:
  /// Limits at dispatch. aQueued is the prefill that the engine has to compute
  /// first, in tokens.
  static PhaseLimits At(MonotonicTime aNow,
                        MonotonicTime aDeadline,
                        double aQueuedTokens);
};

} // namespace ragwortdeck
