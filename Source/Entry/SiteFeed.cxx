#include "Entry/SiteFeed.h"

#include "Core/HttpStatus.h"
#include "Entry/StreamRun.h"

#include <QByteArray>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// The bound for a change of the table is seconds; each read is priced.
const SharedReads::Timing kTableTiming{ milliseconds(450),
                                        milliseconds(120),
                                        milliseconds(200),
                                        milliseconds(1000) };
/// Engines leave at a notice of 1.5 s; each read is priced.
const SharedReads::Timing kListTiming{ milliseconds(150),
                                       milliseconds(90),
                                       milliseconds(150),
                                       milliseconds(800) };
/// The platform's store answers in 4 ms, and in some hundred when slow.
constexpr milliseconds kStoreTimeout{ 1000 };
/// A host that starts asks this many others for the table and the target list
/// first, and reads the store after a while if none of them answers: hosts of
/// a large site that start together would all read it at the same moment.
constexpr std::size_t kAskAtStart = 3;
constexpr milliseconds kFirstRead{ 40 };
constexpr milliseconds kFirstReadSpread{ 160 };
/// Hosts are told at least this often that this one lives.
constexpr milliseconds kHeartbeat{ 1000 };
/// Changes of the own load within this are told together. Hosts that choose
/// an engine meanwhile do not know of them.
constexpr std::chrono::microseconds kFlushDelay{ 300 };
/// An entry of the list of hosts outlives its host by at most this.
constexpr milliseconds kHostLifetime{ 600000 };
constexpr milliseconds kHostRenewal{ 150000 };
constexpr milliseconds kHostRetry{ 700 };
constexpr milliseconds kSweepEvery{ 500 };
/// Engines are asked themselves when the target list is older than this: two
/// missed reads.
constexpr milliseconds kListOld{ 330 };
constexpr milliseconds kAskEngineEvery{ 150 };
constexpr milliseconds kAskEngineTimeout{ 400 };
/// An engine's report describes it some hundred milliseconds ago; 570 ms were
/// seen on the first site.
constexpr milliseconds kReportLag{ 600 };
/// Work that ended or was read is told within this: hosts that do not know of
/// it spare the engine a little longer, and several changes go in one message.
constexpr milliseconds kLazyFlush{ 60 };
/// How often running streams are looked at for silence.
constexpr milliseconds kSilenceEvery{ 100 };
/// A host that lacks content asks for it at most this often.
constexpr milliseconds kAskEvery{ 60 };

std::string
Compress(const std::string& aBytes)
{
  return qCompress(QByteArray::fromStdString(aBytes)).toStdString();
}

std::string
Uncompress(const std::string& aBytes)
{
  return qUncompress(QByteArray::fromStdString(aBytes)).toStdString();
}

std::string
PackList(const TargetList& aList)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aList);
  return Compress({ bytes.data(), bytes.size() });
}

} // namespace

SiteFeed::SiteFeed(EntryContext& aContext, HostExchange& aExchange)
  : mContext(aContext)
  , mExchange(aExchange)
  , mTableReads(aContext.mSettings.mPeers.mAddress, kTableTiming)
  , mListReads(aContext.mSettings.mPeers.mAddress, kListTiming)
  , mFlushTimer(aContext.mIo)
{
  const auto first = aContext.Now() + Duration(kFirstRead) +
                     std::chrono::duration_cast<Duration>(
                       kFirstReadSpread * aContext.mRandom.Unit());
  mTableReads.NotBefore(first);
  mListReads.NotBefore(first);
}

void
SiteFeed::Start()
{
  mExchange.Start(
    [this](const std::string& aHost,
           HostExchange::Content aContent,
           HostMessage& aMessage) { Compose(aHost, aContent, aMessage); },
    [this](const HostMessage& aMessage) { Handle(aMessage); });
  for (const auto& seed : mContext.mSettings.mSeeds) {
    mExchange.AddHost(seed.mAddress);
  }
  mExchange.Broadcast();
  asio::co_spawn(mContext.mIo, TableLoop(), asio::detached);
  asio::co_spawn(mContext.mIo, TargetLoop(), asio::detached);
  asio::co_spawn(mContext.mIo, EngineLoop(), asio::detached);
  asio::co_spawn(mContext.mIo, HostLoop(), asio::detached);
  asio::co_spawn(mContext.mIo, TickLoop(), asio::detached);
  asio::co_spawn(mContext.mIo, SilenceLoop(), asio::detached);
}

std::size_t
SiteFeed::Rank() const
{
  return SharedReads::RankOf(mExchange.Self(), mExchange.LiveHosts());
}

void
SiteFeed::NoteStore(bool aReached, const std::string& aWhy)
{
  if (mStoreNoted && aReached == mStoreReached) {
    return;
  }
  mStoreNoted = true;
  mStoreReached = aReached;
  mContext.mMetrics.Count(aReached ? "entry_store_regained_total"
                                   : "entry_store_lost_total");
  mContext.mLog.Write(aReached ? "store_regained" : "store_lost",
                      { { "why", aWhy },
                        { "table_revision", mContext.mTable.Revision() },
                        { "list_revision", mContext.mTargets.Revision() } });
}

Task<void>
SiteFeed::TableLoop()
{
  while (true) {
    const auto now = mContext.Now();
    const auto due = mTableReads.DueAt(Rank());
    if (now < due) {
      co_await SleepFor(mContext.mIo, due - now);
      continue;
    }
    mTableReads.Started(now);
    if (co_await ReadTable()) {
      mTableReads.Shared(mContext.mSettings.mPeers.mAddress, now);
      mExchange.Broadcast(
        [](HostMessage& aMessage) { aMessage.mTableRead = true; });
    } else {
      mTableReads.Failed(Rank(), mContext.Now());
    }
  }
}

Task<Result<std::string>>
SiteFeed::ReadStore(HttpCall aCall)
{
  mContext.mMetrics.Count("entry_store_calls_total");
  auto reply = co_await mContext.mCalls.Call(
    mContext.mSettings.mStore, std::move(aCall), kStoreTimeout);
  if (!reply) {
    co_return Failure(reply.error().mCode, reply.error().mMessage);
  }
  const auto status = reply.value().mStatus;
  if (status != kStatusOk) {
    co_return Failure(status == kStatusNotFound ? ErrorCode::kNotFound
                                                : ErrorCode::kUnavailable,
                      "status " + std::to_string(status));
  }
  co_return std::move(reply.value().mBody);
}

Task<bool>
SiteFeed::ReadTable()
{
  const auto began = mContext.Now();
  std::map<std::string, Proof> proofs;
  for (const auto& [host, peer] : mExchange.Peers()) {
    if (peer.mIncarnation != 0) {
      proofs[host] = { peer.mIncarnation, peer.mSentAt };
    }
  }
  auto body = co_await ReadStore(mContext.mCodec.TableRead());
  if (!body) {
    NoteStore(body.error().mCode == ErrorCode::kNotFound,
              body.error().mMessage);
    co_return false;
  }
  auto value = mContext.mCodec.ReadStoreValue(body.value());
  if (!value) {
    NoteStore(false, value.error().mMessage);
    co_return false;
  }
  NoteStore(true, "read");
  const bool isNew = value.value().mRevision > mContext.mTable.Revision();
  if (isNew && !TakeTable(value.value().mValue, value.value().mRevision)) {
    co_return false;
  }
  if (value.value().mRevision == mContext.mTable.Revision()) {
    mContext.mTable.ProvenCurrent(value.value().mRevision, began);
    mProofs = std::move(proofs);
  }
  if (isNew) {
    mExchange.Broadcast(
      [this](HostMessage& aMessage) { SendTableTo(aMessage); });
  }
  co_return true;
}

bool
SiteFeed::TakeTable(const std::string& aValue, std::int64_t aRevision)
{
  auto table = mContext.mCodec.ReadTable(aValue);
  if (!table) {
    mContext.mLog.Write(
      "table_unreadable",
      { { "revision", aRevision }, { "why", table.error().mMessage } });
    return false;
  }
  auto shared = std::make_shared<const ServingTable>(std::move(table.value()));
  const auto version = shared->Version();
  if (mContext.mTable.Apply(std::move(shared), aRevision)) {
    mTableContent = Compress(aValue);
    mProofs.clear();
    mContext.mMetrics.Count("entry_table_changes_total");
    mContext.mLog.Write("table_applied",
                        { { "revision", aRevision }, { "version", version } });
  }
  return true;
}

Task<void>
SiteFeed::TargetLoop()
{
  while (true) {
    const auto now = mContext.Now();
    const auto due = mListReads.DueAt(Rank());
    if (now < due) {
      co_await SleepFor(mContext.mIo, due - now);
      continue;
    }
    mListReads.Started(now);
    const auto before = mList;
    if (co_await ReadTargets()) {
      mListReads.Shared(mContext.mSettings.mPeers.mAddress, now);
      std::vector<TargetListChange> change;
      if (mList.mTargets != before.mTargets) {
        change.push_back(TargetListChange::Between(before, mList));
      }
      mExchange.Broadcast([&](HostMessage& aMessage) {
        aMessage.mListRead = true;
        aMessage.mListChange = change;
      });
    } else {
      mListReads.Failed(Rank(), mContext.Now());
    }
  }
}

Task<bool>
SiteFeed::ReadTargets()
{
  TargetList list;
  std::string after;
  do {
    auto body = co_await ReadStore(mContext.mCodec.TargetsRead(after));
    if (!body) {
      NoteStore(false, body.error().mMessage);
      co_return false;
    }
    auto page = mContext.mCodec.ReadTargets(body.value());
    if (!page) {
      NoteStore(false, page.error().mMessage);
      co_return false;
    }
    // Pages are no snapshot; the first one's revision is the safe one.
    if (after.empty()) {
      list.mRevision = page.value().mList.mRevision;
    }
    list.mTargets.merge(page.value().mList.mTargets);
    after = page.value().mNext;
    if (!page.value().mUnreadable.empty()) {
      mContext.mMetrics.Count("entry_unreadable_targets_total",
                              page.value().mUnreadable.size());
    }
  } while (!after.empty());
  NoteStore(true, "read");
  TakeTargets(list);
  co_return true;
}

void
SiteFeed::TakeTargets(const TargetList& aList)
{
  const auto now = mContext.Now();
  if (aList.mRevision < mList.mRevision) {
    return;
  }
  if (aList.mTargets == mList.mTargets && mList.mRevision > 0) {
    mList.mRevision = aList.mRevision;
    mContext.mTargets.Confirm(now);
    return;
  }
  mList = aList;
  mListFingerprint = FingerprintOf(aList);
  mListContent.clear();
  const auto leaving = mContext.mTargets.Apply(aList, now);
  mContext.mMetrics.Count("entry_target_changes_total");
  mContext.mLog.Write("targets_changed",
                      { { "revision", aList.mRevision },
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
    co_await SleepFor(mContext.mIo, kAskEngineEvery);
    const auto table = mContext.mTable.Table();
    if (!table || mContext.mTargets.ListAge(mContext.Now()) < kListOld) {
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
      asio::co_spawn(mContext.mIo, AskEngine(entry.mTarget), asio::detached);
    }
  }
}

Task<void>
SiteFeed::AskEngine(Target aEngine)
{
  mContext.mMetrics.Count("entry_engine_questions_total");
  auto reply = co_await mContext.mCalls.Call(
    aEngine.mEndpoint, mContext.mCodec.ReportCall(), kAskEngineTimeout);
  if (!reply) {
    mContext.mHealth.Failed(aEngine.mId, mContext.Now());
    co_return;
  }
  auto report = mContext.mCodec.ReadReport(reply.value().mBody);
  if (!report || !report.value().mLeaving) {
    co_return;
  }
  const std::int64_t leavesMs =
    report.value().mLeavesIn
      ? std::max<std::int64_t>(0,
                               (*report.value().mLeavesIn - kReportLag).count())
      : -1;
  mExchange.Broadcast([&](HostMessage& aMessage) {
    aMessage.mSaidLeaving = { { aEngine.mId, leavesMs } };
  });
  SaidLeaving(aEngine.mId, leavesMs);
}

void
SiteFeed::SaidLeaving(const std::string& aTarget, std::int64_t aLeavesMs)
{
  const auto now = mContext.Now();
  if (!mContext.mTargets.MarkLeaving(aTarget, now)) {
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

Task<bool>
SiteFeed::Register()
{
  const auto& store = mContext.mSettings.mStore;
  if (!mLease.empty()) {
    auto kept = co_await mContext.mCalls.Call(
      store, mContext.mCodec.LeaseRenewal(mLease), kStoreTimeout);
    if (kept && kept.value().mStatus == kStatusOk) {
      co_return true;
    }
    if (!kept || kept.value().mStatus != kStatusNotFound) {
      co_return false;
    }
    mLease.clear();
  }
  auto lease = co_await mContext.mCalls.Call(
    store, mContext.mCodec.LeaseCall(kHostLifetime), kStoreTimeout);
  if (!lease || lease.value().mStatus != kStatusOk) {
    co_return false;
  }
  auto id = mContext.mCodec.ReadLease(lease.value().mBody);
  if (!id) {
    co_return false;
  }
  auto written = co_await mContext.mCalls.Call(
    store,
    mContext.mCodec.HostWrite(mContext.mSettings.mPeers.mAddress, id.value()),
    kStoreTimeout);
  if (!written || written.value().mStatus != kStatusOk) {
    co_return false;
  }
  mLease = id.value();
  // Read after the write: of two hosts that start together, at least the
  // later writer sees the other.
  auto hosts = co_await mContext.mCalls.Call(
    store, mContext.mCodec.HostsRead(), kStoreTimeout);
  if (!hosts || hosts.value().mStatus != kStatusOk) {
    mLease.clear();
    co_return false;
  }
  auto names = mContext.mCodec.ReadHosts(hosts.value().mBody);
  if (!names) {
    co_return false;
  }
  auto others = names.value();
  for (const auto& host : others) {
    mExchange.AddHost(host);
  }
  mExchange.Broadcast();
  AskAtStart(std::move(others));
  mContext.mLog.Write("registered", { { "hosts", names.value().size() } });
  co_return true;
}

void
SiteFeed::AskAtStart(std::vector<std::string> aHosts)
{
  std::erase(aHosts, mContext.mSettings.mPeers.mAddress);
  for (std::size_t n = 0; n < kAskAtStart && !aHosts.empty(); ++n) {
    const auto it = aHosts.begin() + static_cast<std::ptrdiff_t>(
                                       mContext.mRandom.Below(aHosts.size()));
    mExchange.Send(*it, [&](HostMessage& aMessage) {
      aMessage.mWantsTable = !mContext.mTable.Table();
      aMessage.mWantsList = !mContext.mTargets.IsKnown();
    });
    aHosts.erase(it);
  }
}

Task<void>
SiteFeed::HostLoop()
{
  while (true) {
    const bool done = co_await Register();
    co_await SleepFor(mContext.mIo,
                      done ? Duration(kHostRenewal) : Duration(kHostRetry));
  }
}

Task<void>
SiteFeed::TickLoop()
{
  while (true) {
    co_await SleepFor(mContext.mIo, kSweepEvery);
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
    if (now - mExchange.LastBroadcast() >= kHeartbeat - kSweepEvery / 2) {
      mExchange.Broadcast();
    }
  }
}

Task<void>
SiteFeed::SilenceLoop()
{
  while (true) {
    co_await SleepFor(mContext.mIo, kSilenceEvery);
    const auto now = mContext.Now();
    std::vector<RunningStream> streams;
    for (const auto& [id, run] : mContext.mStreams) {
      if (auto stream = run->Running()) {
        streams.push_back(std::move(*stream));
      }
    }
    const auto silent = mSilence.Silent(streams, now);
    if (silent.empty()) {
      continue;
    }
    for (const auto& engine : silent) {
      AvoidSilent(engine, mContext.mSettings.mPeers.mAddress);
    }
    mExchange.Broadcast(
      [&](HostMessage& aMessage) { aMessage.mSilent = silent; });
  }
}

void
SiteFeed::AvoidSilent(const std::string& aEngine, const std::string& aFrom)
{
  mContext.mHealth.Unreachable(aEngine, mContext.Now());
  mContext.mMetrics.Count("entry_silent_engines_total");
  mContext.mLog.Write("engine_silent",
                      { { "target", aEngine }, { "from", aFrom } });
}

void
SiteFeed::LoadChanged(bool aGrew)
{
  const auto at =
    mContext.Now() + (aGrew ? Duration(kFlushDelay) : Duration(kLazyFlush));
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
    if (mToldVersion != mContext.mLoad.OwnVersion()) {
      mExchange.Broadcast({}, HostExchange::Content::kLoads);
    }
  });
}

void
SiteFeed::Compose(const std::string& aHost,
                  HostExchange::Content aContent,
                  HostMessage& aMessage)
{
  mToldVersion = mContext.mLoad.OwnVersion();
  aMessage.mLoads = mContext.mLoad.Own();
  if (aContent == HostExchange::Content::kLoads) {
    return;
  }
  aMessage.mTableRevision = mContext.mTable.Revision();
  aMessage.mListRevision = mList.mRevision;
  aMessage.mListFingerprint = mListFingerprint;
  if (const auto it = mProofs.find(aHost); it != mProofs.end()) {
    aMessage.mProvenAt = it->second.mAt;
    aMessage.mProvenIncarnation = it->second.mIncarnation;
  }
}

void
SiteFeed::SendTableTo(HostMessage& aMessage) const
{
  if (mTableContent.size() <= HostExchange::kLargestContent) {
    aMessage.mTable = mTableContent;
  }
}

void
SiteFeed::SendListTo(HostMessage& aMessage)
{
  if (mListContent.empty()) {
    mListContent = PackList(mList);
  }
  if (mListContent.size() <= HostExchange::kLargestContent) {
    aMessage.mList = mListContent;
  }
}

void
SiteFeed::TakeListOf(const HostMessage& aMessage)
{
  if (aMessage.mListRevision <= mList.mRevision) {
    return;
  }
  if (aMessage.mListFingerprint == mListFingerprint) {
    // The same targets, read at a later revision.
    mList.mRevision = aMessage.mListRevision;
    return;
  }
  for (const auto& change : aMessage.mListChange) {
    if (auto list = change.ApplyTo(mList)) {
      TakeTargets(*list);
      return;
    }
  }
  if (aMessage.mList.empty()) {
    return;
  }
  TargetList list;
  try {
    const auto bytes = Uncompress(aMessage.mList);
    msgpack::unpack(bytes.data(), bytes.size()).get().convert(list);
    list.mRevision = aMessage.mListRevision;
    TakeTargets(list);
  } catch (const std::exception& ec) {
    mContext.mLog.Write("list_unreadable",
                        { { "from", aMessage.mHost }, { "why", ec.what() } });
  }
}

void
SiteFeed::AnswerWants(const HostMessage& aMessage)
{
  const auto now = mContext.Now();
  const bool lacksTable = aMessage.mTableRevision > mContext.mTable.Revision();
  const bool lacksList = aMessage.mListRevision > mList.mRevision;
  const bool ask = (lacksTable || lacksList) && now >= mNextAsk;
  if (ask) {
    mNextAsk = now + kAskEvery;
  }
  if (!ask && !aMessage.mWantsTable && !aMessage.mWantsList) {
    return;
  }
  mExchange.Send(aMessage.mHost, [&](HostMessage& aAnswer) {
    aAnswer.mWantsTable = ask && lacksTable;
    aAnswer.mWantsList = ask && lacksList;
    if (aMessage.mWantsTable) {
      SendTableTo(aAnswer);
    }
    if (aMessage.mWantsList) {
      SendListTo(aAnswer);
    }
  });
}

void
SiteFeed::Handle(const HostMessage& aMessage)
{
  const auto now = mContext.Now();
  mContext.mLoad.SetPeer(aMessage.mHost, aMessage.mLoads, now);
  if (!aMessage.mDeparting.empty() && mOnDeparting) {
    mOnDeparting(aMessage.mDeparting);
  }
  if (!aMessage.mCopied.empty() && mOnCopied) {
    mOnCopied(aMessage.mCopied);
  }
  if (!aMessage.mPlan.empty() && mOnPlan) {
    mOnPlan(aMessage.mPlan);
  }
  for (const auto& [target, leavesMs] : aMessage.mSaidLeaving) {
    SaidLeaving(target, leavesMs);
  }
  for (const auto& engine : aMessage.mSilent) {
    AvoidSilent(engine, aMessage.mHost);
  }
  if (!aMessage.mTable.empty() &&
      aMessage.mTableRevision > mContext.mTable.Revision()) {
    TakeTable(Uncompress(aMessage.mTable), aMessage.mTableRevision);
  }
  TakeListOf(aMessage);
  if (aMessage.mTableRevision == mContext.mTable.Revision()) {
    if (aMessage.mProvenIncarnation == mExchange.Incarnation()) {
      const MonotonicTime provenAt{ Duration(aMessage.mProvenAt) };
      if (provenAt <= now) {
        mContext.mTable.ProvenCurrent(aMessage.mTableRevision, provenAt);
      }
    }
    if (aMessage.mTableRead) {
      mTableReads.Shared(aMessage.mHost, now);
    }
  }
  if (aMessage.mListFingerprint == mListFingerprint && aMessage.mListRead) {
    mContext.mTargets.Confirm(now);
    mListReads.Shared(aMessage.mHost, now);
  }
  AnswerWants(aMessage);
  mContext.OfferCapacity();
}

} // namespace ragwortdeck
