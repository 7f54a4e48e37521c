#include "Controllers/Membership.h"

#include "Core/Log.h"

#include <algorithm>
#include <bit>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

const Log sLog("membership");

// Each update is passed on this many times per binary digit of the member
// count; SWIM shows that a small constant reaches all members with high
// probability.
constexpr std::uint32_t kRepeatFactor = 3;
// One seed or dead member is tried again every so many periods.
constexpr std::uint64_t kRejoinTicks = 4;
// Seeds compared with the members at a time.
constexpr std::size_t kSeedChecks = 32;
// A gap of more periods than this between two ticks means that this process
// was paused, so that missing acks say nothing about others.
constexpr int kPausePeriods = 3;
// Probes relayed for others at a time.
constexpr std::size_t kMaxRelays = 1024;
// Probes with another digest than ours before a full exchange; fewer would
// start one for each update that is still under way.
constexpr std::uint32_t kMismatchesBeforeSync = 3;
// Direct copies of the leave message; the rest spreads by piggyback.
constexpr std::size_t kLeaveCopies = 6;

std::uint64_t
DigestOf(const MemberRecord& aRecord)
{
  const auto& host = aRecord.mHost.Value();
  return XXH64(host.data(), host.size(), aRecord.mIncarnation);
}

bool
CountsAsLive(const MemberRecord& aRecord)
{
  return aRecord.mState == MemberState::kAlive ||
         aRecord.mState == MemberState::kSuspect;
}

bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld)
{
  return aNew.mIncarnation > aOld.mIncarnation ||
         (aNew.mIncarnation == aOld.mIncarnation && aNew.mState > aOld.mState);
}

} // namespace

const char*
ToText(MemberState aState)
{
  switch (aState) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

Membership::Membership(Scheduler& aScheduler,
                       RandomSource aRandom,
                       MemberRecord aSelf,
                       MembershipSettings aSettings,
                       Hooks aHooks)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mDigest(DigestOf(mSelf))
{
}

void
Membership::Start()
{
  mLastTick = mScheduler.Now();
  for (const auto& seed : mSeeds) {
    SendPing(HostId(), seed, mNextSequence++);
  }
  // The first probe comes at a random moment of the period, so that hosts
  // that start together do not probe together.
  const Duration offset(
    std::int64_t(mRandom.Below(std::uint64_t(mSettings.mPeriod.count()))));
  mTickTimer = mScheduler.After(offset, [this] { Tick(); });
}

void
Membership::Leave()
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mTickTimer.Cancel();
  mProbeTimer.Cancel();
  mProbe.reset();
  mSelf.mState = MemberState::kLeft;
  for (const auto& host : RandomLive(kLeaveCopies, HostId())) {
    SendPing(host, AddressOf(host), mNextSequence++);
  }
}

void
Membership::SetSeeds(std::vector<std::string> aAddresses)
{
  std::erase(aAddresses, mSelf.mAddress);
  mSeeds = std::move(aAddresses);
}

std::vector<MemberRecord>
Membership::Live() const
{
  auto records = All();
  std::erase_if(records, [](const MemberRecord& aRecord) {
    return !CountsAsLive(aRecord);
  });
  return records;
}

std::vector<MemberRecord>
Membership::All() const
{
  std::vector<MemberRecord> records{ mSelf };
  records.reserve(mMembers.size() + 1);
  for (const auto& [host, member] : mMembers) {
    records.push_back(member.mRecord);
  }
  std::sort(records.begin(),
            records.end(),
            [](const MemberRecord& aLeft, const MemberRecord& aRight) {
              return aLeft.mHost < aRight.mHost;
            });
  return records;
}

const MemberRecord*
Membership::Find(const HostId& aHost) const
{
  if (aHost == mSelf.mHost) {
    return &mSelf;
  }
  const auto it = mMembers.find(aHost);
  return it == mMembers.end() ? nullptr : &it->second.mRecord;
}

bool
Membership::IsLive(const HostId& aHost) const
{
  const auto* record = Find(aHost);
  return record != nullptr && CountsAsLive(*record);
}

void
Membership::Tick()
{
  const auto now = mScheduler.Now();
  const auto gap = now - mLastTick;
  mLastTick = now;
  if (gap > kPausePeriods * mSettings.mPeriod) {
    AbsorbPause(gap);
  } else {
    FinishProbe();
  }
  ExpireDeadlines();
  StartProbe();
  if (mTicks++ % kRejoinTicks == 0 || mOrder.empty()) {
    Rejoin();
  }
  mTickTimer = mScheduler.After(mSettings.mPeriod, [this] { Tick(); });
}

// Missing acks during a pause of this process must not make it suspect the
// others, nor end suspicions that they had no chance to refute here.
void
Membership::AbsorbPause(Duration aGap)
{
  sLog.Warning("this process was paused for " +
               std::to_string(aGap.count() / 1000) + " ms");
  mProbe.reset();
  for (const auto& host : mTimed) {
    mMembers.at(host).mDeadline += aGap;
  }
}

void
Membership::FinishProbe()
{
  if (!mProbe) {
    return;
  }
  const auto probe = *mProbe;
  mProbe.reset();
  const auto it = mMembers.find(probe.mTarget);
  if (probe.mAcked || it == mMembers.end() ||
      it->second.mRecord.mState != MemberState::kAlive) {
    return;
  }
  auto record = it->second.mRecord;
  record.mState = MemberState::kSuspect;
  Merge(record);
}

void
Membership::ExpireDeadlines()
{
  const auto now = mScheduler.Now();
  const std::vector<HostId> timed(mTimed.begin(), mTimed.end());
  for (const auto& host : timed) {
    const auto& member = mMembers.at(host);
    if (member.mDeadline > now) {
      continue;
    }
    if (member.mRecord.mState == MemberState::kSuspect) {
      auto record = member.mRecord;
      record.mState = MemberState::kDead;
      Merge(record);
      continue;
    }
    mTimed.erase(host);
    mMembers.erase(host);
  }
  std::erase_if(mRelays,
                [&](const auto& aItem) { return aItem.second.mExpiry <= now; });
}

void
Membership::StartProbe()
{
  if (mOrder.empty()) {
    return;
  }
  if (mNextInOrder >= mOrder.size()) {
    mNextInOrder = 0;
    for (std::size_t n = mOrder.size() - 1; n > 0; --n) {
      std::swap(mOrder[n], mOrder[mRandom.Below(n + 1)]);
    }
  }
  const auto target = mOrder[mNextInOrder++];
  const auto sequence = mNextSequence++;
  mProbe = Probe{ target, sequence, false };
  SendPing(target, AddressOf(target), sequence);
  mProbeTimer = mScheduler.After(mSettings.mProbeTimeout,
                                 [this, sequence] { AskOthers(sequence); });
}

void
Membership::AskOthers(std::uint64_t aSequence)
{
  if (!mProbe || mProbe->mSequence != aSequence || mProbe->mAcked) {
    return;
  }
  const auto target = mProbe->mTarget;
  for (const auto& host : RandomLive(mSettings.mIndirectProbes, target)) {
    Send(host,
         AddressOf(host),
         PingRequestMessage{
           aSequence, target, AddressOf(target), UpdatesFor(host) });
  }
}

void
Membership::Rejoin()
{
  std::vector<HostId> dead;
  for (const auto& host : mTimed) {
    if (mMembers.at(host).mRecord.mState == MemberState::kDead) {
      dead.push_back(host);
    }
  }
  if (!dead.empty()) {
    const auto& host = dead[mRandom.Below(dead.size())];
    SendPing(host, AddressOf(host), mNextSequence++);
  }
  // A bounded number of seeds per call; the host list names all hosts.
  const auto checks = std::min(mSeeds.size(), kSeedChecks);
  for (std::size_t n = 0; n < checks; ++n) {
    const auto& seed = mSeeds[mNextSeed++ % mSeeds.size()];
    if (!mLiveAddresses.contains(seed)) {
      SendPing(HostId(), seed, mNextSequence++);
      return;
    }
  }
}

void
Membership::SendPing(const HostId& aTo,
                     const std::string& aAddress,
                     std::uint64_t aSequence)
{
  Send(aTo,
       aAddress,
       PingMessage{
         aSequence, aTo, mDigest, mHooks.mVersions(), UpdatesFor(aTo) });
}

void
Membership::Send(const HostId& aTo,
                 const std::string& aAddress,
                 MemberMessage aMessage)
{
  mHooks.mSend(aTo, aAddress, std::move(aMessage));
}

std::vector<MemberRecord>
Membership::UpdatesFor(const HostId& aTo)
{
  std::vector<MemberRecord> updates{ mSelf };
  // A member must hear when it is not believed alive, so that it can refute.
  const auto it = mMembers.find(aTo);
  if (it != mMembers.end() &&
      it->second.mRecord.mState != MemberState::kAlive) {
    updates.push_back(it->second.mRecord);
  }
  std::vector<std::pair<std::uint32_t, HostId>> taken;
  for (const auto& entry : mUpdateOrder) {
    if (taken.size() >= mSettings.mMaxUpdates) {
      break;
    }
    taken.push_back(entry);
  }
  for (const auto& [sends, host] : taken) {
    mUpdateOrder.erase({ sends, host });
    const auto member = mMembers.find(host);
    if (member != mMembers.end()) {
      updates.push_back(member->second.mRecord);
    }
    if (member == mMembers.end() || sends + 1 >= RepeatLimit()) {
      mUpdateSends.erase(host);
      continue;
    }
    mUpdateSends[host] = sends + 1;
    mUpdateOrder.emplace(sends + 1, host);
  }
  return updates;
}

void
Membership::OnMessage(const HostId& aFrom, const MemberMessage& aMessage)
{
  if (aFrom == mSelf.mHost) {
    return;
  }
  std::visit([&](const auto& aBody) { Take(aFrom, aBody); }, aMessage);
}

void
Membership::Take(const HostId& aFrom, const PingMessage& aPing)
{
  for (const auto& record : aPing.mUpdates) {
    Merge(record);
  }
  // The address may belong to another host by now.
  if (!aPing.mTarget.IsEmpty() && aPing.mTarget != mSelf.mHost) {
    return;
  }
  Send(aFrom,
       AddressOf(aFrom),
       AckMessage{ aPing.mSequence,
                   mSelf.mHost,
                   mDigest,
                   mHooks.mVersions(),
                   UpdatesFor(aFrom) });
  mHooks.mOnVersions(aFrom, aPing.mVersions);
  CompareDigest(aFrom, aPing.mDigest);
}

void
Membership::Take(const HostId& aFrom, const AckMessage& aAck)
{
  for (const auto& record : aAck.mUpdates) {
    Merge(record);
  }
  if (mProbe && mProbe->mSequence == aAck.mSequence &&
      mProbe->mTarget == aAck.mSubject) {
    mProbe->mAcked = true;
  }
  const auto relay = mRelays.find(aAck.mSequence);
  if (relay != mRelays.end()) {
    auto passed = aAck;
    passed.mSequence = relay->second.mSequence;
    passed.mUpdates = UpdatesFor(relay->second.mRequester);
    if (const auto* subject = Find(aAck.mSubject)) {
      passed.mUpdates.push_back(*subject);
    }
    const auto requester = relay->second.mRequester;
    mRelays.erase(relay);
    Send(requester, AddressOf(requester), std::move(passed));
  }
  if (aAck.mSubject == aFrom) {
    mHooks.mOnVersions(aFrom, aAck.mVersions);
    CompareDigest(aFrom, aAck.mDigest);
  }
}

void
Membership::Take(const HostId& aFrom, const PingRequestMessage& aRequest)
{
  for (const auto& record : aRequest.mUpdates) {
    Merge(record);
  }
  if (mRelays.size() >= kMaxRelays) {
    return;
  }
  const auto sequence = mNextSequence++;
  mRelays[sequence] = { aFrom,
                        aRequest.mSequence,
                        mScheduler.Now() + 2 * mSettings.mPeriod };
  SendPing(aRequest.mTarget, aRequest.mTargetAddress, sequence);
}

void
Membership::Take(const HostId& aFrom, const MembersFetchMessage& aFetch)
{
  Merge(aFetch.mSelf);
  Send(aFrom, AddressOf(aFrom), MembersMessage{ All() });
}

void
Membership::Take(const HostId&, const MembersMessage& aMembers)
{
  for (auto record : aMembers.mMembers) {
    // After a partition each side lists the other as dead. Taken as a mere
    // suspicion, the entry can be refuted before it has any effect.
    if (record.mState == MemberState::kDead && IsLive(record.mHost)) {
      record.mState = MemberState::kSuspect;
    }
    Merge(record);
  }
}

void
Membership::Merge(const MemberRecord& aRecord)
{
  if (aRecord.mHost.IsEmpty()) {
    return;
  }
  if (aRecord.mHost == mSelf.mHost) {
    MergeSelf(aRecord);
    return;
  }
  const auto it = mMembers.find(aRecord.mHost);
  if (it == mMembers.end() ? CountsAsLive(aRecord)
                           : Overrides(aRecord, it->second.mRecord)) {
    Apply(aRecord);
  }
}

void
Membership::MergeSelf(const MemberRecord& aRecord)
{
  if (mLeaving || aRecord.mIncarnation < mSelf.mIncarnation) {
    return;
  }
  const bool same = aRecord.mIncarnation == mSelf.mIncarnation;
  if (same && aRecord.mState == MemberState::kAlive) {
    if (aRecord.mAddress != mSelf.mAddress) {
      sLog.Error("host id " + mSelf.mHost.Value() + " is also used at " +
                 aRecord.mAddress);
    }
    return;
  }
  // Refutes a suspicion, or follows a record of an earlier process whose clock
  // was ahead.
  mDigest ^= DigestOf(mSelf);
  mSelf.mIncarnation = aRecord.mIncarnation + 1;
  mDigest ^= DigestOf(mSelf);
}

void
Membership::Apply(const MemberRecord& aRecord)
{
  const auto& host = aRecord.mHost;
  auto& member = mMembers[host];
  const bool isNew = member.mRecord.mHost.IsEmpty();
  const bool wasLive = !isNew && CountsAsLive(member.mRecord);
  const bool isLive = CountsAsLive(aRecord);
  const auto oldState = member.mRecord.mState;
  if (wasLive) {
    mDigest ^= DigestOf(member.mRecord);
    mLiveAddresses.erase(member.mRecord.mAddress);
  }
  member.mRecord = aRecord;
  if (isLive) {
    mDigest ^= DigestOf(aRecord);
    mLiveAddresses.insert(aRecord.mAddress);
  }
  if (isLive && !wasLive) {
    // A random place spreads the first probes of new members.
    mOrder.push_back(host);
    std::swap(mOrder.back(), mOrder[mRandom.Below(mOrder.size())]);
  }
  if (!isLive && wasLive) {
    std::erase(mOrder, host);
  }
  mTimed.erase(host);
  if (aRecord.mState != MemberState::kAlive) {
    mTimed.insert(host);
    member.mDeadline =
      mScheduler.Now() + (aRecord.mState == MemberState::kSuspect
                            ? SuspicionTime()
                            : mSettings.mForgetAfter);
  }
  if (isNew || oldState != aRecord.mState) {
    sLog.Info(host.Value() + " is " + ToText(aRecord.mState) +
              ", incarnation " + std::to_string(aRecord.mIncarnation));
  }
  Announce(aRecord);
  mHooks.mOnChange(aRecord);
}

void
Membership::Announce(const MemberRecord& aRecord)
{
  const auto it = mUpdateSends.find(aRecord.mHost);
  if (it != mUpdateSends.end()) {
    mUpdateOrder.erase({ it->second, aRecord.mHost });
  }
  mUpdateSends[aRecord.mHost] = 0;
  mUpdateOrder.emplace(0, aRecord.mHost);
}

std::string
Membership::AddressOf(const HostId& aHost) const
{
  const auto* record = Find(aHost);
  return record == nullptr ? std::string() : record->mAddress;
}

std::vector<HostId>
Membership::RandomLive(std::size_t aCount, const HostId& aExcept)
{
  std::vector<HostId> hosts;
  // A few more draws than wanted make up for repeats without a scan.
  for (std::size_t n = 0; n < 4 * aCount && hosts.size() < aCount; ++n) {
    if (mOrder.empty()) {
      break;
    }
    const auto& host = mOrder[mRandom.Below(mOrder.size())];
    if (host != aExcept &&
        std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
Membership::CompareDigest(const HostId& aFrom, std::uint64_t aDigest)
{
  if (aDigest == mDigest) {
    mDigestMismatches = 0;
    return;
  }
  const auto now = mScheduler.Now();
  const bool joining = !mLastSync;
  if (!joining && (++mDigestMismatches < kMismatchesBeforeSync ||
                   now - *mLastSync < mSettings.mSyncInterval)) {
    return;
  }
  mDigestMismatches = 0;
  mLastSync = now;
  Send(aFrom, AddressOf(aFrom), MembersFetchMessage{ mSelf });
}

std::uint32_t
Membership::RepeatLimit() const
{
  return kRepeatFactor * std::uint32_t(std::bit_width(LiveCount()));
}

Duration
Membership::SuspicionTime() const
{
  std::uint32_t digits = 1;
  for (auto count = LiveCount(); count >= 10; count /= 10) {
    ++digits;
  }
  return mSettings.mPeriod * mSettings.mSuspicionPeriods * digits;
}

} // namespace ragwortdeck
