#pragma once

#include "Control/ControlCore.h"
#include "Support/FakeKeyValueStore.h"
#include "Support/VirtualScheduler.h"

#include <map>
#include <set>

namespace ragwortdeck {

/// \brief Scheduler of one host: while the host is frozen its tasks wait, and
/// after the host's end they are dropped.
class HostScheduler : public Scheduler
{
public:
  explicit HostScheduler(VirtualScheduler& aBase);

  MonotonicTime Now() const override { return mBase.Now(); }
  WallTime WallNow() const override { return mBase.WallNow(); }
  TimerHandle After(Duration aDelay, std::function<void()> aTask) override;
  void Post(Duration aDelay, std::function<void()> aTask) override;

  void Freeze() { mState->mFrozen = true; }
  void Thaw();

private:
  struct State
  {
    bool mFrozen = false;
    std::vector<std::function<void()>> mHeld;
  };
  VirtualScheduler& mBase;
  std::shared_ptr<State> mState = std::make_shared<State>();
};

/// \brief One host: its control core, key-value client and counters.
struct FabricHost
{
  HostId mId;
  FailureDomain mDomain;
  std::unique_ptr<HostScheduler> mScheduler;
  std::unique_ptr<FakeKeyValueStore> mStore;
  std::unique_ptr<ControlCore> mCore;
  bool mFrozen = false;
  std::uint64_t mSent = 0;
  std::uint64_t mSentBytes = 0;
  /// Time at which each table version came into force here.
  std::map<std::uint64_t, MonotonicTime> mInForce;
  SiteView mView;
  /// A view went back to an older table.
  bool mReverted = false;
  std::uint64_t mPolls = 0;
  std::uint64_t mViews = 0;
  std::uint64_t mLoadUpdates = 0;

  bool IsUp() const { return mCore != nullptr; }
};

/// \brief Hosts in virtual time over a network that can delay, drop, cut one
/// way, freeze and restart.
class Fabric
{
public:
  Fabric(std::size_t aHosts, std::size_t aDomains, std::uint64_t aSeed);

  VirtualScheduler mTime;
  std::shared_ptr<FakeKeyValueService> mService =
    std::make_shared<FakeKeyValueService>();
  std::vector<FabricHost> mHosts;
  double mDrop = 0.0;
  Duration mDelayMin{ std::chrono::microseconds(500) };
  Duration mDelayMax{ std::chrono::milliseconds(3) };
  /// Messages from the first to the second host are lost.
  std::set<std::pair<std::size_t, std::size_t>> mCuts;
  ControlCoreSettings mSettings;
  /// Load reports of targets; empty: refused.
  std::function<Result<LoadReport>(const TargetId&)> mLoadOf;

  void StartAll();
  void Start(std::size_t aHost);
  void Kill(std::size_t aHost);
  void Freeze(std::size_t aHost);
  void Thaw(std::size_t aHost);
  /// Cuts both ways between the two sets of hosts.
  void Split(const std::vector<std::size_t>& aLeft,
             const std::vector<std::size_t>& aRight);
  void Heal() { mCuts.clear(); }

  /// Commits an edit of one team's share; returns the new table version.
  std::uint64_t Edit(std::uint32_t aShare);
  void Mark(const std::string& aHost, const std::string& aJson);
  void Unmark(const std::string& aHost);

  /// True when each running host sees exactly the running hosts as live.
  bool AllAgree() const;
  bool AllHave(std::uint64_t aVersion) const;
  /// Advances in small steps until aDone; the time it took, or nothing after
  /// aLimit.
  std::optional<Duration> Until(Duration aLimit,
                                const std::function<bool()>& aDone);
  std::size_t IndexOf(const std::string& aHost) const;
  std::vector<std::size_t> Watchers() const;
  bool AnyReverted() const;
  void ResetCounters();

private:
  void Send(std::size_t aFrom,
            const HostId& aTo,
            const std::string& aAddress,
            PeerMessage aMessage);
  ControlCore::Hooks HooksOf(std::size_t aHost);

  RandomSource mRandom;
  std::map<std::string, std::size_t> mIndex;
  std::uint64_t mVersion = 0;
};

} // namespace ragwortdeck
