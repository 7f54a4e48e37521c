#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief Why a request is not admitted.
enum class Denial
{
  /// No table is known yet, or the known one may be out of date.
  kTableNotCurrent,
  kNoRoute,
  kUnknownKey,
};

/// \brief The outcome of looking a request up in the table.
struct Admission
{
  /// Null when denied.
  const Route* mRoute = nullptr;
  /// Null on public routes and when the table requires no keys.
  const TeamSpec* mTeam = nullptr;
  Denial mDenial = Denial::kTableNotCurrent;
};

/// \brief The newest table that this host knows, and when that table was last
/// confirmed to be the newest one in the store.
///
/// Covers the case that the store refuses this host while an operator revokes
/// team keys: requests that need a key are admitted only if the table was
/// confirmed as current less than Bounds::mMaxKeyedAge ago.
///
/// When the store comes back from an older copy, it may lack a table that other
/// hosts have. So no table is confirmed while a newer one is known to exist;
/// and a host whose table was not known to be current when the era began
/// confirms none before it has heard from another host, for at most
/// kHostSearch. For one without a table, as after a start, it is enough to have
/// heard from another host before.
class CachedTable
{
public:
  /// Hosts send to each other at least once a second.
  static constexpr Duration kHostSearch = std::chrono::seconds(2);

  struct Bounds
  {
    /// Maximum time since the table was confirmed for requests that need a
    /// key; zero means no bound.
    Duration mMaxKeyedAge{ 0 };
    /// Maximum time since the table was confirmed for denying a request
    /// because of an unknown route or key.
    Duration mMaxDenialAge{ 0 };
  };

  explicit CachedTable(const Bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  /// Replaces the table. One whose version is not newer is ignored, so the
  /// table never goes back to an older version, not even if the store does.
  /// Returns true when the table was replaced.
  bool Apply(std::shared_ptr<const ServingTable> aTable);
  /// Records that at aAt the store had no table newer than aVersion. Returns
  /// whether that proves that the table was current.
  bool ConfirmCurrent(TableVersion aVersion, MonotonicTime aAt);
  /// A later era of the store has begun, as far as this host knows.
  void BeginEra(MonotonicTime aNow);
  /// Another host stated the version of its table; nothing if it has none.
  void HostHeard(std::optional<TableVersion> aVersion);

  /// Looks up the route and team of a request; aKey is empty when the request
  /// carries none.
  Admission Admit(std::string_view aHost,
                  std::string_view aPath,
                  const std::string& aKey,
                  MonotonicTime aNow) const;
  /// Whether the table is recent enough to admit requests that need a key.
  bool AcceptsKeyedRequests(MonotonicTime aNow) const;
  const std::shared_ptr<const ServingTable>& Table() const { return mTable; }
  /// Nothing while no table is known, which comes before all versions.
  std::optional<TableVersion> Version() const;
  /// Number of the version for logs; 0 while no table is known.
  std::int64_t VersionNumber() const
  {
    return Version().value_or(TableVersion{}).mNumber;
  }
  std::optional<MonotonicTime> ConfirmedAt() const { return mConfirmedAt; }

private:
  Bounds mBounds;
  std::shared_ptr<const ServingTable> mTable;
  std::optional<MonotonicTime> mConfirmedAt;
  bool mHasHeard = false;
  std::optional<TableVersion> mNewestHeard;
  /// When this host began to wait for another one; unset while it does not.
  std::optional<MonotonicTime> mSearchBegan;
};

} // namespace ragwortdeck
