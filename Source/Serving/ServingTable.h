#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

using Milliseconds = std::chrono::milliseconds;

/// What may be repeated on a route.
enum class RouteKind
{
  /// May run any number of times.
  kSafe,
  /// Runs at most once per attempt of a caller.
  kUnsafe,
  /// A series of events; as kUnsafe unless the route is resumable.
  kStream,
};

/// \brief A service of a route with its share of the requests.
struct WeightedService
{
  std::string mService;
  double mWeight = 1;
  bool operator==(const WeightedService&) const = default;
};

/// \brief Where requests of a host and path prefix go.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::kUnsafe;
  /// Longest time a caller is kept waiting.
  Milliseconds mTimeout{ 0 };
  /// Time to the answer, or to the first event, for full value.
  Milliseconds mLatencyGoal{ 0 };
  /// Longest pause between events for full value; 0 when not a stream.
  Milliseconds mEventGapGoal{ 0 };
  /// 0 is most urgent.
  int mPriority = 0;
  /// Most targets that one attempt of a caller may be sent to.
  int mMaxAttempts = 1;
  /// Needs no team key.
  bool mPublic = false;
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
  /// Requests that run at once.
  int mSlots = 1;
  /// Tokens that fit its memory.
  std::int64_t mMemoryTokens = 0;
  double mTokenBytes = 0;
  double mLinkMbps = 0;
  int mTokensPerEvent = 1;
  /// Memory of a run can be copied to another engine.
  bool mCanCopyMemory = false;
  bool operator==(const EngineLimits&) const = default;
};

/// \brief A service of the table.
struct ServiceSpec
{
  std::string mName;
  /// Connections that one target accepts from all hosts together.
  int mMaxConnections = 0;
  /// Set when the targets are model engines.
  std::optional<EngineLimits> mEngine;
  bool operator==(const ServiceSpec&) const = default;
};

/// \brief What a caller may send, and how long it may take.
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
  /// Takes precedence over the route's priority.
  std::optional<int> mPriority;
  bool operator==(const TeamSpec&) const = default;
};

/// \brief One version of the operators' table. Immutable once built.
class ServingTable
{
public:
  static ServingTable Create(std::int64_t aVersion,
                             std::vector<Route> aRoutes,
                             std::vector<ServiceSpec> aServices,
                             CallerLimits aLimits,
                             std::vector<TeamSpec> aTeams);

  std::int64_t Version() const { return mVersion; }
  const CallerLimits& Limits() const { return mLimits; }
  /// False when the table names no teams; then no key is needed.
  bool HasTeams() const { return !mTeams.empty(); }

  /// The route of aHost with the longest prefix of aPath; null if none.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const ServiceSpec* FindService(const std::string& aName) const;
  /// The team that holds aKey; null if none.
  const TeamSpec* FindTeam(const std::string& aKey) const;

  bool operator==(const ServingTable&) const = default;

private:
  std::int64_t mVersion = 0;
  /// By host, then by falling length of the prefix.
  std::vector<Route> mRoutes;
  std::map<std::string, ServiceSpec> mServices;
  CallerLimits mLimits;
  std::vector<TeamSpec> mTeams;
  /// Key to index in mTeams.
  std::map<std::string, std::size_t> mKeys;
};

/// The service that a request takes among a route's weighted services. The
/// same request id always takes the same one.
const std::string&
ChooseService(const Route& aRoute, std::string_view aRequestId);

} // namespace ragwortdeck
