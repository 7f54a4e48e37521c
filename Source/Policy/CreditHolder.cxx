#include "Policy/CreditHolder.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

namespace {

/// Unanswered requests kept per owner. Grants for older ones would have
/// expired.
constexpr std::size_t kMaxSent = 16;

} // namespace

CreditHolder::CreditHolder(HostId aHost,
                           std::uint64_t aIncarnation,
                           const Clock& aClock)
  : mHost(std::move(aHost))
  , mIncarnation(aIncarnation)
  , mClock(aClock)
{
}

CreditHolder::Slot
CreditHolder::SlotOf(const CreditKey& aKey)
{
  const auto next = static_cast<Slot>(mLimits.size());
  const auto [it, isNew] = mSlots.emplace(aKey, next);
  if (isNew) {
    Limit limit;
    limit.mKey = aKey;
    limit.mOwner = CreditOwnerOf(aKey.mName, mLiveHosts);
    mLimits.push_back(std::move(limit));
  }
  return it->second;
}

void
CreditHolder::SetCap(Slot aSlot, std::uint64_t aCap)
{
  auto& limit = mLimits[aSlot];
  limit.mSplit = SplitCap(limit.mKey.mKind, aCap, mListedHosts);
  if (!IsHardLimit(limit.mKey.mKind)) {
    MarkForRequest(aSlot);
  }
}

void
CreditHolder::MarkForRequest(Slot aSlot)
{
  if (!std::exchange(mLimits[aSlot].mIsInRequest, true)) {
    mRequestSlots.push_back(aSlot);
  }
}

bool
CreditHolder::IsIdle(const Limit& aLimit)
{
  return IsHardLimit(aLimit.mKey.mKind) && aLimit.mUse + aLimit.mWanted == 0 &&
         aLimit.mGranted == 0 && !aLimit.mNeedsAcknowledgement;
}

void
CreditHolder::SetUse(Slot aSlot, std::uint64_t aInUse)
{
  mLimits[aSlot].mUse = aInUse;
  if (aInUse > 0) {
    MarkForRequest(aSlot);
  }
}

void
CreditHolder::SetHosts(std::size_t aListedHosts, std::vector<HostId> aLiveHosts)
{
  mListedHosts = aListedHosts;
  const bool ownersChange = aLiveHosts != mLiveHosts;
  mLiveHosts = std::move(aLiveHosts);
  for (auto& limit : mLimits) {
    limit.mSplit = SplitCap(limit.mKey.mKind, limit.mSplit.mCap, mListedHosts);
    if (ownersChange) {
      limit.mOwner = CreditOwnerOf(limit.mKey.mName, mLiveHosts);
    }
  }
}

void
CreditHolder::SetWanted(Slot aSlot,
                        std::uint64_t aWanted,
                        std::uint64_t aMinimum)
{
  mLimits[aSlot].mWanted = aWanted;
  mLimits[aSlot].mMinimum = aMinimum;
  if (aWanted > 0) {
    MarkForRequest(aSlot);
  }
}

bool
CreditHolder::HasValidGrant(Slot aSlot) const
{
  return mClock.Now() < mLimits[aSlot].mExpires;
}

std::uint64_t
CreditHolder::Allowed(Slot aSlot) const
{
  const auto& limit = mLimits[aSlot];
  return limit.mSplit.mStaticPerHost +
         (HasValidGrant(aSlot) ? limit.mGranted : 0);
}

std::vector<CreditRequest>
CreditHolder::Collect()
{
  std::map<HostId, CreditRequest> requests;
  std::map<HostId, SentRequest> sent;
  const auto now = mClock.Now();
  // Idle teams are left out of the requests to save messages.
  std::erase_if(mRequestSlots, [this](Slot aSlot) {
    auto& limit = mLimits[aSlot];
    limit.mIsInRequest = !IsIdle(limit);
    return !limit.mIsInRequest;
  });
  std::sort(mRequestSlots.begin(), mRequestSlots.end());
  for (const auto slot : mRequestSlots) {
    auto& limit = mLimits[slot];
    if (limit.mSplit.mCap == 0 || limit.mOwner.IsEmpty()) {
      continue;
    }
    limit.mNeedsAcknowledgement = false;
    requests[limit.mOwner].mAsks.push_back({ limit.mKey.mKind,
                                             limit.mKey.mName,
                                             limit.mUse,
                                             limit.mWanted,
                                             limit.mMinimum });
    sent[limit.mOwner].mUse.emplace(slot, limit.mUse);
  }
  std::vector<CreditRequest> result;
  for (auto& [owner, request] : requests) {
    auto& state = mOwners[owner];
    request.mFrom = mHost;
    request.mOwner = owner;
    request.mSequence = ++state.mSequence;
    request.mAcknowledged = state.mAcknowledged;
    request.mIncarnation = mIncarnation;
    sent[owner].mTime = now;
    state.mSent.emplace(request.mSequence, std::move(sent[owner]));
    if (state.mSent.size() > kMaxSent) {
      state.mSent.erase(state.mSent.begin());
    }
    result.push_back(std::move(request));
  }
  return result;
}

void
CreditHolder::ApplyShare(const CreditShare& aShare,
                         const CreditGrant& aGrant,
                         const SentRequest& aSent,
                         std::vector<Slot>& aChanged)
{
  const auto it = mSlots.find({ aShare.mKind, aShare.mName });
  // A late grant of a former owner must not add to that of the new owner.
  if (it == mSlots.end() || mLimits[it->second].mOwner != aGrant.mOwner) {
    return;
  }
  auto& limit = mLimits[it->second];
  limit.mNeedsAcknowledgement = limit.mGranted > 0;
  limit.mGranted = aShare.mAmount;
  MarkForRequest(it->second);
  limit.mExpires = aSent.mTime + Duration(aGrant.mLifetimeMicros);
  const auto stated = aSent.mUse.find(it->second);
  const auto own = stated == aSent.mUse.end() ? 0 : stated->second;
  limit.mOthersUse = aShare.mFleetUse > own ? aShare.mFleetUse - own : 0;
  aChanged.push_back(it->second);
}

std::vector<CreditHolder::Slot>
CreditHolder::OnGrant(const CreditGrant& aGrant)
{
  std::vector<Slot> changed;
  const auto owner = mOwners.find(aGrant.mOwner);
  if (aGrant.mTo != mHost || aGrant.mIncarnation != mIncarnation ||
      owner == mOwners.end()) {
    return changed;
  }
  auto& state = owner->second;
  const auto sent = state.mSent.find(aGrant.mSequence);
  if (sent == state.mSent.end()) {
    return changed;
  }
  for (const auto& share : aGrant.mShares) {
    ApplyShare(share, aGrant, sent->second, changed);
  }
  state.mAcknowledged = aGrant.mSequence;
  // A grant replaces earlier ones, so late answers to earlier requests are
  // ignored.
  state.mSent.erase(state.mSent.begin(), std::next(sent));
  return changed;
}

} // namespace ragwortdeck
