#pragma once

#include "Entry/EntryContext.h"
#include "Entry/HostDiscovery.h"
#include "Serving/SharedReads.h"
#include "Serving/SilenceWatch.h"

#include <set>

namespace ragwortdeck {

/// \brief Keeps the serving table, the target list, the host list and the
/// fleet's load current.
///
/// The hosts share the reads of the key-value store: they take turns, and send
/// each other the results and their loads.
class SiteFeed
{
public:
  SiteFeed(EntryContext& aContext, HostExchange& aExchange);

  void Start();
  /// Schedules a broadcast of this host's load: soon when it grew, later when
  /// it fell.
  void OnLoadChanged(bool aGrew);

  /// Called with the ids of targets that started leaving and, if known, the
  /// time until they end.
  std::function<void(const std::vector<std::string>&,
                     std::optional<Milliseconds>)>
    mOnLeaving;
  /// Called with streams of another host whose moves this host must plan.
  std::function<void(const std::vector<DepartingRun>&)> mOnDeparting;
  /// Called with streams of another host whose first copy is done or was
  /// given up.
  std::function<void(const std::vector<DepartingRun>&)> mOnCopied;
  /// Called with another host, the planner, and its plan for streams on leaving
  /// engines.
  std::function<void(const std::string&, const std::vector<PlannedCopy>&)>
    mOnPlan;
  /// Called with a planner whose planned first copies are all done.
  std::function<void(const std::string&)> mOnAllCopied;
  HostExchange& Exchange() { return mExchange; }

private:
  /// Sets the time of the first reads of a starting host; see
  /// SharedReads::FirstReadOf().
  void DeferFirstReads(Duration aSearch);
  Task<void> TableLoop();
  Task<void> TargetLoop();
  Task<void> EngineLoop();
  Task<void> QueryEngine(Target aEngine);
  /// Tells the other hosts of a target's own report. aLeavesMs is the time
  /// until it ends, -1 when not known.
  void TellLeaving(const std::string& aTarget,
                   std::int64_t aBorn,
                   std::int64_t aLeavesMs);
  void HandleReportedLeaving(const std::string& aTarget,
                             std::int64_t aBorn,
                             std::int64_t aLeavesMs);
  Task<void> TickLoop();
  Task<void> SilenceLoop();
  void AvoidSilentEngine(const std::string& aEngine, const std::string& aFrom);
  Task<bool> ReadTable();
  /// Reads the target list, or what changed since the one that is known.
  Task<bool> ReadTargets();
  Task<bool> ReadAllTargets();
  /// Waits up to aWait for changes. Fails with kNotFound when the store has
  /// dropped its history, or has come back from a copy.
  Task<Result<void>> WatchTargets(Milliseconds aWait);

  void FillMessage(const std::string& aHost,
                   HostExchange::Content aContent,
                   HostMessage& aMessage);
  void Handle(const HostMessage& aMessage);
  enum class Applied
  {
    kUnreadable,
    kNotNewer,
    kReplaced,
  };
  /// Applies the table that a read of the store has found, if it is newer.
  Applied ApplyTableOf(const StoreReply& aReply);
  /// Applies a table, given as its value in the store, if it is newer.
  Applied ApplyTable(const std::string& aValue, const std::string& aFrom);
  void ApplyTargetList(const TargetList& aList);
  /// Whether a target list of aVersion, as another host has it, is to replace
  /// this host's.
  bool IsNewerList(const StoreVersion& aVersion) const;
  void RecordStoreState(bool aReached, const std::string& aReason);
  std::size_t Rank() const;
  using SendMessage =
    std::function<void(const std::function<void(HostMessage&)>&)>;
  /// Sends the table or the target list with aSend, which is called once for
  /// each message.
  void SendTable(const SendMessage& aSend);
  void SendTargetList(const SendMessage& aSend);
  /// Sends aContent as the member aWhole of one message, or in parts if it is
  /// too large.
  static void SendContent(ContentKind aKind,
                          const std::string& aContent,
                          std::string HostMessage::*aWhole,
                          const SendMessage& aSend);
  void SendContentTo(const std::string& aHost, bool aTable, bool aList);
  void ApplyParts(const HostMessage& aMessage);
  void ApplyPackedList(const std::string& aContent,
                       const StoreVersion& aVersion,
                       const std::string& aFrom);
  void ApplyTargetListFrom(const HostMessage& aMessage);
  void AnswerRequests(const HostMessage& aMessage);
  /// Sends the contents to the hosts that requested them before this host had
  /// any, as when a whole fleet starts: so they spread from the first reader.
  void SendToContentWaiters();
  /// Requests the sender's table and target list if they are still newer than
  /// this host's after a delay.
  void RequestMissingContent(const HostMessage& aMessage);
  Task<void> RequestAfterDelay(std::chrono::milliseconds aDelay,
                               std::string aHost,
                               std::optional<TableVersion> aTable,
                               StoreVersion aList);

  EntryContext& mContext;
  HostExchange& mExchange;
  StoreClient mStore;
  HostDiscovery mDiscovery;
  SharedReads mTableReads;
  SharedReads mListReads;
  /// The compressed bytes of the table's value in the store, for other hosts.
  std::string mTableContent;
  /// Where in the store this host last read a table, newer or not.
  std::optional<StoreVersion> mTableReadAt;
  TargetList mList;
  std::uint64_t mListFingerprint = 0;
  /// The compressed mList, for other hosts; built when the first one needs it.
  std::string mListContent;
  /// The newest message that was received from a host before a read began.
  struct Proof
  {
    std::uint64_t mIncarnation = 0;
    /// When that host sent it, by its own clock, in microseconds.
    std::int64_t mSentAt = 0;
  };
  /// By host, the time at which it may regard its table as current, provided
  /// that it has the version of this host's table.
  std::map<std::string, Proof> mProofs;
  bool mStoreReached = false;
  bool mStoreStateKnown = false;
  bool mFlushPending = false;
  MonotonicTime mFlushAt;
  asio::steady_timer mFlushTimer;
  std::uint64_t mSentLoadVersion = 0;
  bool mContentRequestPending = false;
  MonotonicTime mNextContentRequest;
  std::set<std::string> mContentWaiters;
  ContentAssembler<TableVersion> mTableParts;
  ContentAssembler<StoreVersion> mListParts;
  SilenceWatch mSilence;
};

} // namespace ragwortdeck
