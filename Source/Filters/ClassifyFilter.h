#pragma once

#include "Filters/RequestContext.h"

#include <optional>

namespace ragwortdeck {

/// \brief Finds the kind of a request, its deadline and its traits.
class ClassifyFilter
{
public:
  /// 404 for an unknown model or service, 400 for an unknown kind.
  std::optional<Verdict> Apply(RequestContext& aContext) const;

private:
  static std::optional<Verdict> ClassifyCreate(RequestContext& aContext);
  static std::optional<Verdict> ClassifyService(RequestContext& aContext);
};

/// The services that a target offers are listed as its models.
bool
OffersService(const Target& aTarget, const std::string& aService);

} // namespace ragwortdeck
