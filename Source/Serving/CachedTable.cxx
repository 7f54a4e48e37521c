#include "Serving/CachedTable.h"

#include <algorithm>

namespace ragwortdeck {

bool
CachedTable::Apply(std::shared_ptr<const ServingTable> aTable)
{
  if (aTable->Version() <= Version()) {
    return false;
  }
  mTable = std::move(aTable);
  return true;
}

std::optional<TableVersion>
CachedTable::Version() const
{
  return mTable ? std::optional(mTable->Version()) : std::nullopt;
}

bool
CachedTable::ConfirmCurrent(TableVersion aVersion, MonotonicTime aAt)
{
  // The confirmation of another version says nothing about this table.
  if (aVersion != Version() || Version() < mNewestHeard) {
    return false;
  }
  if (mSearchBegan && aAt - *mSearchBegan < kHostSearch) {
    return false;
  }
  mSearchBegan.reset();
  if (!mConfirmedAt || *mConfirmedAt < aAt) {
    mConfirmedAt = aAt;
  }
  return true;
}

void
CachedTable::BeginEra(MonotonicTime aNow)
{
  const bool hasHeardSinceStart = !mTable && mHasHeard;
  if (!hasHeardSinceStart && !AcceptsKeyedRequests(aNow)) {
    mSearchBegan = aNow;
  }
}

void
CachedTable::HostHeard(std::optional<TableVersion> aVersion)
{
  mHasHeard = true;
  mNewestHeard = std::max(mNewestHeard, aVersion);
  mSearchBegan.reset();
}

bool
CachedTable::AcceptsKeyedRequests(MonotonicTime aNow) const
{
  if (!mTable) {
    return false;
  }
  if (mBounds.mMaxKeyedAge.count() == 0 || !mTable->RequiresKeys()) {
    return true;
  }
  return mConfirmedAt && aNow - *mConfirmedAt < mBounds.mMaxKeyedAge;
}

Admission
CachedTable::Admit(std::string_view aHost,
                   std::string_view aPath,
                   const std::string& aKey,
                   MonotonicTime aNow) const
{
  Admission admission;
  if (!mTable) {
    return admission;
  }
  const bool isRecent =
    mConfirmedAt && aNow - *mConfirmedAt < mBounds.mMaxDenialAge;
  const auto* route = mTable->FindRoute(aHost, aPath);
  if (!route) {
    admission.mDenial = isRecent ? Denial::kNoRoute : Denial::kTableNotCurrent;
    return admission;
  }
  if (!mTable->RequiresKeys() || route->mPublic) {
    admission.mRoute = route;
    return admission;
  }
  if (!AcceptsKeyedRequests(aNow)) {
    return admission;
  }
  const auto* team = mTable->FindTeam(aKey);
  if (!team) {
    admission.mDenial =
      isRecent ? Denial::kUnknownKey : Denial::kTableNotCurrent;
    return admission;
  }
  admission.mRoute = route;
  admission.mTeam = team;
  return admission;
}

} // namespace ragwortdeck
