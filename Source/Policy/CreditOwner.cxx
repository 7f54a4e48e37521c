#include "Policy/CreditOwner.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr Duration kLifetime{ kCreditLifetimeMicros };
/// Unacknowledged grants kept per host and limit.
constexpr std::size_t kMaxGrants = 16;
/// Long answers keep at least the rest, whatever the kinds sheet reserves.
constexpr double kMaxReservedPart = 0.5;
/// A host that could not get its minimum goes first while it keeps asking.
constexpr Duration kStarvingMemory{ std::chrono::seconds(1) };
/// Hard limits: half of what is free is spread over all hosts as standby, so
/// that a request need not wait for a grant. Soft limits spread all of it.
constexpr std::uint64_t kHardStandbyDivisor = 2;
/// A standby wish may take at most this part of what is free.
constexpr std::uint64_t kWishDivisor = 4;

} // namespace

CreditOwner::CreditOwner(HostId aHost, const Clock& aClock)
  : mHost(std::move(aHost))
  , mClock(aClock)
{
}

void
CreditOwner::OnView(std::shared_ptr<const SiteView> aView)
{
  mView = std::move(aView);
  mReservedPart = 0.0;
  for (const auto& [name, row] : mView->mTable.mKinds) {
    mReservedPart += row.mReservedPercent / 100.0;
  }
  mReservedPart = std::min(mReservedPart, kMaxReservedPart);
  if (!mHasMembership && mLive != mView->mEntryHosts) {
    SetLive(mView->mEntryHosts);
  }
}

void
CreditOwner::DropForeignLimits()
{
  // Losing a limit forgets it: when it comes back, others may have granted it
  // in between, and the waiting time applies again.
  std::erase_if(
    mLimits, [this](const auto& aEntry) { return !Owns(aEntry.first.mName); });
}

void
CreditOwner::OnOwners(const std::vector<HostId>& aLiveHosts)
{
  mHasMembership = true;
  SetLive(aLiveHosts);
}

void
CreditOwner::SetLive(const std::vector<HostId>& aLive)
{
  if (mLive == aLive) {
    return;
  }
  const auto now = mClock.Now();
  mLive = aLive;
  mLiveHistory.emplace_back(now, aLive);
  // An entry counts until the next one begins.
  while (mLiveHistory.size() > 1 && mLiveHistory[1].first + kLifetime <= now) {
    mLiveHistory.pop_front();
  }
  DropForeignLimits();
}

MonotonicTime
CreditOwner::OwnedSince(const std::string& aName) const
{
  auto since = mClock.Now();
  for (auto it = mLiveHistory.rbegin();
       it != mLiveHistory.rend() && CreditOwnerOf(aName, it->second) == mHost;
       ++it) {
    since = it->first;
  }
  return since;
}

void
CreditOwner::OnLoadReport(const TargetId& aTarget, const LoadReport& aReport)
{
  auto& engine = mEngines[aTarget];
  engine.mMargin.OnReport(aReport);
  engine.mMemoryTokens = aReport.mMemoryTokens;
}

bool
CreditOwner::Owns(const std::string& aName) const
{
  return CreditOwnerOf(aName, mLive) == mHost;
}

std::uint64_t
CreditOwner::CapOf(const CreditKey& aKey) const
{
  if (IsHardLimit(aKey.mKind)) {
    const auto row = mView->mTable.mTeams.find(TeamName(aKey.mName));
    if (row == mView->mTable.mTeams.end()) {
      return 0;
    }
    return aKey.mKind == CreditKind::kTeamStreams
             ? row->second.mMaxConcurrent
             : row->second.mTokensPerSecond;
  }
  const auto target = mView->mTargets.find(TargetId(aKey.mName));
  if (target == mView->mTargets.end() ||
      target->second.mState != TargetState::kLive) {
    return 0;
  }
  const auto& load = target->second.mLoad;
  if (aKey.mKind == CreditKind::kTargetSlots) {
    return load.mMaxBatch;
  }
  const auto engine = mEngines.find(target->first);
  const bool isKnown = engine != mEngines.end();
  const auto memory = isKnown && engine->second.mMemoryTokens > 0
                        ? engine->second.mMemoryTokens
                        : load.mMemoryTokens;
  const auto margin =
    isKnown ? engine->second.mMargin.Value() : SafetyMargin().Value();
  return static_cast<std::uint64_t>(static_cast<double>(memory) *
                                    (1.0 - margin - mReservedPart));
}

CreditSplit
CreditOwner::SplitOf(const CreditKey& aKey) const
{
  return SplitCap(aKey.mKind, CapOf(aKey), mView->mEntryHosts.size());
}

void
CreditOwner::MergeOldest(HostState& aHost)
{
  auto& grants = aHost.mGrants;
  if (grants.size() <= kMaxGrants) {
    return;
  }
  // The merged record lives as long and counts as much as either.
  grants[1].mAmount = std::max(grants[0].mAmount, grants[1].mAmount);
  grants.pop_front();
}

CreditOwner::Limit&
CreditOwner::LimitOf(const CreditKey& aKey)
{
  const auto [it, isNew] = mLimits.try_emplace(aKey);
  if (isNew) {
    // Not the time of the first request: the waiting time would then delay
    // the first question of every team.
    it->second.mOwnedSince = OwnedSince(aKey.mName);
  }
  return it->second;
}

void
CreditOwner::Recount(Limit& aLimit,
                     HostState& aHost,
                     std::uint64_t aStatic,
                     bool aIsHard) const
{
  const auto now = mClock.Now();
  // A host may have used a grant of a hard limit up before it lapsed, and its
  // streams outlast it. So such a grant counts until the host acknowledges a
  // later one, which also states its use; that of an earlier process lapses.
  std::erase_if(aHost.mGrants, [&](const auto& aOne) {
    const bool isCurrent = aOne.mIncarnation == aHost.mIncarnation;
    return aOne.mExpires <= now && !(aIsHard && isCurrent);
  });
  // Running streams are never stopped for a cap, so use beyond the static
  // share counts even when its grant has lapsed.
  auto reserved = aHost.mInUse > aStatic ? aHost.mInUse - aStatic : 0;
  for (const auto& grant : aHost.mGrants) {
    reserved = std::max(reserved, grant.mAmount);
  }
  aLimit.mReservedSum += reserved - aHost.mReserved;
  aHost.mReserved = reserved;
}

std::uint64_t
CreditOwner::DecideHard(std::uint64_t aNeed, std::uint64_t aFree) const
{
  const auto hosts = std::max<std::size_t>(mView->mEntryHosts.size(), 1);
  return std::min(aFree, aNeed + aFree / (kHardStandbyDivisor * hosts));
}

std::uint64_t
CreditOwner::DecideSoft(Limit& aLimit,
                        const CreditRequest& aRequest,
                        const CreditAsk& aAsk,
                        std::uint64_t aFree) const
{
  const auto now = mClock.Now();
  const bool othersStarve = !aLimit.mStarving.IsEmpty() &&
                            aLimit.mStarving != aRequest.mFrom &&
                            now - aLimit.mStarvingAsked < kStarvingMemory;
  const auto kept = othersStarve ? aLimit.mStarvingNeed : 0;
  const auto free = aFree > kept ? aFree - kept : 0;
  const auto hosts = std::max<std::size_t>(mView->mEntryHosts.size(), 1);
  const auto standby = free / hosts;
  if (aAsk.mMinimum == 0) {
    if (aLimit.mStarving == aRequest.mFrom) {
      aLimit.mStarving = HostId();
    }
    return std::max(standby, std::min(aAsk.mWanted, free / kWishDivisor));
  }
  if (aAsk.mMinimum > free) {
    if (!othersStarve) {
      aLimit.mStarving = aRequest.mFrom;
      aLimit.mStarvingNeed = aAsk.mMinimum;
      aLimit.mStarvingAsked = now;
    }
    return standby;
  }
  if (!othersStarve) {
    aLimit.mStarving = HostId();
  }
  return std::max(standby, std::min(aAsk.mWanted, free));
}

std::uint64_t
CreditOwner::Decide(Limit& aLimit,
                    HostState& aHost,
                    const CreditRequest& aRequest,
                    const CreditAsk& aAsk,
                    const CreditSplit& aSplit)
{
  const auto others = aLimit.mReservedSum - aHost.mReserved;
  const auto room = aSplit.mDynamic > others ? aSplit.mDynamic - others : 0;
  const auto used = aAsk.mInUse > aSplit.mStaticPerHost
                      ? aAsk.mInUse - aSplit.mStaticPerHost
                      : 0;
  const auto free = room > used ? room - used : 0;
  if (IsHardLimit(aAsk.mKind)) {
    if (mClock.Now() < aLimit.mOwnedSince + kLifetime) {
      // Earlier owners' grants may still be in force.
      return 0;
    }
    const auto wanted = aAsk.mInUse + aAsk.mWanted;
    const auto need =
      wanted > aSplit.mStaticPerHost ? wanted - aSplit.mStaticPerHost : 0;
    return DecideHard(need, room);
  }
  return used + DecideSoft(aLimit, aRequest, aAsk, free);
}

std::optional<CreditShare>
CreditOwner::Answer(const CreditRequest& aRequest, const CreditAsk& aAsk)
{
  const CreditKey key{ aAsk.mKind, aAsk.mName };
  if (!mLimits.contains(key) && !Owns(aAsk.mName)) {
    return std::nullopt;
  }
  const auto split = SplitOf(key);
  auto& limit = LimitOf(key);
  auto& host = limit.mHosts[aRequest.mFrom];
  const auto order = std::make_pair(aRequest.mIncarnation, aRequest.mSequence);
  if (order <= std::make_pair(host.mIncarnation, host.mSequence)) {
    // Overtaken on the way: it states an old use.
    return std::nullopt;
  }
  // The grants of an earlier process stay counted until they lapse.
  host.mIncarnation = aRequest.mIncarnation;
  std::erase_if(host.mGrants, [&aRequest](const auto& aOne) {
    return aOne.mIncarnation == aRequest.mIncarnation &&
           aOne.mSequence < aRequest.mAcknowledged;
  });
  limit.mUseSum += aAsk.mInUse - host.mInUse;
  host.mInUse = aAsk.mInUse;
  Recount(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
  const auto amount = Decide(limit, host, aRequest, aAsk, split);
  host.mSequence = aRequest.mSequence;
  host.mGrants.push_back({ aRequest.mSequence,
                           aRequest.mIncarnation,
                           amount,
                           mClock.Now() + kLifetime });
  MergeOldest(host);
  Recount(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
  return CreditShare{ aAsk.mKind, aAsk.mName, amount, limit.mUseSum };
}

CreditGrant
CreditOwner::OnRequest(const CreditRequest& aRequest)
{
  CreditGrant grant;
  grant.mOwner = mHost;
  grant.mTo = aRequest.mFrom;
  grant.mSequence = aRequest.mSequence;
  grant.mIncarnation = aRequest.mIncarnation;
  grant.mLifetimeMicros = kCreditLifetimeMicros;
  if (!mView) {
    return grant;
  }
  for (const auto& ask : aRequest.mAsks) {
    if (auto share = Answer(aRequest, ask)) {
      grant.mShares.push_back(std::move(*share));
    }
  }
  return grant;
}

void
CreditOwner::Tick()
{
  if (!mView) {
    return;
  }
  for (auto& [key, limit] : mLimits) {
    const auto split = SplitOf(key);
    for (auto it = limit.mHosts.begin(); it != limit.mHosts.end();) {
      auto& host = it->second;
      const bool isGone =
        std::find(mLive.begin(), mLive.end(), it->first) == mLive.end();
      Recount(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
      const bool hasLapsed =
        host.mGrants.empty() || host.mGrants.back().mExpires <= mClock.Now();
      if (isGone && hasLapsed) {
        limit.mReservedSum -= host.mReserved;
        limit.mUseSum -= host.mInUse;
        it = limit.mHosts.erase(it);
      } else {
        ++it;
      }
    }
  }
}

} // namespace ragwortdeck
