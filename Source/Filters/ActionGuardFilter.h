#pragma once

#include "Filters/RequestContext.h"

#include <optional>

namespace ragwortdeck {

/// \brief Refuses service calls that must run at most once but cannot be
/// guarded.
class ActionGuardFilter
{
public:
  explicit ActionGuardFilter(bool aHasActionHook)
    : mHasActionHook(aHasActionHook)
  {
  }

  /// 400 without an Idempotency-Key, 503 without an action hook.
  std::optional<Verdict> Apply(RequestContext& aContext) const;

private:
  bool mHasActionHook;
};

} // namespace ragwortdeck
