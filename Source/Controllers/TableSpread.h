#pragma once

#include "Controllers/DomainTree.h"
#include "Controllers/TableReplica.h"
#include "Controllers/TableWatcher.h"

namespace ragwortdeck {

struct TableSpreadSettings
{
  /// Hosts per failure domain that watch the key-value service.
  std::size_t mWatchersPerDomain = 2;
  /// Hosts of the own failure domain that each host passes a change on to.
  std::size_t mTreeFanOut = 3;
  /// Further hosts, drawn at random from all domains.
  std::size_t mRandomFanOut = 2;
  /// Shortest time between two fetches by this host.
  Duration mFetchInterval{ std::chrono::milliseconds(200) };
  /// A host that lost its watcher rank goes on watching for this long, so
  /// that a short suspicion does not start and stop watches.
  Duration mWatchHold{ std::chrono::seconds(10) };
  /// A starting host learns of its peers for this long before it decides
  /// whether to watch; otherwise each start of a site would open a watch on
  /// every host.
  Duration mFirstDuty{ std::chrono::milliseconds(1500) };
};

/// \brief Brings the table and the host marks to this host and passes them on.
///
/// A few hosts per failure domain watch the key-value service. A change goes
/// from them down a tree over the ranked hosts of each domain, and to a few
/// random hosts. Versions carried by probes repair what was missed.
class TableSpread
{
public:
  struct Hooks
  {
    std::function<void(const HostId& aTo, const TableMessage& aMessage)> mSend;
    std::function<void(std::shared_ptr<const Table>)> mOnTable;
    std::function<void(const HostMarks&)> mOnMarks;
  };

  TableSpread(Scheduler& aScheduler,
              RandomSource aRandom,
              HostId aSelf,
              const FailureDomain& aFailureDomain,
              KeyValueStore& aStore,
              TableSpreadSettings aSettings,
              Hooks aHooks);

  void Start();
  void Stop();
  /// All members that are alive or under suspicion, with this host.
  void OnMembers(const std::vector<MemberRecord>& aMembers);
  /// Versions that another host has.
  void OnVersions(const HostId& aFrom, const SharedVersions& aVersions);
  void OnMessage(const HostId& aFrom, const TableMessage& aMessage);

  SharedVersions Versions() const;
  bool HasTable() const { return mReplica.Version() > 0; }
  bool IsWatching() const { return mWatcher.IsRunning(); }
  const TableReplica& Replica() const { return mReplica; }
  const HostMarks& Marks() const { return mMarks; }
  const DomainTree& Tree() const { return mTree; }

private:
  void Take(const HostId& aFrom, const TableDeltaMessage& aMessage);
  void Take(const HostId& aFrom, const TableFetchMessage& aMessage);
  void Take(const HostId& aFrom, const TableFullMessage& aMessage);
  void Take(const HostId& aFrom, const HostMarksMessage& aMessage);
  void TakeTable(Table aTable);
  void TakeMarks(HostMarks aMarks);
  void Push(const TableMessage& aMessage);
  void Fetch(const HostId& aFrom);
  void FetchFirst();
  void UpdateWatching();
  std::vector<HostId> PushTargets();

  Scheduler& mScheduler;
  RandomSource mRandom;
  HostId mSelf;
  TableSpreadSettings mSettings;
  DomainTree mTree;
  Hooks mHooks;
  TableReplica mReplica;
  HostMarks mMarks;
  TableWatcher mWatcher;
  bool mRunning = false;
  bool mOnDuty = false;
  /// Live hosts other than this one.
  std::vector<HostId> mOthers;
  std::optional<MonotonicTime> mLastFetch;
  bool mDutyDecided = false;
  TimerHandle mFirstTimer;
  TimerHandle mDutyTimer;
  TimerHandle mHoldTimer;
};

} // namespace ragwortdeck
