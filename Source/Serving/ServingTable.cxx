#include "Serving/ServingTable.h"

#include <algorithm>
#include <cctype>
#include <tuple>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

std::string
LowerCase(std::string_view aText)
{
  std::string text(aText);
  std::transform(
    text.begin(), text.end(), text.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return text;
}

/// The host name in lower case and without the port, for comparison.
std::string
NormalizeHost(std::string_view aHost)
{
  return LowerCase(aHost.substr(0, aHost.find(':')));
}

} // namespace

const char*
ToText(RouteKind aKind)
{
  switch (aKind) {
    case RouteKind::kSafe:
      return "safe";
    case RouteKind::kUnsafe:
      return "unsafe";
    case RouteKind::kStream:
      return "stream";
  }
  return "";
}

ServingTable
ServingTable::Create(TableVersion aVersion,
                     std::vector<Route> aRoutes,
                     std::vector<ServiceSpec> aServices,
                     CallerLimits aLimits,
                     std::optional<std::vector<TeamSpec>> aTeams)
{
  ServingTable table;
  table.mVersion = aVersion;
  table.mLimits = aLimits;
  table.mRoutes = std::move(aRoutes);
  for (auto& route : table.mRoutes) {
    route.mHost = NormalizeHost(route.mHost);
  }
  std::sort(table.mRoutes.begin(),
            table.mRoutes.end(),
            [](const Route& aLeft, const Route& aRight) {
              return std::forward_as_tuple(aLeft.mHost,
                                           aRight.mPathPrefix.size(),
                                           aLeft.mPathPrefix) <
                     std::forward_as_tuple(aRight.mHost,
                                           aLeft.mPathPrefix.size(),
                                           aRight.mPathPrefix);
            });
  for (auto& service : aServices) {
    auto name = service.mName;
    table.mServices.emplace(std::move(name), std::move(service));
  }
  table.mTeams = std::move(aTeams);
  if (table.mTeams) {
    const auto& teams = *table.mTeams;
    for (std::size_t i = 0; i < teams.size(); ++i) {
      for (const auto& key : teams[i].mKeys) {
        // A request without a key is looked up with an empty one.
        if (!key.empty()) {
          table.mKeys.emplace(key, i);
        }
      }
    }
  }
  return table;
}

const Route*
ServingTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = NormalizeHost(aHost);
  const auto path = aPath.substr(0, aPath.find('?'));
  const auto first =
    std::lower_bound(mRoutes.begin(),
                     mRoutes.end(),
                     host,
                     [](const Route& aRoute, const std::string& aName) {
                       return aRoute.mHost < aName;
                     });
  for (auto it = first; it != mRoutes.end() && it->mHost == host; ++it) {
    if (path.starts_with(it->mPathPrefix)) {
      return &*it;
    }
  }
  return nullptr;
}

const ServiceSpec*
ServingTable::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

const TeamSpec*
ServingTable::FindTeam(const std::string& aKey) const
{
  const auto it = mKeys.find(aKey);
  return it == mKeys.end() ? nullptr : &(*mTeams)[it->second];
}

const std::string&
ChooseService(const Route& aRoute, std::string_view aRequestId)
{
  double total = 0;
  for (const auto& it : aRoute.mServices) {
    total += it.mWeight;
  }
  constexpr double kHashRange = 18446744073709551616.0; // 2^64
  double point =
    static_cast<double>(XXH64(aRequestId.data(), aRequestId.size(), 0)) /
    kHashRange * total;
  for (const auto& it : aRoute.mServices) {
    point -= it.mWeight;
    if (point < 0) {
      return it.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace ragwortdeck
