#pragma once

#include "Serving/DeparturePlan.h"
#include "Serving/FleetLoad.h"
#include "Serving/TargetListChange.h"

namespace ragwortdeck {

/// \brief What one host tells another, in one datagram.
struct HostMessage
{
  std::string mHost;
  /// Differs for each start of the sender.
  std::uint64_t mIncarnation = 0;
  /// The sender's clock, in microseconds.
  std::int64_t mSentAt = 0;
  /// Rate of the sender's network link.
  int mLinkMbps = 0;

  /// The revision of the sender's table; 0 when it has none, or tells its
  /// loads alone. The same holds for its target list.
  std::int64_t mTableRevision = 0;
  /// The newest of the receiver's own times that the sender had received
  /// before it began a read of the store that found mTableRevision newest.
  std::int64_t mProvenAt = 0;
  /// The receiver's incarnation that mProvenAt belongs to.
  std::uint64_t mProvenIncarnation = 0;
  /// The sender has just read the table, or the target list, itself.
  bool mTableRead = false;
  bool mListRead = false;
  /// Revision of the store at which the sender's target list changed last.
  std::int64_t mListRevision = 0;
  /// Fingerprint of the sender's target list; 0 when it has none.
  std::uint64_t mListFingerprint = 0;

  std::vector<EngineLoad> mLoads;
  /// The sender's streams on engines that leave, for the receiver to plan.
  std::vector<DepartingRun> mDeparting;
  /// The sender's streams on engines that leave whose first copy is done, or
  /// was given up.
  std::vector<DepartingRun> mCopied;
  /// The sender's plan for streams of the receiver and others.
  std::vector<PlannedCopy> mPlan;
  /// Targets that said to the sender that they leave, with the time in
  /// milliseconds until then, or -1.
  std::map<std::string, std::int64_t> mReportedLeaving;
  /// Engines on which a stream of the sender has fallen silent.
  std::vector<std::string> mSilent;
  /// The sender lacks the receiver's table, or target list.
  bool mWantsTable = false;
  bool mWantsList = false;
  /// Compressed content; empty when not sent along.
  std::string mTable;
  std::string mList;
  /// What the sender has just read; at most one.
  std::vector<TargetListChange> mListChange;

  MSGPACK_DEFINE_ARRAY(mHost,
                       mIncarnation,
                       mSentAt,
                       mLinkMbps,
                       mTableRevision,
                       mProvenAt,
                       mProvenIncarnation,
                       mTableRead,
                       mListRead,
                       mListRevision,
                       mListFingerprint,
                       mLoads,
                       mDeparting,
                       mCopied,
                       mPlan,
                       mReportedLeaving,
                       mSilent,
                       mWantsTable,
                       mWantsList,
                       mTable,
                       mList,
                       mListChange)
};

} // namespace ragwortdeck
