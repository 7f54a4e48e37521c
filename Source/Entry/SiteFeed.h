#pragma once

#include "Entry/EntryContext.h"
#include "Entry/HostExchange.h"
#include "Serving/SharedReads.h"
#include "Serving/SilenceWatch.h"

namespace ragwortdeck {

/// \brief Keeps the table, the target list, the hosts and the fleet's load
/// current: reads the store in turn with the other hosts, and exchanges
/// results and loads with them.
class SiteFeed
{
public:
  SiteFeed(EntryContext& aContext, HostExchange& aExchange);

  void Start();
  /// Tells the others of the own load: soon when it grew, later when it fell.
  void LoadChanged(bool aGrew);

  /// Called with the ids of targets that began to leave and the time until
  /// then, when it is known.
  std::function<void(const std::vector<std::string>&,
                     std::optional<Milliseconds>)>
    mOnLeaving;
  /// Called with streams of another host that this one is to plan.
  std::function<void(const std::vector<DepartingRun>&)> mOnDeparting;
  /// Called with streams of another host whose first copy is done.
  std::function<void(const std::vector<DepartingRun>&)> mOnCopied;
  /// Called with another host's plan for engines that leave.
  std::function<void(const std::vector<PlannedCopy>&)> mOnPlan;
  HostExchange& Exchange() { return mExchange; }

private:
  Task<void> TableLoop();
  Task<void> TargetLoop();
  Task<void> EngineLoop();
  Task<void> AskEngine(Target aEngine);
  void SaidLeaving(const std::string& aTarget, std::int64_t aLeavesMs);
  Task<void> HostLoop();
  Task<void> TickLoop();
  Task<void> SilenceLoop();
  void AvoidSilent(const std::string& aEngine, const std::string& aFrom);
  Task<bool> ReadTable();
  Task<bool> ReadTargets();
  Task<bool> Register();
  void AskAtStart(std::vector<std::string> aHosts);
  /// Body of the store's answer to a read; kNotFound when there is no value.
  Task<Result<std::string>> ReadStore(HttpCall aCall);

  void Compose(const std::string& aHost,
               HostExchange::Content aContent,
               HostMessage& aMessage);
  void Handle(const HostMessage& aMessage);
  bool TakeTable(const std::string& aValue, std::int64_t aRevision);
  void TakeTargets(const TargetList& aList);
  void NoteStore(bool aReached, const std::string& aWhy);
  std::size_t Rank() const;
  void SendTableTo(HostMessage& aMessage) const;
  void SendListTo(HostMessage& aMessage);
  void TakeListOf(const HostMessage& aMessage);
  void AnswerWants(const HostMessage& aMessage);

  EntryContext& mContext;
  HostExchange& mExchange;
  SharedReads mTableReads;
  SharedReads mListReads;
  /// The table as the store holds it, compressed, for other hosts.
  std::string mTableContent;
  TargetList mList;
  std::uint64_t mListFingerprint = 0;
  /// mList compressed, for other hosts; empty until one needs it.
  std::string mListContent;
  std::string mLease;
  struct Proof
  {
    std::uint64_t mIncarnation = 0;
    std::int64_t mAt = 0;
  };
  /// What each host may take as the time of the last read of the table.
  std::map<std::string, Proof> mProofs;
  bool mStoreReached = false;
  bool mStoreNoted = false;
  bool mFlushPending = false;
  MonotonicTime mFlushAt;
  asio::steady_timer mFlushTimer;
  std::uint64_t mToldVersion = 0;
  MonotonicTime mNextAsk;
  SilenceWatch mSilence;
};

} // namespace ragwortdeck
