#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief Why a request is not let in.
enum class Denial
{
  /// The table is not known yet, or may be too old to say no.
  kTableNotCurrent,
  kNoRoute,
  kUnknownKey,
};

/// \brief The outcome of looking a request up in the table.
struct Admission
{
  /// Null when denied.
  const Route* mRoute = nullptr;
  /// Null on public routes and where the table names no teams.
  const TeamSpec* mTeam = nullptr;
  Denial mDenial = Denial::kTableNotCurrent;
};

/// \brief The newest table that this host knows, and the last moment at which
/// it was known to be the store's newest.
///
/// Answers the pattern "the store turns this host away while keys are taken
/// away": requests with a key are let in only while the table was current
/// less than the stated time ago.
class CachedTable
{
public:
  struct Bounds
  {
    /// Keyed requests need a table that was current this recently; zero means
    /// no bound.
    Duration mMaxKeyedAge{ 0 };
    /// A request is denied only by a table that was current this recently.
    Duration mMaxDenialAge{ 0 };
  };

  explicit CachedTable(const Bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  /// Takes a table of the store's aRevision. One older than the current table
  /// is ignored, so versions never go back. Returns true when it is new.
  bool Apply(std::shared_ptr<const ServingTable> aTable,
             std::int64_t aRevision);
  /// The table of aRevision was the store's newest at aAt.
  void ConfirmCurrent(std::int64_t aRevision, MonotonicTime aAt);

  /// Looks a request up; aKey is empty when it carries none.
  Admission Admit(std::string_view aHost,
                  std::string_view aPath,
                  const std::string& aKey,
                  MonotonicTime aNow) const;
  /// Whether keyed requests may be let in.
  bool AcceptsKeyedRequests(MonotonicTime aNow) const;
  const std::shared_ptr<const ServingTable>& Table() const { return mTable; }
  std::int64_t Revision() const { return mRevision; }
  std::optional<MonotonicTime> ConfirmedAt() const { return mProvenAt; }

private:
  Bounds mBounds;
  std::shared_ptr<const ServingTable> mTable;
  std::int64_t mRevision = 0;
  std::optional<MonotonicTime> mProvenAt;
};

} // namespace ragwortdeck
