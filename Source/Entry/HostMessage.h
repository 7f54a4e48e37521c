#pragma once

#include "Serving/ContentParts.h"
#include "Serving/CrashReport.h"
#include "Serving/DeparturePlan.h"
#include "Serving/FleetLoad.h"
#include "Serving/TargetListChange.h"

namespace ragwortdeck {

/// Unpacks a message or content of another host; throws if it is malformed. A
/// few bytes may claim billions of elements, for which no memory is taken.
inline msgpack::object_handle
UnpackBounded(const char* aData, std::size_t aSize)
{
  constexpr std::size_t kMaxDepth = 16;
  return msgpack::unpack(
    aData,
    aSize,
    nullptr,
    nullptr,
    msgpack::unpack_limit(aSize, aSize, aSize, aSize, 0, kMaxDepth));
}

/// \brief How a message reaches its receiver.
enum class MessagePath
{
  /// From its sender.
  kDirect,
  /// From its sender, for the receiver to pass on within its failure domain.
  kToRelay,
  /// From the host that passed it on.
  kRelayed,
  /// From its sender, for the receiver to pass on within its failure domain
  /// with other messages.
  kToMerge,
  /// A host's own message that only carries those of other hosts in mMerged.
  kMerged,
};

/// \brief The content of one datagram from one host to another.
struct HostMessage
{
  std::string mHost;
  /// Differs for each start of the sender.
  std::uint64_t mIncarnation = 0;
  /// When the message was sent, by the sender's clock, in microseconds.
  std::int64_t mSentAt = 0;
  /// Bandwidth of the sender's network link; 0 when not known.
  int mLinkMbps = 0;

  /// Used only by hosts of builds before mTableVersion; left at 0.
  std::int64_t mFormerTableRevision = 0;
  /// A time on the receiver's clock at which mTableVersion was current: the
  /// mSentAt of the newest message from the receiver that the sender had
  /// received before it began a read of the store, in mStoreEra, that found
  /// nothing newer.
  std::int64_t mProvenAt = 0;
  /// The receiver's incarnation that mProvenAt belongs to.
  std::uint64_t mProvenIncarnation = 0;
  /// The sender has just read the table, or the target list, from the store.
  bool mTableRead = false;
  bool mListRead = false;
  /// Used only by hosts of builds before mListVersion; left at 0.
  std::int64_t mFormerListRevision = 0;
  /// Fingerprint of the sender's target list; 0 when it has none.
  std::uint64_t mListFingerprint = 0;

  /// Load that the sender's streams put on engines.
  std::vector<EngineLoad> mLoads;
  /// The sender's streams on leaving engines, whose moves the receiver must
  /// plan.
  std::vector<DepartingRun> mDeparting;
  /// The sender's streams on leaving engines whose first copy is done or was
  /// given up.
  std::vector<DepartingRun> mCopied;
  /// The sender's plan for moves of the receiver's streams; of versions without
  /// mAllCopied also of other hosts' streams.
  std::vector<PlannedCopy> mPlan;
  /// Targets that reported to the sender that they are leaving, with the time
  /// in milliseconds until they end, or -1 when it is not known.
  std::map<std::string, std::int64_t> mReportedLeaving;
  /// Engines on which a stream of the sender has stalled.
  std::vector<std::string> mSilentEngines;
  /// The sender requests the receiver's table, or target list.
  bool mRequestsTable = false;
  bool mRequestsList = false;
  /// Compressed table and target list; empty when not included.
  std::string mTable;
  std::string mList;
  /// How the sender's last read changed the target list; at most one element.
  std::vector<TargetListChange> mListChange;
  /// The sender's failure domain.
  std::string mFailureDomain;
  /// A MessagePath as a number. Hosts of versions without this field and the
  /// one above take part: to them each message is sent directly.
  int mPath = static_cast<int>(MessagePath::kDirect);
  /// Parts of a table or target list that is too large for one datagram.
  std::vector<ContentPart> mParts;
  /// The sender asks to be told of the hosts that the receiver hears from.
  bool mRequestsHosts = false;
  /// The hosts that the sender hears from, for a receiver that asked for them.
  std::vector<std::string> mIntroduced;
  /// Number of hosts that the sender hears from; 0 when not stated.
  std::uint32_t mLiveHosts = 0;
  /// The sender understands MessagePath::kToMerge and kMerged, which hosts of
  /// versions without this field do not.
  bool mAcceptsMerged = false;
  /// Packed messages of other hosts.
  std::vector<std::string> mMerged;
  /// No first copy of the sender's plans is awaited any more: the receiver's
  /// streams may stop for their last copies.
  bool mAllCopied = false;
  /// The starts (Target::mBorn) of the targets of mReportedLeaving, as far as
  /// they are known.
  std::map<std::string, std::int64_t> mLeavingBorn;
  /// What the sender knows of crashes of engines.
  CrashReport mCrashReport;
  /// The latest era of the store that the sender knows of.
  StoreEra mStoreEra;
  /// Version of the sender's table; nothing when it has none, when the message
  /// carries only loads, or from hosts of builds without this field.
  std::optional<TableVersion> mTableVersion;
  /// Version of the store at which the sender's target list was read; not known
  /// in the same cases.
  StoreVersion mListVersion;
  /// The three above are what the sender has, if anything.
  bool mStatesVersions = false;

  MSGPACK_DEFINE_ARRAY(mHost,
                       mIncarnation,
                       mSentAt,
                       mLinkMbps,
                       mFormerTableRevision,
                       mProvenAt,
                       mProvenIncarnation,
                       mTableRead,
                       mListRead,
                       mFormerListRevision,
                       mListFingerprint,
                       mLoads,
                       mDeparting,
                       mCopied,
                       mPlan,
                       mReportedLeaving,
                       mSilentEngines,
                       mRequestsTable,
                       mRequestsList,
                       mTable,
                       mList,
                       mListChange,
                       mFailureDomain,
                       mPath,
                       mParts,
                       mRequestsHosts,
                       mIntroduced,
                       mLiveHosts,
                       mAcceptsMerged,
                       mMerged,
                       mAllCopied,
                       mLeavingBorn,
                       mCrashReport,
                       mStoreEra,
                       mTableVersion,
                       mListVersion,
                       mStatesVersions)
};

} // namespace ragwortdeck
