#include "Control/ControlProcess.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("control");

HostRole
RoleOf(ListedRole aRole)
{
  switch (aRole) {
    case ListedRole::kRouter:
      return HostRole::kEntry;
    case ListedRole::kEngine:
      return HostRole::kEngine;
    case ListedRole::kService:
      return HostRole::kService;
  }
  return HostRole::kEntry;
}

std::uint64_t
StartMillis(const Scheduler& aScheduler)
{
  const auto since = aScheduler.WallNow().time_since_epoch();
  return std::uint64_t(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

ControlProcess::ControlProcess(Scheduler& aScheduler, ControlSettings aSettings)
  : mScheduler(aScheduler)
  , mSettings(std::move(aSettings))
  , mRandom(RandomSource::SystemSeed())
  , mHybridClock([&aScheduler] { return aScheduler.WallNow(); })
  , mRecorder(mSettings.mCore.mHost, "control", mHybridClock, {})
  , mIdentity{
    mSettings.mCore.mHost,
    StartMillis(aScheduler),
    std::make_shared<const KeyRing>(KeyRing::Create(mSettings.mKeys).value()),
    [this] { return mHybridClock.Tick().mPacked; },
    [this](std::uint64_t aTime) { mHybridClock.Observe({ aTime }); }
  }
  , mStore(aScheduler, mSettings.mKeyValue)
  , mPoller(mSettings.mLoadTimeout)
  , mLiveHosts{ mSettings.mCore.mHost }
{
}

Result<std::unique_ptr<ControlProcess>>
ControlProcess::Create(Scheduler& aScheduler, ControlSettings aSettings)
{
  std::unique_ptr<ControlProcess> process(
    new ControlProcess(aScheduler, std::move(aSettings)));
  const auto listening = process->Listen();
  if (!listening) {
    return Failure(listening.error());
  }
  process->StartCore();
  return process;
}

Result<void>
ControlProcess::Listen()
{
  const auto tls = LoadTls(mSettings.mPeerTls);
  if (!tls) {
    return Failure(tls.error());
  }
  auto identity = mIdentity;
  identity.mTls = tls.value();
  auto network = PeerNetwork::Listen(
    mScheduler,
    identity,
    mSettings.mPeerListen,
    { [this](const PeerMessage& aMessage) { TakePeerMessage(aMessage); },
      [](const HostId&) {} });
  if (!network) {
    return Failure(network.error());
  }
  mNetwork = std::move(network.value());
  auto link = RouterLinkServer::Listen(
    mScheduler,
    mIdentity,
    mSettings.mRouterListen,
    { [](const UsageMessage&) {},
      [this](PeerConnection&, const PeerMessage& aMessage) {
        TakeRouterMessage(aMessage);
      },
      [this] {
        if (mCore) {
          // The last published view may hold old load reports.
          mRouterLink->Publish(mCore->View());
        }
        mRouterLink->Send(PeerMessage::Of(LiveHostsMessage{ mLiveHosts }));
      } });
  if (!link) {
    return Failure(link.error());
  }
  mRouterLink = std::move(link.value());
  return Success();
}

void
ControlProcess::StartCore()
{
  // With port 0 in the settings, peers must get the port in use.
  auto core = mSettings.mCore;
  if (mSettings.mPeerListen.mPort == 0) {
    core.mAddress =
      ToText(Endpoint{ mSettings.mPeerListen.mAddress, mNetwork->Port() });
  }
  mCredits = std::make_unique<CreditRouting>(
    mScheduler,
    core.mHost,
    CreditRouting::Hooks{
      [this](const HostId& aTo, const PeerMessage& aMessage) {
        mCore->SendTo(aTo, aMessage);
      },
      [this](const PeerMessage& aMessage) { mRouterLink->Send(aMessage); } });
  mEvents = std::make_unique<EventAnswers>(
    mScheduler,
    mRecorder,
    EventAnswers::Hooks{
      [this](const HostId& aTo, const PeerMessage& aMessage) {
        mNetwork->Send(aTo, {}, aMessage);
      },
      [this](const PeerMessage& aMessage) { mRouterLink->Send(aMessage); },
      [this] { return mRouterLink->RouterCount(); } });
  mCore = std::make_unique<ControlCore>(
    mScheduler,
    mRandom.Split(),
    core,
    mIdentity.mIncarnation,
    mStore,
    ControlCore::Hooks{
      [this](const HostId& aTo,
             const std::string& aAddress,
             const PeerMessage& aMessage) {
        mNetwork->Send(aTo, aAddress, aMessage);
      },
      [this](const SiteView& aView) { Publish(aView); },
      [this](const std::map<TargetId, LoadReport>& aReports) {
        mCredits->OnLoadReports(aReports);
        mRouterLink->Send(PeerMessage::Of(LoadReportsMessage{ aReports }));
      },
      [this](const std::vector<HostId>& aHosts) {
        mLiveHosts = aHosts;
        mCredits->OnLiveHosts(aHosts);
        if (mDuties) {
          mDuties->OnLiveHosts(aHosts.size());
        }
        mRouterLink->Send(PeerMessage::Of(LiveHostsMessage{ aHosts }));
      },
      [this](const Target& aTarget,
             const LoadSharing::ReportCallback& aCallback) {
        mPoller.Poll(aTarget, aCallback);
      },
      [this](const MemberRecord& aRecord) { RecordMember(aRecord); },
      [this](std::uint64_t aVersion) { RecordTable(aVersion); },
      [this](const PeerMessage& aMessage) { TakeOther(aMessage); } });
  EventFields started;
  started.mType = EventType::kProcessStarted;
  mRecorder.Record(started);
  mCore->Start();
  StartDuties();
  if (mSettings.mHostList) {
    mHostList = std::make_unique<HostListClient>(
      mScheduler,
      mRandom.Split(),
      *mSettings.mHostList,
      [this](const HostList& aList) { TakeHostList(aList); });
  }
  sLog.Info("host " + core.mHost.Value() + " listens for peers on " +
            core.mAddress + " and for its router on port " +
            std::to_string(mRouterLink->Port()));
}

void
ControlProcess::StartDuties()
{
  if (!mSettings.mLeader) {
    return;
  }
  mDuties = std::make_unique<LeaderDuties>(
    mScheduler,
    mStore,
    mRandom.Split(),
    mSettings.mCore.mHost,
    *mSettings.mLeader,
    LeaderDuties::Hooks{
      [this] { return OrderView(); },
      [this](std::int64_t aFencing) { RecordLease(aFencing); },
      [this](const Target& aTarget, const EngineOrder& aOrder) {
        RecordOrder(aTarget, aOrder, "sent");
      },
      [this](
        const Target& aTarget, const EngineOrder& aOrder, OrderReport aReport) {
        RecordOrder(aTarget, aOrder, ToText(aReport));
      } });
  mDuties->Start();
}

std::shared_ptr<const SiteView>
ControlProcess::OrderView() const
{
  // Without the teams, which are most of a large table: a copy of 4,900 rows
  // each two seconds shows in processor time and memory.
  const auto table = mCore->Spread().Replica().Current();
  auto view = std::make_shared<SiteView>();
  view->mTable.mVersion = table->mVersion;
  view->mTable.mModels = table->mModels;
  view->mTargets = mCore->Directory().Targets();
  return view;
}

void
ControlProcess::RecordLease(std::int64_t aFencing)
{
  EventFields fields;
  fields.mType =
    aFencing != 0 ? EventType::kLeaseAcquired : EventType::kLeaseLost;
  fields.mLease = aFencing != 0 ? aFencing : mFencing;
  mFencing = aFencing;
  mRecorder.Record(fields);
}

void
ControlProcess::RecordOrder(const Target& aTarget,
                            const EngineOrder& aOrder,
                            std::string_view aVerdict)
{
  const auto detail = aOrder.mId + " " + ToText(aOrder.mAction) + " " +
                      aOrder.mModel.Value() + " " + aOrder.mVersion;
  EventFields fields;
  fields.mType = EventType::kOrderSent;
  fields.mTarget = aTarget.mId.Value();
  fields.mLease = aOrder.mFencing;
  fields.mVerdict = aVerdict;
  fields.mDetail = detail;
  mRecorder.Record(fields);
}

void
ControlProcess::TakePeerMessage(const PeerMessage& aMessage)
{
  if (mCore && !mStopping) {
    mCore->OnMessage(aMessage);
  }
}

void
ControlProcess::TakeRouterMessage(const PeerMessage& aMessage)
{
  if (aMessage.Is<EventsMessage>()) {
    mEvents->OnRouterEvents(aMessage);
    return;
  }
  if (!mCredits->OnRouterMessage(aMessage)) {
    sLog.Warning("message " + aMessage.mType + " of the router ignored");
  }
}

void
ControlProcess::RecordMember(const MemberRecord& aRecord)
{
  const auto detail = aRecord.mHost.Value() + " " + ToText(aRecord.mState);
  EventFields fields;
  fields.mType = EventType::kMemberChanged;
  fields.mDetail = detail;
  mRecorder.Record(fields);
}

void
ControlProcess::RecordTable(std::uint64_t aVersion)
{
  EventFields fields;
  fields.mType = EventType::kTableApplied;
  fields.mTableVersion = aVersion;
  mRecorder.Record(fields);
}

void
ControlProcess::TakeOther(const PeerMessage& aMessage)
{
  if (mCredits->OnPeerMessage(aMessage)) {
    return;
  }
  if (aMessage.Is<EventsFetchMessage>()) {
    mEvents->OnFetch(aMessage);
    return;
  }
  if (aMessage.Is<StatusFetchMessage>()) {
    mNetwork->Send(aMessage.mFrom, {}, PeerMessage::Of(Status()));
    return;
  }
  sLog.Warning("message " + aMessage.mType + " of " + aMessage.mFrom.Value() +
               " ignored: unknown type");
}

StatusMessage
ControlProcess::Status() const
{
  auto status = mCore->Status();
  status.mRouterConnected = mRouterLink->RouterCount() > 0;
  if (mDuties) {
    status.mLeaseHolder = mDuties->Lease().Holder();
    status.mFencingToken = mDuties->Lease().Fencing();
  }
  const auto age = mHostList ? mHostList->Age() : std::nullopt;
  status.mHostListAgeMillis = age ? age->count() / 1000 : -1;
  return status;
}

void
ControlProcess::TakeHostList(const HostList& aList)
{
  std::vector<DirectoryHost> hosts;
  std::vector<std::string> peers;
  for (const auto& host : aList.mHosts) {
    hosts.push_back({ host.mId,
                      RoleOf(host.mRole),
                      host.mAddress,
                      host.mFailureDomain,
                      host.mLeaving,
                      host.mModels,
                      host.mChecksFencing });
    if (host.mRole == ListedRole::kRouter && mSettings.mListedPeerPort != 0) {
      const auto colon = host.mAddress.rfind(':');
      peers.push_back(host.mAddress.substr(0, colon + 1) +
                      std::to_string(mSettings.mListedPeerPort));
    }
  }
  mCore->OnHostList(std::move(hosts));
  mCore->SetListedPeers(std::move(peers));
}

void
ControlProcess::Publish(const SiteView& aView)
{
  mCredits->OnView(aView);
  if (mDuties) {
    mDuties->SetLeaving(aView.mThisHostLeaving);
  }
  mRouterLink->Publish(aView);
}

void
ControlProcess::Stop(const std::function<void()>& aDone)
{
  if (mStopping) {
    return;
  }
  sLog.Info("graceful stop");
  EventFields stopping;
  stopping.mType = EventType::kProcessStopping;
  mRecorder.Record(stopping);
  if (mDuties) {
    mDuties->Stop();
  }
  mCore->Leave();
  mStopping = true;
  mRouterLink->Drain(mSettings.mDrainLimit, [this, aDone] {
    mNetwork->Drain(mSettings.mDrainLimit, aDone);
  });
}

} // namespace ragwortdeck
