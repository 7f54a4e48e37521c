#include "Entry/SiteFeed.h"

#include "Entry/StreamRun.h"

#include <QByteArray>
#include <QtEndian>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// Changes of the table may take seconds to take effect, and each read costs
/// money.
const SharedReads::Timing kTableTiming{ milliseconds(450),
                                        milliseconds(120),
                                        milliseconds(200),
                                        milliseconds(1000) };
/// Engines leave with a notice of 1.5 s, and each read costs money.
const SharedReads::Timing kListTiming{ milliseconds(150),
                                       milliseconds(90),
                                       milliseconds(150),
                                       milliseconds(800) };
/// Longest time between two broadcasts, which keep this host live for others.
constexpr milliseconds kHeartbeat{ 1000 };
constexpr milliseconds kTickInterval{ 500 };
/// A host whose read is due later looks again after this time: its rank changes
/// when it loses other hosts.
constexpr Duration kLongestSleep = milliseconds(500);
/// Time that a listed host takes to introduce a starting one to all others.
constexpr milliseconds kIntroductionTime{ 200 };
/// When the target list is older than this, which is two missed reads, the
/// engines themselves are queried.
constexpr milliseconds kListStaleAfter{ 330 };
constexpr milliseconds kEngineQueryInterval{ 150 };
constexpr milliseconds kEngineQueryTimeout{ 400 };
/// Subtracted from a reported time until an engine ends, since reports lag by a
/// few hundred milliseconds; a lag of 570 ms has been observed.
constexpr milliseconds kReportLag{ 600 };
/// A longer change of the target list, of about 80 bytes for each target, is
/// sent as a whole list.
constexpr std::size_t kMaxChangedTargets = 400;
/// Shortest wait that the store takes.
constexpr milliseconds kNoWait{ 1 };
/// How often running streams are checked for stalls.
constexpr milliseconds kSilenceCheckInterval{ 100 };
/// A host that learns of a newer table or target list requests it after this
/// time: a relay may be about to deliver it. A host that has none at all
/// requests it at once.
constexpr milliseconds kContentRequestDelay{ 40 };
/// Shortest time between two requests for content.
constexpr milliseconds kContentRequestInterval{ 120 };

std::string
Compress(const std::string& aBytes)
{
  return qCompress(QByteArray::fromStdString(aBytes)).toStdString();
}

/// Returns nothing for content that is damaged or states a larger size.
std::string
Uncompress(const std::string& aBytes)
{
  constexpr std::size_t kSizeBytes = 4;
  constexpr std::uint32_t kMaxBytes = std::uint32_t(8) << 20U;
  if (aBytes.size() < kSizeBytes ||
      qFromBigEndian<quint32>(aBytes.data()) > kMaxBytes) {
    return {};
  }
  return qUncompress(QByteArray::fromStdString(aBytes)).toStdString();
}

std::string
PackList(const TargetList& aList)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aList.mTargets);
  return Compress({ bytes.data(), bytes.size() });
}

} // namespace

SiteFeed::SiteFeed(EntryContext& aContext, HostExchange& aExchange)
  : mContext(aContext)
  , mExchange(aExchange)
  , mStore(aContext)
  , mDiscovery(aContext, aExchange, mStore)
  , mTableReads(aContext.mSettings.mPeers.mAddress, kTableTiming)
  , mListReads(aContext.mSettings.mPeers.mAddress, kListTiming)
  , mFlushTimer(aContext.mIo)
{
  DeferFirstReads(Duration(0));
}

void
SiteFeed::DeferFirstReads(Duration aSearch)
{
  const auto bounds =
    SharedReads::FirstReadOf(mContext.mSettings.mLinkMbps, aSearch);
  const auto first =
    mContext.Now() + bounds.mEarliest +
    std::chrono::duration_cast<Duration>((bounds.mLatest - bounds.mEarliest) *
                                         mContext.mRandom.Unit());
  mTableReads.DeferUntil(first);
  mListReads.DeferUntil(first);
}

void
SiteFeed::Start()
{
  mExchange.SetHooks(
    [this](const std::string& aHost,
           HostExchange::Content aContent,
           HostMessage& aMessage) { FillMessage(aHost, aContent, aMessage); },
    [this](const HostMessage& aMessage) {
      try {
        Handle(aMessage);
      } catch (const std::exception& ec) {
        mContext.LogUnexpectedError("host_message", ec);
      }
    });
  for (const auto& seed : mContext.mSettings.mSeeds) {
    mExchange.AddHost(seed.mAddress);
  }
  mContext.mOnSaidLeaving = [this](const Target& aTarget) {
    constexpr std::int64_t kTimeNotKnown = -1;
    TellLeaving(aTarget.mId, aTarget.mBorn, kTimeNotKnown);
    if (mOnLeaving) {
      mOnLeaving({ aTarget.mId }, std::nullopt);
    }
  };
  mDiscovery.mOnFirstStart = [this] {
    DeferFirstReads(kMaxFirstListingDelay + kIntroductionTime);
  };
  mDiscovery.mAddContentRequest = [this](HostMessage& aMessage) {
    aMessage.mRequestsTable = !mContext.mTable.Table();
    aMessage.mRequestsList = !mContext.mTargets.IsKnown();
  };
  mContext.mOnEraBegan = [this] {
    // They come from reads of an earlier era.
    mProofs.clear();
    mContext.mTable.BeginEra(mContext.Now());
  };
  mContext.mCrashWatch.mOnReport = [this](const CrashReport& aReport,
                                          bool aHasNews) {
    mExchange.Broadcast(
      [&](HostMessage& aMessage) { aMessage.mCrashReport = aReport; },
      HostExchange::Content::kState,
      aHasNews ? MessageClass::kImportant : MessageClass::kRoutine);
  };
  mContext.mCrashWatch.mIsOwner = [this](const std::string& aPart) {
    return SharedReads::IsOwner(
      mContext.mSettings.mPeers.mAddress, mExchange.LiveHosts(), aPart);
  };
  mContext.SpawnLoop("crash_loop",
                     [this] { return mContext.mCrashWatch.Loop(); });
  mContext.SpawnLoop("receive_loop",
                     [this] { return mExchange.ReceiveLoop(); });
  mContext.SpawnLoop("table_loop", [this] { return TableLoop(); });
  mContext.SpawnLoop("target_loop", [this] { return TargetLoop(); });
  mContext.SpawnLoop("engine_loop", [this] { return EngineLoop(); });
  mContext.SpawnLoop("host_loop", [this] { return mDiscovery.Loop(); });
  mContext.SpawnLoop("tick_loop", [this] { return TickLoop(); });
  mContext.SpawnLoop("silence_loop", [this] { return SilenceLoop(); });
}

std::size_t
SiteFeed::Rank() const
{
  return SharedReads::RankOf(mExchange.Self(), mExchange.LiveHosts());
}

void
SiteFeed::RecordStoreState(bool aReached, const std::string& aReason)
{
  if (mStoreStateKnown && aReached == mStoreReached) {
    return;
  }
  mStoreStateKnown = true;
  mStoreReached = aReached;
  mContext.mMetrics.Count(aReached ? "entry_store_regained_total"
                                   : "entry_store_lost_total");
  mContext.mLog.Write(
    aReached ? "store_regained" : "store_lost",
    { { "why", aReason },
      { "era", mContext.mEra.Latest().mNumber },
      { "table_version", mContext.mTable.VersionNumber() },
      { "list_revision", mContext.mTargets.Version().mRevision } });
}

Task<void>
SiteFeed::TableLoop()
{
  while (true) {
    const auto now = mContext.Now();
    const auto due = mTableReads.DueAt(Rank());
    if (now < due) {
      co_await SleepFor(mContext.mIo, std::min(due - now, kLongestSleep));
      continue;
    }
    mTableReads.Started(now);
    if (co_await ReadTable()) {
      mTableReads.ResultArrived(mContext.mSettings.mPeers.mAddress, now);
      // Each host gets a time of its own for which the table is confirmed.
      mExchange.SendToEach(
        [](HostMessage& aMessage) { aMessage.mTableRead = true; });
      SendToContentWaiters();
    } else {
      mTableReads.Failed(mContext.Now());
    }
  }
}

Task<bool>
SiteFeed::ReadTable()
{
  const auto readStart = mContext.Now();
  std::map<std::string, Proof> proofs;
  for (const auto& [host, peer] : mExchange.Peers()) {
    if (peer.mIncarnation != 0) {
      proofs[host] = { peer.mIncarnation, peer.mSentAt };
    }
  }
  auto reply = co_await mStore.Call(mContext.mCodec.TableRead());
  bool isNewer = false;
  if (reply) {
    const auto applied = ApplyTableOf(reply.value());
    if (applied == Applied::kUnreadable) {
      co_return false;
    }
    isNewer = applied == Applied::kReplaced;
  } else {
    const bool isAbsent = reply.error().mCode == ErrorCode::kNotFound;
    RecordStoreState(isAbsent, reply.error().mMessage);
    // A store that has come back may be a copy from before the first table.
    if (!isAbsent || !mContext.mEra.Latest().IsKnown()) {
      co_return false;
    }
  }
  const auto version = mContext.mTable.Version();
  if (!version) {
    co_return false;
  }
  // The store's table is this host's, or an older one of a copy.
  if (mContext.mTable.ConfirmCurrent(*version, readStart)) {
    mProofs = std::move(proofs);
  }
  if (isNewer) {
    SendTable([this](const auto& aAdd) {
      mExchange.Broadcast(
        aAdd, HostExchange::Content::kState, MessageClass::kLarge);
    });
  }
  co_return true;
}

SiteFeed::Applied
SiteFeed::ApplyTableOf(const StoreReply& aReply)
{
  auto value = mContext.mCodec.ReadStoreValue(aReply.mBody);
  if (!value) {
    RecordStoreState(false, value.error().mMessage);
    return Applied::kUnreadable;
  }
  RecordStoreState(true, "read");
  const StoreVersion readAt{ aReply.mEra, value.value().mRevision };
  if (readAt == mTableReadAt) {
    return Applied::kNotNewer;
  }
  const auto applied = ApplyTable(value.value().mValue, StoreClient::kName);
  if (applied != Applied::kUnreadable) {
    mTableReadAt = readAt;
  }
  return applied;
}

SiteFeed::Applied
SiteFeed::ApplyTable(const std::string& aValue, const std::string& aFrom)
{
  auto table = mContext.mCodec.ReadTable(aValue);
  if (!table) {
    mContext.mLog.Write("table_unreadable",
                        { { "from", aFrom },
                          { "era", mContext.mEra.Latest().mNumber },
                          { "why", table.error().mMessage } });
    return Applied::kUnreadable;
  }
  auto shared = std::make_shared<const ServingTable>(std::move(table.value()));
  const auto version = shared->Version();
  if (!mContext.mTable.Apply(std::move(shared))) {
    return Applied::kNotNewer;
  }
  mTableContent = Compress(aValue);
  mProofs.clear();
  mContext.mMetrics.Count("entry_table_changes_total");
  mContext.mLog.Write("table_applied",
                      { { "version", version.mNumber },
                        { "from", aFrom },
                        { "era", mContext.mEra.Latest().mNumber } });
  return Applied::kReplaced;
}

Task<void>
SiteFeed::TargetLoop()
{
  while (true) {
    const auto now = mContext.Now();
    const auto due = mListReads.DueAt(Rank());
    if (now < due) {
      co_await SleepFor(mContext.mIo, std::min(due - now, kLongestSleep));
      continue;
    }
    mListReads.Started(now);
    const auto before = mList;
    if (co_await ReadTargets()) {
      // During its tenure the reader goes on at once, since its reads last for
      // the period.
      const auto done = mContext.Now();
      mListReads.ResultArrived(mContext.mSettings.mPeers.mAddress,
                               mListReads.InTenure(done) ? now : done);
      std::vector<TargetListChange> change;
      if (mList.mTargets != before.mTargets) {
        change.push_back(TargetListChange::Between(before, mList));
      }
      const bool isLarge =
        !change.empty() && change.front().Size() > kMaxChangedTargets;
      if (isLarge) {
        SendTargetList([this](const auto& aAdd) {
          mExchange.Broadcast(
            aAdd, HostExchange::Content::kState, MessageClass::kLarge);
        });
      }
      mExchange.Broadcast(
        [&](HostMessage& aMessage) {
          aMessage.mListRead = true;
          if (!isLarge) {
            aMessage.mListChange = change;
          }
        },
        HostExchange::Content::kState,
        MessageClass::kImportant);
      SendToContentWaiters();
    } else {
      mListReads.Failed(mContext.Now());
    }
  }
}

Task<bool>
SiteFeed::ReadTargets()
{
  if (mList.mVersion.IsKnown() &&
      mList.mVersion.mEra == mContext.mEra.Latest()) {
    const bool mayWait =
      mListReads.IsReader() && mListReads.InTenure(mContext.Now());
    const auto watched = co_await WatchTargets(
      mayWait ? std::chrono::duration_cast<Milliseconds>(kListTiming.mPeriod)
              : kNoWait);
    if (watched) {
      co_return true;
    }
    if (watched.error().mCode != ErrorCode::kNotFound &&
        watched.error().mCode != ErrorCode::kCorrupt) {
      RecordStoreState(false, watched.error().mMessage);
      co_return false;
    }
  }
  // A list that was last read long ago cannot be brought up to date by changes.
  co_return co_await ReadAllTargets();
}

Task<Result<void>>
SiteFeed::WatchTargets(Milliseconds aWait)
{
  const auto after = mList.mVersion;
  auto reply =
    co_await mStore.Call(mContext.mCodec.TargetsWatch(after.mRevision, aWait));
  if (!reply) {
    co_return Failure(reply.error().mCode, reply.error().mMessage);
  }
  if (reply.value().mEra != after.mEra) {
    // The store took the revision for one of its own.
    co_return Failure(ErrorCode::kNotFound, "changes of another era");
  }
  auto changes = mContext.mCodec.ReadTargetChanges(reply.value().mBody);
  if (!changes) {
    mContext.mLog.Write("changes_unreadable",
                        { { "why", changes.error().mMessage } });
    co_return Failure(ErrorCode::kCorrupt, changes.error().mMessage);
  }
  RecordStoreState(true, "watched");
  const StoreVersion version{ after.mEra, changes.value().mRevision };
  // Another host's read may have arrived meanwhile.
  if (version < mList.mVersion) {
    co_return Success();
  }
  auto list = mList;
  list.mVersion = version;
  for (auto& [id, target] : changes.value().mTargets) {
    if (target) {
      list.mTargets[id] = std::move(*target);
    } else {
      list.mTargets.erase(id);
    }
  }
  ApplyTargetList(list);
  co_return Success();
}

Task<bool>
SiteFeed::ReadAllTargets()
{
  TargetList list;
  std::string after;
  do {
    auto reply = co_await mStore.Call(mContext.mCodec.TargetsRead(after));
    if (!reply) {
      RecordStoreState(false, reply.error().mMessage);
      co_return false;
    }
    auto page = mContext.mCodec.ReadTargets(reply.value().mBody);
    if (!page) {
      RecordStoreState(false, page.error().mMessage);
      co_return false;
    }
    // The pages are not one snapshot. The first page's revision is the lowest,
    // so it never claims changes that a page lacks.
    if (after.empty()) {
      list.mVersion = { reply.value().mEra, page.value().mRevision };
    } else if (reply.value().mEra != list.mVersion.mEra) {
      RecordStoreState(true, "came back while the list was read");
      co_return false;
    }
    list.mTargets.merge(page.value().mTargets);
    after = page.value().mNext;
    if (!page.value().mUnreadable.empty()) {
      mContext.mMetrics.Count("entry_unreadable_targets_total",
                              page.value().mUnreadable.size());
    }
  } while (!after.empty());
  RecordStoreState(true, "read");
  ApplyTargetList(list);
  co_return true;
}

void
SiteFeed::ApplyTargetList(const TargetList& aList)
{
  const auto now = mContext.Now();
  if (aList.mVersion < mList.mVersion) {
    return;
  }
  // The same targets in a later era are news: they may be older ones.
  if (aList.mTargets == mList.mTargets && mList.mVersion.IsKnown() &&
      aList.mVersion.mEra == mList.mVersion.mEra) {
    mList.mVersion = aList.mVersion;
    mContext.mTargets.Confirm(now);
    return;
  }
  mList = aList;
  mListFingerprint = FingerprintOf(aList);
  mListContent.clear();
  const auto leaving = mContext.mTargets.Apply(aList, now);
  mContext.mMetrics.Count("entry_target_changes_total");
  mContext.mLog.Write("targets_changed",
                      { { "revision", aList.mVersion.mRevision },
                        { "era", aList.mVersion.mEra.mNumber },
                        { "targets", aList.mTargets.size() },
                        { "leaving", leaving } });
  if (!leaving.empty() && mOnLeaving) {
    mOnLeaving(leaving, std::nullopt);
  }
  mContext.OfferCapacity();
}

Task<void>
SiteFeed::EngineLoop()
{
  while (true) {
    co_await SleepFor(mContext.mIo, kEngineQueryInterval);
    const auto table = mContext.mTable.Table();
    if (!table || mContext.mTargets.ListAge(mContext.Now()) < kListStaleAfter) {
      continue;
    }
    const auto hosts = mExchange.LiveHosts();
    for (const auto& [id, entry] : mContext.mTargets.Entries()) {
      const auto* service = table->FindService(entry.mTarget.mService);
      if (entry.mLeaving || !service || !service->mEngine ||
          mContext.mHealth.IsAvoided(id, mContext.Now()) ||
          !SharedReads::IsOwner(
            mContext.mSettings.mPeers.mAddress, hosts, id)) {
        continue;
      }
      mContext.Spawn("engine_query", QueryEngine(entry.mTarget));
    }
  }
}

Task<void>
SiteFeed::QueryEngine(Target aEngine)
{
  mContext.mMetrics.Count("entry_engine_questions_total");
  auto reply =
    co_await mContext.mCalls.Call(aEngine.mEndpoint,
                                  mContext.mCodec.ReportCall(),
                                  kEngineQueryTimeout,
                                  CallClient::Sharing::kSharedConnection);
  if (!reply) {
    mContext.mHealth.Failed(aEngine.mId, mContext.Now());
    co_return;
  }
  auto report = mContext.mCodec.ReadReport(reply.value().mBody);
  if (!report || !report.value().mLeaving) {
    mContext.RecordNotices(
      aEngine,
      reply.value().mStatus,
      mContext.mCodec.ReadTargetResponseHeaders(reply.value().mHeaders));
    co_return;
  }
  const auto born =
    report.value().mBorn != 0 ? report.value().mBorn : aEngine.mBorn;
  const auto leavesIn = report.value().mLeavesIn;
  const std::int64_t leavesMs =
    leavesIn ? std::max<std::int64_t>(0, (*leavesIn - kReportLag).count()) : -1;
  TellLeaving(aEngine.mId, born, leavesMs);
  HandleReportedLeaving(aEngine.mId, born, leavesMs);
}

void
SiteFeed::TellLeaving(const std::string& aTarget,
                      std::int64_t aBorn,
                      std::int64_t aLeavesMs)
{
  mExchange.Broadcast(
    [&](HostMessage& aMessage) {
      aMessage.mReportedLeaving = { { aTarget, aLeavesMs } };
      aMessage.mLeavingBorn = { { aTarget, aBorn } };
    },
    HostExchange::Content::kState,
    MessageClass::kImportant);
}

void
SiteFeed::HandleReportedLeaving(const std::string& aTarget,
                                std::int64_t aBorn,
                                std::int64_t aLeavesMs)
{
  const auto now = mContext.Now();
  if (!mContext.mTargets.MarkLeaving(aTarget, aBorn, now)) {
    return;
  }
  mContext.mLog.Write(
    "target_said_leaving",
    { { "target", aTarget },
      { "leaves_ms", aLeavesMs },
      { "list_age_ms",
        std::chrono::duration_cast<milliseconds>(mContext.mTargets.ListAge(now))
          .count() } });
  if (mOnLeaving) {
    mOnLeaving({ aTarget },
               aLeavesMs >= 0 ? std::optional(Milliseconds(aLeavesMs))
                              : std::nullopt);
  }
}

Task<void>
SiteFeed::TickLoop()
{
  while (true) {
    co_await SleepFor(mContext.mIo, kTickInterval);
    const auto now = mContext.Now();
    mContext.mLoad.Expire(now);
    mContext.mPool.Sweep();
    mExchange.Sweep();
    const auto leaving = mContext.mTargets.Expire(now);
    if (!leaving.empty()) {
      mContext.mLog.Write("targets_gone", { { "targets", leaving } });
      if (mOnLeaving) {
        mOnLeaving(leaving, std::nullopt);
      }
    }
    mContext.OfferCapacity();
    if (now - mExchange.LastBroadcast() >= kHeartbeat - kTickInterval / 2) {
      mExchange.Broadcast();
    }
  }
}

Task<void>
SiteFeed::SilenceLoop()
{
  while (true) {
    co_await SleepFor(mContext.mIo, kSilenceCheckInterval);
    const auto now = mContext.Now();
    std::vector<RunningStream> streams;
    for (const auto& [id, run] : mContext.mStreams) {
      if (auto stream = run->Running()) {
        streams.push_back(std::move(*stream));
      }
    }
    const auto silent = mSilence.FindSilentEngines(streams, now);
    if (silent.empty()) {
      continue;
    }
    for (const auto& engine : silent) {
      AvoidSilentEngine(engine, mContext.mSettings.mPeers.mAddress);
    }
    mExchange.Broadcast(
      [&](HostMessage& aMessage) { aMessage.mSilentEngines = silent; },
      HostExchange::Content::kState,
      MessageClass::kImportant);
  }
}

void
SiteFeed::AvoidSilentEngine(const std::string& aEngine,
                            const std::string& aFrom)
{
  mContext.mHealth.Unreachable(aEngine, mContext.Now());
  mContext.mMetrics.Count("entry_silent_engines_total");
  mContext.mLog.Write("engine_silent",
                      { { "target", aEngine }, { "from", aFrom } });
}

void
SiteFeed::OnLoadChanged(bool aGrew)
{
  const auto at =
    mContext.Now() + LoadReportDelay(aGrew, mExchange.KnownHosts() + 1);
  if (mFlushPending && mFlushAt <= at) {
    return;
  }
  mFlushPending = true;
  mFlushAt = at;
  mFlushTimer.expires_after(at - mContext.Now());
  mFlushTimer.async_wait([this](const error_code& aError) {
    if (aError) {
      return;
    }
    mFlushPending = false;
    if (mSentLoadVersion != mContext.mLoad.OwnVersion()) {
      mExchange.Broadcast({}, HostExchange::Content::kLoads);
    }
  });
}

void
SiteFeed::FillMessage(const std::string& aHost,
                      HostExchange::Content aContent,
                      HostMessage& aMessage)
{
  mSentLoadVersion = mContext.mLoad.OwnVersion();
  aMessage.mLoads = mContext.mLoad.OwnLoads();
  if (aContent == HostExchange::Content::kLoads) {
    return;
  }
  aMessage.mStoreEra = mContext.mEra.Latest();
  aMessage.mTableVersion = mContext.mTable.Version();
  aMessage.mListVersion = mList.mVersion;
  aMessage.mStatesVersions = true;
  aMessage.mListFingerprint = mListFingerprint;
  aMessage.mLiveHosts = static_cast<std::uint32_t>(mExchange.CountLiveHosts());
  if (aContent != HostExchange::Content::kAll) {
    return;
  }
  if (const auto it = mProofs.find(aHost); it != mProofs.end()) {
    aMessage.mProvenAt = it->second.mSentAt;
    aMessage.mProvenIncarnation = it->second.mIncarnation;
  }
}

void
SiteFeed::SendContent(ContentKind aKind,
                      const std::string& aContent,
                      std::string HostMessage::*aWhole,
                      const SendMessage& aSend)
{
  if (aContent.size() <= HostExchange::kMaxContentBytes) {
    aSend([&](HostMessage& aMessage) { aMessage.*aWhole = aContent; });
    return;
  }
  for (const auto& part :
       SplitContent(aKind, aContent, HostExchange::kMaxPartBytes)) {
    aSend([&](HostMessage& aMessage) { aMessage.mParts = { part }; });
  }
}

void
SiteFeed::SendTable(const SendMessage& aSend)
{
  SendContent(ContentKind::kTable, mTableContent, &HostMessage::mTable, aSend);
}

void
SiteFeed::SendTargetList(const SendMessage& aSend)
{
  if (mListContent.empty()) {
    mListContent = PackList(mList);
  }
  SendContent(
    ContentKind::kTargetList, mListContent, &HostMessage::mList, aSend);
}

void
SiteFeed::SendContentTo(const std::string& aHost, bool aTable, bool aList)
{
  const auto send = [&](const std::function<void(HostMessage&)>& aAdd) {
    mExchange.Send(aHost, aAdd);
  };
  if (aTable) {
    SendTable(send);
  }
  if (aList) {
    SendTargetList(send);
  }
}

void
SiteFeed::ApplyTargetListFrom(const HostMessage& aMessage)
{
  const auto& version = aMessage.mListVersion;
  if (!IsNewerList(version)) {
    return;
  }
  if (aMessage.mListFingerprint == mListFingerprint) {
    // The sender read the same targets later.
    if (version.mEra == mList.mVersion.mEra) {
      mList.mVersion = version;
    } else {
      ApplyTargetList({ version, mList.mTargets });
    }
    return;
  }
  for (const auto& change : aMessage.mListChange) {
    if (auto list = change.ApplyTo(mList, version)) {
      ApplyTargetList(*list);
      return;
    }
  }
  if (!aMessage.mList.empty()) {
    ApplyPackedList(aMessage.mList, version, aMessage.mHost);
  }
}

bool
SiteFeed::IsNewerList(const StoreVersion& aVersion) const
{
  // A list of an earlier era may go on changing where the sender reads it.
  const bool isLatestEra = aVersion.mEra == mContext.mEra.Latest();
  return aVersion > mList.mVersion &&
         (isLatestEra || !mList.mVersion.IsKnown());
}

void
SiteFeed::ApplyPackedList(const std::string& aContent,
                          const StoreVersion& aVersion,
                          const std::string& aFrom)
{
  TargetList list;
  list.mVersion = aVersion;
  try {
    const auto bytes = Uncompress(aContent);
    UnpackBounded(bytes.data(), bytes.size()).get().convert(list.mTargets);
    ApplyTargetList(list);
  } catch (const std::exception& ec) {
    mContext.mLog.Write("list_unreadable",
                        { { "from", aFrom }, { "why", ec.what() } });
  }
}

void
SiteFeed::ApplyParts(const HostMessage& aMessage)
{
  for (const auto& part : aMessage.mParts) {
    if (part.mKind == static_cast<int>(ContentKind::kTable)) {
      if (!aMessage.mTableVersion) {
        continue;
      }
      if (auto content =
            mTableParts.Add(aMessage.mHost, *aMessage.mTableVersion, part);
          content && aMessage.mTableVersion > mContext.mTable.Version()) {
        ApplyTable(Uncompress(*content), aMessage.mHost);
      }
    } else if (part.mKind == static_cast<int>(ContentKind::kTargetList)) {
      if (auto content =
            mListParts.Add(aMessage.mHost, aMessage.mListVersion, part);
          content && IsNewerList(aMessage.mListVersion)) {
        ApplyPackedList(*content, aMessage.mListVersion, aMessage.mHost);
      }
    }
  }
}

void
SiteFeed::AnswerRequests(const HostMessage& aMessage)
{
  if (!aMessage.mRequestsTable && !aMessage.mRequestsList) {
    return;
  }
  if ((aMessage.mRequestsTable && !mContext.mTable.Table()) ||
      (aMessage.mRequestsList && !mContext.mTargets.IsKnown())) {
    mContentWaiters.insert(aMessage.mHost);
    return;
  }
  SendContentTo(
    aMessage.mHost, aMessage.mRequestsTable, aMessage.mRequestsList);
}

void
SiteFeed::SendToContentWaiters()
{
  if (!mContext.mTable.Table() || !mContext.mTargets.IsKnown()) {
    return;
  }
  for (const auto& host : std::exchange(mContentWaiters, {})) {
    SendContentTo(host, true, true);
  }
}

void
SiteFeed::RequestMissingContent(const HostMessage& aMessage)
{
  if (mContentRequestPending || mContext.Now() < mNextContentRequest ||
      (aMessage.mTableVersion <= mContext.mTable.Version() &&
       !IsNewerList(aMessage.mListVersion))) {
    return;
  }
  mContentRequestPending = true;
  const bool hasContent =
    mContext.mTable.Table() && mContext.mTargets.IsKnown();
  mContext.Spawn(
    "content_request",
    RequestAfterDelay(hasContent ? kContentRequestDelay : milliseconds(0),
                      aMessage.mHost,
                      aMessage.mTableVersion,
                      aMessage.mListVersion));
}

Task<void>
SiteFeed::RequestAfterDelay(milliseconds aDelay,
                            std::string aHost,
                            std::optional<TableVersion> aTable,
                            StoreVersion aList)
{
  co_await SleepFor(mContext.mIo, aDelay);
  mContentRequestPending = false;
  const bool lacksTable = aTable > mContext.mTable.Version();
  const bool lacksList = IsNewerList(aList);
  if (lacksTable || lacksList) {
    mNextContentRequest = mContext.Now() + kContentRequestInterval;
    mExchange.Send(aHost, [&](HostMessage& aMessage) {
      aMessage.mRequestsTable = lacksTable;
      aMessage.mRequestsList = lacksList;
    });
  }
}

void
SiteFeed::Handle(const HostMessage& aMessage)
{
  const auto now = mContext.Now();
  const bool isCurrent =
    mContext.ObserveEra(aMessage.mStoreEra, aMessage.mHost) !=
    EraTracker::Outcome::kOutdated;
  if (aMessage.mStatesVersions) {
    mContext.mTable.HostHeard(aMessage.mTableVersion);
  }
  mContext.mLoad.SetPeer(aMessage.mHost, aMessage.mLoads, now);
  mDiscovery.Handle(aMessage);
  if (!aMessage.mDeparting.empty() && mOnDeparting) {
    mOnDeparting(aMessage.mDeparting);
  }
  if (!aMessage.mCopied.empty() && mOnCopied) {
    mOnCopied(aMessage.mCopied);
  }
  if (!aMessage.mPlan.empty() && mOnPlan) {
    mOnPlan(aMessage.mHost, aMessage.mPlan);
  }
  if (aMessage.mAllCopied && mOnAllCopied) {
    mOnAllCopied(aMessage.mHost);
  }
  for (const auto& [target, leavesMs] : aMessage.mReportedLeaving) {
    const auto it = aMessage.mLeavingBorn.find(target);
    HandleReportedLeaving(
      target, it == aMessage.mLeavingBorn.end() ? 0 : it->second, leavesMs);
  }
  for (const auto& engine : aMessage.mSilentEngines) {
    AvoidSilentEngine(engine, aMessage.mHost);
  }
  mContext.mCrashWatch.Merge(aMessage.mCrashReport);
  // A newer version is in force in whatever era it was read.
  if (!aMessage.mTable.empty() &&
      aMessage.mTableVersion > mContext.mTable.Version()) {
    ApplyTable(Uncompress(aMessage.mTable), aMessage.mHost);
  }
  ApplyParts(aMessage);
  ApplyTargetListFrom(aMessage);
  if (isCurrent && aMessage.mTableVersion &&
      aMessage.mTableVersion == mContext.mTable.Version()) {
    if (aMessage.mProvenIncarnation == mExchange.Incarnation()) {
      const MonotonicTime provenAt{ Duration(aMessage.mProvenAt) };
      if (provenAt <= now) {
        mContext.mTable.ConfirmCurrent(*aMessage.mTableVersion, provenAt);
      }
    }
    if (aMessage.mTableRead) {
      mTableReads.ResultArrived(aMessage.mHost, now);
    }
  }
  if (isCurrent && aMessage.mListVersion.IsKnown() && aMessage.mListRead &&
      aMessage.mListFingerprint == mListFingerprint) {
    mContext.mTargets.Confirm(now);
    mListReads.ResultArrived(aMessage.mHost, now);
  }
  AnswerRequests(aMessage);
  RequestMissingContent(aMessage);
  SendToContentWaiters();
  mContext.OfferCapacity();
}

} // namespace ragwortdeck
