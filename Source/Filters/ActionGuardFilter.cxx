#include "Filters/ActionGuardFilter.h"

#include "Core/HttpStatus.h"

namespace ragwortdeck {

namespace {

constexpr std::chrono::seconds kRetryAfter{ 5 };

} // namespace

std::optional<Verdict>
ActionGuardFilter::Apply(RequestContext& aContext) const
{
  if (aContext.mRoute != Route::kCallService ||
      aContext.mKind.mRepeat != RepeatRule::kAtMostOnce) {
    return std::nullopt;
  }
  if (aContext.mRequest.mIdempotencyKey.empty()) {
    return Refusal(kStatusBadRequest,
                   "idempotency_key_required",
                   "This call runs at most once and needs an "
                   "'Idempotency-Key' header.");
  }
  if (!mHasActionHook) {
    auto verdict =
      Refusal(kStatusUnavailable,
              "actions_unavailable",
              "Calls that run at most once are not available on this host.");
    verdict.mRetryAfter = kRetryAfter;
    return verdict;
  }
  return std::nullopt;
}

} // namespace ragwortdeck
