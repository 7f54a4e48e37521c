#pragma once

#include "Policy/Dispatcher.h"

namespace ragwortdeck {

/// \brief Computes the time limits of the phases of a request.
class PhaseTimeouts
{
public:
  /// Limits at dispatch. aQueuedTokens is the prefill that the engine has to
  /// compute before the first token.
  static PhaseLimits At(MonotonicTime aNow,
                        MonotonicTime aDeadline,
                        double aQueuedTokens);
};

} // namespace ragwortdeck
