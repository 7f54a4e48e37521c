#pragma once

#include "Core/KeyRing.h"
#include "Filters/RequestContext.h"

#include <optional>

namespace ragwortdeck {

/// \brief Reads the parts of a request that its route needs.
class ParseFilter
{
public:
  explicit ParseFilter(const KeyRing& aKeys)
    : mKeys(aKeys)
  {
  }

  /// 400 for an unusable body or query, 404 for a response id that is not this
  /// team's.
  std::optional<Verdict> Apply(RequestContext& aContext) const;

private:
  std::optional<Verdict> ParseCreate(RequestContext& aContext) const;
  std::optional<Verdict> ParseExisting(RequestContext& aContext) const;
  std::optional<Verdict> ParseService(RequestContext& aContext) const;

  const KeyRing& mKeys;
};

} // namespace ragwortdeck
