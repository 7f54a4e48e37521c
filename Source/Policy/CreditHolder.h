#pragma once

#include "Core/Clock.h"
#include "Policy/CreditOwnership.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief Tracks the credits of one host: the use and the demand of each limit,
/// and the amount that it may use now. Compares grants with the monotonic
/// clock at each use, so that they have expired when a host resumes from a
/// pause.
class CreditHolder
{
public:
  /// Index of a limit; valid for the lifetime of the holder.
  using Slot = std::uint32_t;

  CreditHolder(HostId aHost, std::uint64_t aIncarnation, const Clock& aClock);

  Slot SlotOf(const CreditKey& aKey);
  /// Sets the cap of a limit; 0 removes it from requests.
  void SetCap(Slot aSlot, std::uint64_t aCap);
  /// Sets the number of listed hosts, which share the limits, and the live
  /// hosts, which may own them.
  void SetHosts(std::size_t aListedHosts, std::vector<HostId> aLiveHosts);

  void SetUse(Slot aSlot, std::uint64_t aInUse);
  void SetWanted(Slot aSlot, std::uint64_t aWanted, std::uint64_t aMinimum);

  /// Static share plus the granted amount if the grant has not expired.
  std::uint64_t Allowed(Slot aSlot) const;
  /// True while a grant is valid, which implies that the owner is reachable.
  bool HasValidGrant(Slot aSlot) const;
  /// Use of the other hosts according to the last grant.
  std::uint64_t OthersUse(Slot aSlot) const
  {
    return mLimits[aSlot].mOthersUse;
  }

  /// One batched request per owner.
  std::vector<CreditRequest> Collect();
  /// Applies a grant and returns the slots that it changed. Ignores grants that
  /// are outdated or addressed to another host or process.
  std::vector<Slot> OnGrant(const CreditGrant& aGrant);

private:
  struct Limit
  {
    CreditKey mKey;
    CreditSplit mSplit;
    HostId mOwner;
    std::uint64_t mUse = 0;
    std::uint64_t mWanted = 0;
    std::uint64_t mMinimum = 0;
    std::uint64_t mGranted = 0;
    std::uint64_t mOthersUse = 0;
    MonotonicTime mExpires{};
    /// The owner still counts an earlier, possibly larger grant until the next
    /// request acknowledges this one.
    bool mNeedsAcknowledgement = false;
    /// True while mRequestSlots contains the limit.
    bool mIsInRequest = false;
  };

  struct SentRequest
  {
    MonotonicTime mTime;
    /// The use stated per slot. Subtracting it from the fleet use in the grant
    /// gives the use of the other hosts.
    std::unordered_map<Slot, std::uint64_t> mUse;
  };

  struct OwnerState
  {
    std::uint64_t mSequence = 0;
    std::uint64_t mAcknowledged = 0;
    std::map<std::uint64_t, SentRequest> mSent;
  };

  static bool IsIdle(const Limit& aLimit);
  void MarkForRequest(Slot aSlot);
  void ApplyShare(const CreditShare& aShare,
                  const CreditGrant& aGrant,
                  const SentRequest& aSent,
                  std::vector<Slot>& aChanged);

  HostId mHost;
  std::uint64_t mIncarnation;
  const Clock& mClock;
  std::size_t mListedHosts = 1;
  std::vector<HostId> mLiveHosts;
  std::vector<Limit> mLimits;
  /// Limits to include in requests: those of targets, and those of teams with
  /// use, demand or an unacknowledged grant on this host. Most teams are idle
  /// at any time.
  std::vector<Slot> mRequestSlots;
  std::unordered_map<CreditKey, Slot, CreditKeyHash> mSlots;
  std::map<HostId, OwnerState> mOwners;
};

} // namespace ragwortdeck
