#pragma once

#include "Controllers/AliveToken.h"
#include "Controllers/DomainTree.h"
#include "Controllers/HostDirectory.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"

#include <map>
#include <string_view>

namespace ragwortdeck {

/// \brief One target as its poller found it.
struct TargetProbe
{
  TargetId mTarget;
  bool mReachable = true;
  /// With its age when the message was sent.
  LoadReport mLoad;

  bool operator==(const TargetProbe&) const = default;
  MSGPACK_DEFINE_MAP(mTarget, mReachable, mLoad)
};

/// \brief Probes of one poller, passed on along the tree of each domain.
struct TargetLoadsMessage
{
  static constexpr std::string_view kType = "target_loads";
  HostId mOrigin;
  /// Start of the poller's process; its sequence starts again from 1.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  std::vector<TargetProbe> mProbes;

  bool operator==(const TargetLoadsMessage&) const = default;
  MSGPACK_DEFINE_MAP(mOrigin, mIncarnation, mSequence, mProbes)
};

struct LoadSharingSettings
{
  /// Each target is polled once per interval by its first poller.
  Duration mInterval{ std::chrono::seconds(1) };
  /// The second poller steps in after this time without news of a target.
  Duration mTakeOver{ std::chrono::milliseconds(2500) };
  /// Failed polls in a row after which a target counts as unreachable.
  std::uint32_t mFailures = 3;
};

/// \brief Polls the load of targets and shares the results.
///
/// Rendezvous hashing gives each target two pollers among the live entry
/// hosts. The first polls; the second does so only while nothing is heard of
/// the target. Polls therefore grow with the targets, not with the hosts.
class LoadSharing
{
public:
  using ReportCallback = std::function<void(const Result<LoadReport>&)>;
  struct Hooks
  {
    /// Reads the load report of a target; calls back once, within a bounded
    /// time.
    std::function<void(const Target&, ReportCallback)> mPoll;
    std::function<void(const HostId&, const TargetLoadsMessage&)> mSend;
  };

  LoadSharing(Scheduler& aScheduler,
              RandomSource aRandom,
              HostId aSelf,
              std::uint64_t aIncarnation,
              const DomainTree& aTree,
              HostDirectory& aDirectory,
              LoadSharingSettings aSettings,
              Hooks aHooks);

  void Start();
  void Stop();
  void OnMembers(const std::vector<MemberRecord>& aMembers);
  /// Targets changed.
  void OnDirectory();
  void OnMessage(const TargetLoadsMessage& aMessage);

  /// The two live hosts that poll a target, first one first.
  static std::vector<HostId> PollersOf(const TargetId& aTarget,
                                       const std::vector<HostId>& aHosts);

private:
  struct Duty
  {
    /// 0 for the first poller, 1 for the second.
    std::size_t mPlace = 0;
    Target mTarget;
  };
  struct Heard
  {
    MonotonicTime mTime;
    std::uint32_t mFailures = 0;
    bool mPolling = false;
  };

  void AssignDuties();
  void Tick();
  void Poll(const Target& aTarget);
  void TakeReport(const TargetId& aTarget, const Result<LoadReport>& aReport);
  void Flush();
  void Apply(const TargetProbe& aProbe);

  Scheduler& mScheduler;
  RandomSource mRandom;
  HostId mSelf;
  std::uint64_t mIncarnation;
  const DomainTree& mTree;
  HostDirectory& mDirectory;
  LoadSharingSettings mSettings;
  Hooks mHooks;
  std::vector<HostId> mHosts;
  std::map<TargetId, Duty> mDuties;
  bool mDutiesStale = true;
  std::map<TargetId, Heard> mHeard;
  std::vector<TargetProbe> mPending;
  std::uint64_t mSequence = 0;
  std::map<HostId, std::pair<std::uint64_t, std::uint64_t>> mNewest;
  AliveToken mAlive;
  TimerHandle mTickTimer;
  TimerHandle mFlushTimer;
};

} // namespace ragwortdeck
