#include "Filters/AuthenticationFilter.h"

#include "Core/HttpStatus.h"

namespace ragwortdeck {

namespace {

constexpr std::string_view kScheme = "Bearer ";

} // namespace

std::optional<Verdict>
AuthenticationFilter::Apply(RequestContext& aContext) const
{
  const std::string_view header = aContext.mRequest.mAuthorization;
  if (!header.starts_with(kScheme)) {
    return Refusal(kStatusUnauthorized,
                   "missing_team",
                   "Send 'Authorization: Bearer <team token>'.");
  }
  const auto team = mKeys.VerifyTeamToken(header.substr(kScheme.size()));
  if (!team) {
    return Refusal(kStatusUnauthorized,
                   "invalid_team_token",
                   "The team token is not valid: " + team.error().mMessage +
                     ".");
  }
  aContext.mTeam = TeamName(team.value());
  if (!aContext.mView->mTable.mTeams.contains(aContext.mTeam)) {
    return Refusal(kStatusForbidden,
                   "unknown_team",
                   "Team '" + team.value() + "' is not in the teams sheet.");
  }
  return std::nullopt;
}

} // namespace ragwortdeck
