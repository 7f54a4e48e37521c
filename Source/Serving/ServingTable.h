#pragma once

#include "Serving/TableVersion.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

using Milliseconds = std::chrono::milliseconds;

/// Whether and how the requests of a route may be repeated.
enum class RouteKind
{
  /// A request may run any number of times.
  kSafe,
  /// A request runs at most once per attempt of a caller.
  kUnsafe,
  /// The response is a stream of events; repeated like kUnsafe unless the
  /// route is resumable.
  kStream,
};

/// Returns the name of a kind, for log lines.
const char*
ToText(RouteKind aKind);

/// \brief A service of a route and its relative share of the requests.
struct WeightedService
{
  std::string mService;
  double mWeight = 1;
  bool operator==(const WeightedService&) const = default;
};

/// \brief Services and rules for the requests of one host name and path
/// prefix.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::kUnsafe;
  /// Maximum time a caller waits for the response.
  Milliseconds mTimeout{ 0 };
  /// Time to the response, or to the first event, within which the request
  /// has its full value.
  Milliseconds mLatencyGoal{ 0 };
  /// Longest gap between two events with which a stream has its full value; 0
  /// when the route is not a stream.
  Milliseconds mEventGapGoal{ 0 };
  /// 0 is most urgent.
  int mPriority = 0;
  /// Maximum number of targets to which one attempt of a caller is sent.
  int mMaxAttempts = 1;
  /// Requests need no team key.
  bool mPublic = false;
  /// An interrupted stream may be continued after its last event.
  bool mResumable = false;
  std::vector<WeightedService> mServices;

  bool IsIdempotent() const
  {
    return mKind == RouteKind::kSafe ||
           (mKind == RouteKind::kStream && mResumable);
  }
  bool operator==(const Route&) const = default;
};

/// \brief Limits of each engine of a service.
struct EngineLimits
{
  /// Requests that run concurrently.
  int mSlots = 1;
  /// Tokens whose KV cache fits into its memory.
  std::int64_t mMemoryTokens = 0;
  /// KV cache of one token, in bytes.
  double mTokenBytes = 0;
  double mLinkMbps = 0;
  int mTokensPerEvent = 1;
  /// The KV cache of a run can be copied to another engine.
  bool mCanCopyMemory = false;
  bool operator==(const EngineLimits&) const = default;
};

/// \brief A service in the table.
struct ServiceSpec
{
  std::string mName;
  /// Maximum number of connections to one target from all hosts together.
  int mMaxConnections = 0;
  /// Set if the targets of the service are engines.
  std::optional<EngineLimits> mEngine;
  bool operator==(const ServiceSpec&) const = default;
};

/// \brief Limits of the sizes and times of a caller's request.
struct CallerLimits
{
  std::int64_t mHeaderBytes = 16384;
  std::int64_t mBodyBytes = 4194304;
  Milliseconds mHeaderTimeout{ 3000 };
  Milliseconds mIdleTimeout{ 15000 };
  bool operator==(const CallerLimits&) const = default;
};

/// \brief A team and its keys.
struct TeamSpec
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// Overrides the priority of the route.
  std::optional<int> mPriority;
  bool operator==(const TeamSpec&) const = default;
};

/// \brief One version of the table that the operators maintain: routes,
/// services, limits and teams. Immutable once built.
class ServingTable
{
public:
  static ServingTable Create(TableVersion aVersion,
                             std::vector<Route> aRoutes,
                             std::vector<ServiceSpec> aServices,
                             CallerLimits aLimits,
                             std::optional<std::vector<TeamSpec>> aTeams);

  TableVersion Version() const { return mVersion; }
  const CallerLimits& Limits() const { return mLimits; }
  /// Whether requests need the key of a team, except on public routes. A table
  /// with an empty list of teams admits no key; one without a list needs none.
  bool RequiresKeys() const { return mTeams.has_value(); }

  /// The route of aHost with the longest path prefix that matches aPath; null
  /// if none.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const ServiceSpec* FindService(const std::string& aName) const;
  /// The team that owns aKey; null if none. No team owns the empty key.
  const TeamSpec* FindTeam(const std::string& aKey) const;

  bool operator==(const ServingTable&) const = default;

private:
  TableVersion mVersion;
  /// Sorted by host, then by descending length of the path prefix.
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceSpec> mServices;
  CallerLimits mLimits;
  std::optional<std::vector<TeamSpec>> mTeams;
  /// Maps a key to the index of its team in mTeams.
  std::map<std::string, std::size_t> mKeys;
};

/// Chooses one of a route's services by their weights. The choice depends only
/// on the route and the request id.
const std::string&
ChooseService(const Route& aRoute, std::string_view aRequestId);

} // namespace ragwortdeck
