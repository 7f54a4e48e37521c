#pragma once

#include "Controllers/MembershipMessages.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"

#include <map>
#include <optional>
#include <set>

namespace ragwortdeck {

struct MembershipSettings
{
  /// One member is probed per period.
  Duration mPeriod{ std::chrono::milliseconds(500) };
  /// Without an ack for this long, other members are asked to probe.
  Duration mProbeTimeout{ std::chrono::milliseconds(200) };
  std::size_t mIndirectProbes = 3;
  /// A suspicion lasts this many periods per decimal digit of the member
  /// count.
  std::uint32_t mSuspicionPeriods = 4;
  /// Updates per message, besides the sender's own record.
  std::size_t mMaxUpdates = 6;
  /// Dead members are tried again, and listed, for this long. Longer than a
  /// partition between regions, which lasts about an hour.
  Duration mForgetAfter{ std::chrono::hours(2) };
  /// Shortest time between two full exchanges that this host starts.
  Duration mSyncInterval{ std::chrono::seconds(3) };
};

/// \brief SWIM-style membership of the control processes.
///
/// Work and messages per period do not depend on the number of members, apart
/// from a logarithmic number of repeats of each update.
class Membership
{
public:
  struct Hooks
  {
    /// Sends to a member. The host is empty when only the address is known;
    /// the address is empty when only an open connection can be used.
    std::function<void(const HostId& aTo,
                       const std::string& aAddress,
                       MemberMessage aMessage)>
      mSend;
    /// A member appeared, or its state, incarnation or address changed.
    std::function<void(const MemberRecord&)> mOnChange;
    /// Versions to carry in probes.
    std::function<SharedVersions()> mVersions;
    /// Versions that another host has.
    std::function<void(const HostId&, const SharedVersions&)> mOnVersions;
  };

  /// aSelf: own record; its incarnation is the start time of the process.
  Membership(Scheduler& aScheduler,
             RandomSource aRandom,
             MemberRecord aSelf,
             MembershipSettings aSettings,
             Hooks aHooks);

  void Start();
  /// Tells members that this host leaves, and stops probing.
  void Leave();
  /// Addresses to join through, from settings and the host list.
  void SetSeeds(std::vector<std::string> aAddresses);
  void OnMessage(const HostId& aFrom, const MemberMessage& aMessage);

  const MemberRecord& Self() const { return mSelf; }
  /// Members believed alive or under suspicion, and this host; by id.
  std::vector<MemberRecord> Live() const;
  /// All known members and this host.
  std::vector<MemberRecord> All() const;
  /// Null when unknown; also for this host.
  const MemberRecord* Find(const HostId& aHost) const;
  bool IsLive(const HostId& aHost) const;
  std::size_t LiveCount() const { return mOrder.size() + 1; }

private:
  struct Member
  {
    MemberRecord mRecord;
    /// End of the suspicion, or time to forget a dead member.
    MonotonicTime mDeadline;
  };
  struct Probe
  {
    HostId mTarget;
    std::uint64_t mSequence = 0;
    bool mAcked = false;
  };
  struct Relay
  {
    HostId mRequester;
    std::uint64_t mSequence = 0;
    MonotonicTime mExpiry;
  };

  void Tick();
  void AbsorbPause(Duration aGap);
  void FinishProbe();
  void StartProbe();
  void AskOthers(std::uint64_t aSequence);
  void Rejoin();
  void ExpireDeadlines();

  void Take(const HostId& aFrom, const PingMessage& aPing);
  void Take(const HostId& aFrom, const AckMessage& aAck);
  void Take(const HostId& aFrom, const PingRequestMessage& aRequest);
  void Take(const HostId& aFrom, const MembersFetchMessage& aFetch);
  void Take(const HostId& aFrom, const MembersMessage& aMembers);

  void Merge(const MemberRecord& aRecord);
  void MergeSelf(const MemberRecord& aRecord);
  void Apply(const MemberRecord& aRecord);
  void Announce(const MemberRecord& aRecord);
  void SendPing(const HostId& aTo,
                const std::string& aAddress,
                std::uint64_t aSequence);
  void Send(const HostId& aTo,
            const std::string& aAddress,
            MemberMessage aMessage);
  std::vector<MemberRecord> UpdatesFor(const HostId& aTo);
  std::string AddressOf(const HostId& aHost) const;
  std::vector<HostId> RandomLive(std::size_t aCount, const HostId& aExcept);
  void CompareDigest(const HostId& aFrom, std::uint64_t aDigest);
  std::uint32_t RepeatLimit() const;
  Duration SuspicionTime() const;

  Scheduler& mScheduler;
  RandomSource mRandom;
  MemberRecord mSelf;
  MembershipSettings mSettings;
  Hooks mHooks;
  bool mLeaving = false;
  std::vector<std::string> mSeeds;
  std::size_t mNextSeed = 0;
  std::set<std::string> mLiveAddresses;
  std::map<HostId, Member> mMembers;
  /// Members to probe, shuffled each round.
  std::vector<HostId> mOrder;
  std::size_t mNextInOrder = 0;
  /// Members with a deadline: suspects, dead and left ones.
  std::set<HostId> mTimed;
  /// Updates still to be passed on, by the number of times they were sent.
  std::set<std::pair<std::uint32_t, HostId>> mUpdateOrder;
  std::map<HostId, std::uint32_t> mUpdateSends;
  std::uint64_t mDigest = 0;
  std::uint32_t mDigestMismatches = 0;
  std::optional<MonotonicTime> mLastSync;
  std::uint64_t mNextSequence = 1;
  std::optional<Probe> mProbe;
  std::map<std::uint64_t, Relay> mRelays;
  std::uint64_t mTicks = 0;
  MonotonicTime mLastTick;
  TimerHandle mTickTimer;
  TimerHandle mProbeTimer;
};

} // namespace ragwortdeck
