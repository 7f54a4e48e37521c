#pragma once

#include "Core/KeyRing.h"
#include "Filters/RequestContext.h"

#include <optional>

namespace ragwortdeck {

/// \brief Finds the team that a request's bearer token was issued for.
class AuthenticationFilter
{
public:
  explicit AuthenticationFilter(const KeyRing& aKeys)
    : mKeys(aKeys)
  {
  }

  /// 401 without a valid token, 403 when the team is not in the teams sheet.
  std::optional<Verdict> Apply(RequestContext& aContext) const;

private:
  const KeyRing& mKeys;
};

} // namespace ragwortdeck
