#pragma once

#include "Core/Clock.h"
#include "Policy/CreditOwnership.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief The credits of one host: what it uses and wants of each limit, and
/// what it may use now. Checks the monotonic clock at each use, so that a
/// host that wakes from a pause finds its grants lapsed.
class CreditHolder
{
public:
  /// Index of a limit; valid for the life of the holder.
  using Slot = std::uint32_t;

  CreditHolder(HostId aHost, std::uint64_t aIncarnation, const Clock& aClock);

  Slot SlotOf(const CreditKey& aKey);
  /// Sets the cap of a limit; 0 removes it from requests.
  void SetCap(Slot aSlot, std::uint64_t aCap);
  /// Hosts that share the limits, and hosts that may own them.
  void SetHosts(std::size_t aListed, std::vector<HostId> aLive);

  void SetUse(Slot aSlot, std::uint64_t aInUse);
  void SetWanted(Slot aSlot, std::uint64_t aWanted, std::uint64_t aMinimum);

  /// Static share plus the granted part if it has not lapsed.
  std::uint64_t Allowed(Slot aSlot) const;
  /// True while a grant is in force, which also means that the owner answers.
  bool IsFresh(Slot aSlot) const;
  /// Use of the other hosts, as the owner last said.
  std::uint64_t OthersUse(Slot aSlot) const { return mLimits[aSlot].mOthers; }

  /// One batched request per owner.
  std::vector<CreditRequest> Collect();
  /// Applies a grant; returns the slots it changed. Old, foreign and lapsed
  /// grants change nothing.
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
    std::uint64_t mOthers = 0;
    MonotonicTime mLapses{};
    /// The owner counts a larger grant until it hears from this host again.
    bool mOwesAnswer = false;
    /// In mAsked.
    bool mIsAsked = false;
  };

  struct SentRequest
  {
    MonotonicTime mTime;
    /// Slot and use stated, to find the other hosts' part of the answer.
    std::unordered_map<Slot, std::uint64_t> mUse;
  };

  struct OwnerState
  {
    std::uint64_t mSequence = 0;
    std::uint64_t mAcknowledged = 0;
    std::map<std::uint64_t, SentRequest> mSent;
  };

  static bool IsIdle(const Limit& aLimit);
  void Ask(Slot aSlot);
  void ApplyShare(const CreditShare& aShare,
                  const CreditGrant& aGrant,
                  const SentRequest& aSent,
                  std::vector<Slot>& aChanged);

  HostId mHost;
  std::uint64_t mIncarnation;
  const Clock& mClock;
  std::size_t mListed = 1;
  std::vector<HostId> mLive;
  std::vector<Limit> mLimits;
  /// Limits that a request may have to name: those of targets, and those of
  /// teams that this host serves or expects. Most teams are idle at a time.
  std::vector<Slot> mAsked;
  std::unordered_map<CreditKey, Slot, CreditKeyHash> mSlots;
  std::map<HostId, OwnerState> mOwners;
};

} // namespace ragwortdeck
