#include "Policy/CreditOwner.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr Duration kLifetime{ kCreditLifetimeMicros };
/// Unacknowledged grants kept per host and limit.
constexpr std::size_t kMaxGrants = 16;
/// Limits the reservations of the kinds sheet, so that long answers keep at
/// least half of the memory.
constexpr double kMaxReservedFraction = 0.5;
/// A host that could not get its minimum takes precedence for this long after
/// its last request.
constexpr Duration kStarvationTimeout{ std::chrono::seconds(1) };
/// Hard limits: half of the free amount is granted evenly to all hosts as
/// standby, so that a request need not wait for a grant. Soft limits grant all
/// of it.
constexpr std::uint64_t kHardStandbyDivisor = 2;
/// A request without a minimum gets at most the free amount divided by this, or
/// its standby part if that is larger.
constexpr std::uint64_t kOptionalDivisor = 4;

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
  mReservedFraction = 0.0;
  for (const auto& [name, row] : mView->mTable.mKinds) {
    mReservedFraction += row.mReservedPercent / 100.0;
  }
  mReservedFraction = std::min(mReservedFraction, kMaxReservedFraction);
  if (!mHasMembership && mLiveHosts != mView->mEntryHosts) {
    SetLiveHosts(mView->mEntryHosts);
  }
}

void
CreditOwner::DropLostLimits()
{
  // When this host owns the limit again later, other hosts may have granted it
  // in between, so its state is dropped and the waiting time applies again.
  std::erase_if(
    mLimits, [this](const auto& aEntry) { return !Owns(aEntry.first.mName); });
}

void
CreditOwner::OnOwners(const std::vector<HostId>& aLiveHosts)
{
  mHasMembership = true;
  SetLiveHosts(aLiveHosts);
}

void
CreditOwner::SetLiveHosts(const std::vector<HostId>& aLiveHosts)
{
  if (mLiveHosts == aLiveHosts) {
    return;
  }
  const auto now = mClock.Now();
  mLiveHosts = aLiveHosts;
  mLiveHistory.emplace_back(now, aLiveHosts);
  // An entry is valid until the time of the next one.
  while (mLiveHistory.size() > 1 && mLiveHistory[1].first + kLifetime <= now) {
    mLiveHistory.pop_front();
  }
  DropLostLimits();
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
  return CreditOwnerOf(aName, mLiveHosts) == mHost;
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
                                    (1.0 - margin - mReservedFraction));
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
  // The merged record has the later expiry and the larger amount of the two.
  grants[1].mAmount = std::max(grants[0].mAmount, grants[1].mAmount);
  grants.pop_front();
}

CreditOwner::Limit&
CreditOwner::LimitOf(const CreditKey& aKey)
{
  const auto [it, isNew] = mLimits.try_emplace(aKey);
  if (isNew) {
    // With the time of the first request instead, the waiting time would delay
    // the first request of every team.
    it->second.mOwnedSince = OwnedSince(aKey.mName);
  }
  return it->second;
}

void
CreditOwner::UpdateReserved(Limit& aLimit,
                            HostState& aHost,
                            std::uint64_t aStatic,
                            bool aIsHard) const
{
  const auto now = mClock.Now();
  // A host may have used up a grant of a hard limit before it expired, and its
  // streams may outlast the grant. Such a grant therefore counts until the host
  // acknowledges a later one, together with its use. A grant to an earlier
  // process of the host just expires.
  std::erase_if(aHost.mGrants, [&](const auto& aGrant) {
    const bool isCurrent = aGrant.mIncarnation == aHost.mIncarnation;
    return aGrant.mExpires <= now && !(aIsHard && isCurrent);
  });
  // Running streams are never stopped for a cap, so use beyond the static
  // share counts even when its grant has expired.
  auto reserved = aHost.mInUse > aStatic ? aHost.mInUse - aStatic : 0;
  for (const auto& grant : aHost.mGrants) {
    reserved = std::max(reserved, grant.mAmount);
  }
  aLimit.mReservedSum += reserved - aHost.mReserved;
  aHost.mReserved = reserved;
}

std::uint64_t
CreditOwner::ComputeHardGrant(std::uint64_t aNeed, std::uint64_t aFree) const
{
  const auto hosts = std::max<std::size_t>(mView->mEntryHosts.size(), 1);
  return std::min(aFree, aNeed + aFree / (kHardStandbyDivisor * hosts));
}

std::uint64_t
CreditOwner::ComputeSoftGrant(Limit& aLimit,
                              const CreditRequest& aRequest,
                              const CreditAsk& aAsk,
                              std::uint64_t aFree) const
{
  const auto now = mClock.Now();
  const bool isOtherHostStarved =
    !aLimit.mStarvedHost.IsEmpty() && aLimit.mStarvedHost != aRequest.mFrom &&
    now - aLimit.mStarvedRequestTime < kStarvationTimeout;
  const auto reservedForStarved =
    isOtherHostStarved ? aLimit.mStarvedMinimum : 0;
  const auto free = aFree > reservedForStarved ? aFree - reservedForStarved : 0;
  const auto hosts = std::max<std::size_t>(mView->mEntryHosts.size(), 1);
  const auto standby = free / hosts;
  if (aAsk.mMinimum == 0) {
    if (aLimit.mStarvedHost == aRequest.mFrom) {
      aLimit.mStarvedHost = HostId();
    }
    return std::max(standby, std::min(aAsk.mWanted, free / kOptionalDivisor));
  }
  if (aAsk.mMinimum > free) {
    if (!isOtherHostStarved) {
      aLimit.mStarvedHost = aRequest.mFrom;
      aLimit.mStarvedMinimum = aAsk.mMinimum;
      aLimit.mStarvedRequestTime = now;
    }
    return standby;
  }
  if (!isOtherHostStarved) {
    aLimit.mStarvedHost = HostId();
  }
  return std::max(standby, std::min(aAsk.mWanted, free));
}

std::uint64_t
CreditOwner::ComputeGrant(Limit& aLimit,
                          HostState& aHost,
                          const CreditRequest& aRequest,
                          const CreditAsk& aAsk,
                          const CreditSplit& aSplit)
{
  const auto others = aLimit.mReservedSum - aHost.mReserved;
  const auto available =
    aSplit.mDynamic > others ? aSplit.mDynamic - others : 0;
  const auto used = aAsk.mInUse > aSplit.mStaticPerHost
                      ? aAsk.mInUse - aSplit.mStaticPerHost
                      : 0;
  const auto free = available > used ? available - used : 0;
  if (IsHardLimit(aAsk.mKind)) {
    if (mClock.Now() < aLimit.mOwnedSince + kLifetime) {
      // Grants of earlier owners may still be valid.
      return 0;
    }
    const auto wanted = aAsk.mInUse + aAsk.mWanted;
    const auto need =
      wanted > aSplit.mStaticPerHost ? wanted - aSplit.mStaticPerHost : 0;
    return ComputeHardGrant(need, available);
  }
  return used + ComputeSoftGrant(aLimit, aRequest, aAsk, free);
}

std::optional<CreditShare>
CreditOwner::MakeShare(const CreditRequest& aRequest, const CreditAsk& aAsk)
{
  const CreditKey key{ aAsk.mKind, aAsk.mName };
  if (!mLimits.contains(key) && !Owns(aAsk.mName)) {
    return std::nullopt;
  }
  const auto split = SplitOf(key);
  auto& limit = LimitOf(key);
  auto& host = limit.mHosts[aRequest.mFrom];
  const auto requestOrder =
    std::make_pair(aRequest.mIncarnation, aRequest.mSequence);
  if (requestOrder <= std::make_pair(host.mIncarnation, host.mSequence)) {
    // A later request has arrived before this one, so its use is outdated.
    return std::nullopt;
  }
  // Grants to an earlier process of the host count until they expire.
  host.mIncarnation = aRequest.mIncarnation;
  std::erase_if(host.mGrants, [&aRequest](const auto& aGrant) {
    return aGrant.mIncarnation == aRequest.mIncarnation &&
           aGrant.mSequence < aRequest.mAcknowledged;
  });
  limit.mUseSum += aAsk.mInUse - host.mInUse;
  host.mInUse = aAsk.mInUse;
  UpdateReserved(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
  const auto amount = ComputeGrant(limit, host, aRequest, aAsk, split);
  host.mSequence = aRequest.mSequence;
  host.mGrants.push_back({ aRequest.mSequence,
                           aRequest.mIncarnation,
                           amount,
                           mClock.Now() + kLifetime });
  MergeOldest(host);
  UpdateReserved(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
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
    if (auto share = MakeShare(aRequest, ask)) {
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
        std::find(mLiveHosts.begin(), mLiveHosts.end(), it->first) ==
        mLiveHosts.end();
      UpdateReserved(limit, host, split.mStaticPerHost, IsHardLimit(key.mKind));
      const bool hasExpired =
        host.mGrants.empty() || host.mGrants.back().mExpires <= mClock.Now();
      if (isGone && hasExpired) {
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
