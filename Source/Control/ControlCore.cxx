#include "Control/ControlCore.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("control");

// Member changes within this time are handled as one, because each one ranks
// all hosts again.
constexpr Duration kMembersDelay = std::chrono::milliseconds(20);

} // namespace

ControlCore::ControlCore(Scheduler& aScheduler,
                         RandomSource aRandom,
                         ControlCoreSettings aSettings,
                         std::uint64_t aIncarnation,
                         KeyValueStore& aStore,
                         Hooks aHooks)
  : mScheduler(aScheduler)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mDirectory(
      aScheduler,
      mSettings.mHost,
      [this] {
        mLoads.OnDirectory();
        SchedulePublish();
      },
      [this](const TargetId& aTarget) { OnLoad(aTarget); })
  , mMembership(aScheduler,
                aRandom.Split(),
                { mSettings.mHost,
                  aIncarnation,
                  MemberState::kAlive,
                  mSettings.mAddress,
                  mSettings.mFailureDomain },
                mSettings.mMembership,
                { [this](const HostId& aTo,
                         const std::string& aAddress,
                         const MemberMessage& aMessage) {
                   std::visit(
                     [&](const auto& aBody) {
                       mHooks.mSend(aTo, aAddress, PeerMessage::Of(aBody));
                     },
                     aMessage);
                 },
                  [this](const MemberRecord& aRecord) {
                    mHooks.mOnMember(aRecord);
                    OnMemberChange();
                  },
                  [this] { return mSpread.Versions(); },
                  [this](const HostId& aFrom, const SharedVersions& aVersions) {
                    mSpread.OnVersions(aFrom, aVersions);
                  } })
  , mSpread(
      aScheduler,
      aRandom.Split(),
      mSettings.mHost,
      mSettings.mFailureDomain,
      aStore,
      mSettings.mSpread,
      { [this](const HostId& aTo, const TableMessage& aMessage) {
         std::visit(
           [&](const auto& aBody) { SendTo(aTo, PeerMessage::Of(aBody)); },
           aMessage);
       },
        [this](const std::shared_ptr<const Table>& aTable) {
          mHooks.mOnTable(aTable->mVersion);
          SchedulePublish();
        },
        [this](const HostMarks& aMarks) { mDirectory.OnMarks(aMarks); } })
  , mLoads(
      aScheduler,
      aRandom.Split(),
      mSettings.mHost,
      aIncarnation,
      mSpread.Tree(),
      mDirectory,
      mSettings.mLoads,
      { [this](const Target& aTarget, LoadSharing::ReportCallback aCallback) {
         mHooks.mPollLoad(aTarget, std::move(aCallback));
       },
        [this](const HostId& aTo, const TargetLoadsMessage& aMessage) {
          SendTo(aTo, PeerMessage::Of(aMessage));
        } })
  , mLiveHosts{ mSettings.mHost }
{
}

void
ControlCore::Start()
{
  mMembership.SetSeeds(mSettings.mSeeds);
  mMembership.Start();
  mSpread.Start();
  mLoads.Start();
}

void
ControlCore::Leave()
{
  mLoads.Stop();
  mSpread.Stop();
  mMembership.Leave();
}

void
ControlCore::OnHostList(std::vector<DirectoryHost> aHosts)
{
  mDirectory.OnHostList(std::move(aHosts));
}

void
ControlCore::SetListedPeers(std::vector<std::string> aAddresses)
{
  aAddresses.insert(
    aAddresses.end(), mSettings.mSeeds.begin(), mSettings.mSeeds.end());
  mMembership.SetSeeds(std::move(aAddresses));
}

void
ControlCore::SendTo(const HostId& aTo, const PeerMessage& aMessage)
{
  const auto* member = mMembership.Find(aTo);
  mHooks.mSend(
    aTo, member == nullptr ? std::string() : member->mAddress, aMessage);
}

template<typename T>
bool
ControlCore::Dispatch(const PeerMessage& aMessage,
                      const std::function<void(const T&)>& aTake)
{
  if (!aMessage.Is<T>()) {
    return false;
  }
  const auto body = aMessage.As<T>();
  if (body) {
    aTake(body.value());
  } else {
    sLog.Error("message " + aMessage.mType + " of " + aMessage.mFrom.Value() +
               " ignored: " + body.error().mMessage);
  }
  return true;
}

bool
ControlCore::DispatchMember(const PeerMessage& aMessage)
{
  const auto take = [&](const auto& aBody) {
    mMembership.OnMessage(aMessage.mFrom, aBody);
  };
  return Dispatch<PingMessage>(aMessage, take) ||
         Dispatch<AckMessage>(aMessage, take) ||
         Dispatch<PingRequestMessage>(aMessage, take) ||
         Dispatch<MembersFetchMessage>(aMessage, take) ||
         Dispatch<MembersMessage>(aMessage, take);
}

bool
ControlCore::DispatchTable(const PeerMessage& aMessage)
{
  const auto take = [&](const auto& aBody) {
    mSpread.OnMessage(aMessage.mFrom, aBody);
  };
  return Dispatch<TableDeltaMessage>(aMessage, take) ||
         Dispatch<TableFetchMessage>(aMessage, take) ||
         Dispatch<TableFullMessage>(aMessage, take) ||
         Dispatch<HostMarksMessage>(aMessage, take);
}

void
ControlCore::OnMessage(const PeerMessage& aMessage)
{
  const auto loads = [this](const TargetLoadsMessage& aLoads) {
    mLoads.OnMessage(aLoads);
  };
  if (!DispatchMember(aMessage) && !DispatchTable(aMessage) &&
      !Dispatch<TargetLoadsMessage>(aMessage, loads)) {
    mHooks.mOnOther(aMessage);
  }
}

void
ControlCore::OnMemberChange()
{
  if (!mMembersPending) {
    mMembersPending = true;
    mMembersTimer =
      mScheduler.After(kMembersDelay, [this] { UpdateMembers(); });
  }
}

void
ControlCore::UpdateMembers()
{
  mMembersPending = false;
  const auto members = mMembership.Live();
  mSpread.OnMembers(members);
  mLoads.OnMembers(members);
  std::vector<HostId> hosts;
  hosts.reserve(members.size());
  for (const auto& member : members) {
    hosts.push_back(member.mHost);
  }
  if (hosts != mLiveHosts) {
    mLiveHosts = std::move(hosts);
    mHooks.mOnLiveHosts(mLiveHosts);
    SchedulePublish();
  }
}

void
ControlCore::SchedulePublish()
{
  if (!mPublishPending) {
    mPublishPending = true;
    mPublishTimer =
      mScheduler.After(mSettings.mPublishDelay, [this] { Publish(); });
  }
}

void
ControlCore::Publish()
{
  mPublishPending = false;
  // The view carries the newest reports.
  mNewLoads.clear();
  mHooks.mPublish(View());
}

void
ControlCore::OnLoad(const TargetId& aTarget)
{
  if (mNewLoads.empty()) {
    mLoadsTimer =
      mScheduler.After(mSettings.mPublishDelay, [this] { PublishLoads(); });
  }
  mNewLoads.insert(aTarget);
}

void
ControlCore::PublishLoads()
{
  std::map<TargetId, LoadReport> reports;
  for (const auto& target : mNewLoads) {
    if (const auto report = mDirectory.LoadOf(target)) {
      reports.emplace(target, *report);
    }
  }
  mNewLoads.clear();
  if (!reports.empty()) {
    mHooks.mOnLoads(reports);
  }
}

SiteView
ControlCore::View() const
{
  SiteView view;
  view.mTable = *mSpread.Replica().Current();
  view.mTargets = mDirectory.Targets();
  view.mEntryHosts = mDirectory.EntryHosts();
  // Without any host list, the members are the best known divisor of caps.
  if (mDirectory.ListAge() < Duration::zero() && view.mEntryHosts.empty()) {
    view.mEntryHosts = mLiveHosts;
  }
  view.mThisHostLeaving = mDirectory.IsThisHostLeaving();
  return view;
}

StatusMessage
ControlCore::Status() const
{
  StatusMessage status;
  status.mTableVersion = mSpread.Versions().mTable;
  status.mWatchesTable = mSpread.IsWatching();
  for (const auto& member : mMembership.All()) {
    status.mMembers.push_back({ member.mHost,
                                member.mIncarnation,
                                ToText(member.mState),
                                member.mAddress,
                                member.mFailureDomain });
  }
  status.mEntryHosts = std::uint32_t(mDirectory.EntryHosts().size());
  status.mTargets = std::uint32_t(mDirectory.Targets().size());
  status.mLeaving = mDirectory.IsThisHostLeaving();
  return status;
}

} // namespace ragwortdeck
