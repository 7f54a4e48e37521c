#pragma once

#include "Control/LoadSharing.h"
#include "Controllers/HostDirectory.h"
#include "Controllers/Membership.h"
#include "Controllers/TableSpread.h"
#include "Peer/ControlMessages.h"
#include "Peer/PeerMessage.h"

#include <set>

namespace ragwortdeck {

struct ControlCoreSettings
{
  HostId mHost;
  FailureDomain mFailureDomain;
  /// Where this process listens for peers.
  std::string mAddress;
  /// Peers to join through, besides those of the host list.
  std::vector<std::string> mSeeds;
  MembershipSettings mMembership;
  TableSpreadSettings mSpread;
  LoadSharingSettings mLoads;
  /// Views that change faster are published once per this time.
  Duration mPublishDelay{ std::chrono::milliseconds(50) };
};

/// \brief Control of one host without its sockets: membership, table, host
/// directory and load sharing, and the SiteView made from them.
class ControlCore
{
public:
  struct Hooks
  {
    /// Sends to a peer. The address is empty for a host that is reached only
    /// over an open connection, the host for an address of unknown owner.
    std::function<void(const HostId& aTo,
                       const std::string& aAddress,
                       const PeerMessage& aMessage)>
      mSend;
    std::function<void(const SiteView&)> mPublish;
    /// Reports that changed while the rest of the view stayed as it is.
    std::function<void(const std::map<TargetId, LoadReport>&)> mOnLoads;
    /// Live hosts changed; sorted by id.
    std::function<void(const std::vector<HostId>&)> mOnLiveHosts;
    /// See LoadSharing::Hooks.
    std::function<void(const Target&, LoadSharing::ReportCallback)> mPollLoad;
    /// A member changed, or the table did; for the time line.
    std::function<void(const MemberRecord&)> mOnMember;
    std::function<void(std::uint64_t aVersion)> mOnTable;
    /// Messages of other types, from other hosts.
    std::function<void(const PeerMessage&)> mOnOther;
  };

  /// aIncarnation: start of the process in milliseconds since the epoch.
  ControlCore(Scheduler& aScheduler,
              RandomSource aRandom,
              ControlCoreSettings aSettings,
              std::uint64_t aIncarnation,
              KeyValueStore& aStore,
              Hooks aHooks);

  void Start();
  /// Tells peers, and stops all work.
  void Leave();
  /// A message of an authenticated peer.
  void OnMessage(const PeerMessage& aMessage);
  void OnHostList(std::vector<DirectoryHost> aHosts);
  /// Addresses at which control processes of listed entry hosts listen.
  void SetListedPeers(std::vector<std::string> aAddresses);

  /// Sends to a member; dropped when it is not known.
  void SendTo(const HostId& aTo, const PeerMessage& aMessage);

  SiteView View() const;
  /// Membership, table and host list part of the status.
  StatusMessage Status() const;
  /// True when this host has a table, so that a router may become ready.
  bool IsReady() const { return mSpread.HasTable(); }

  const Membership& Members() const { return mMembership; }
  const TableSpread& Spread() const { return mSpread; }
  const HostDirectory& Directory() const { return mDirectory; }

private:
  template<typename T>
  bool Dispatch(const PeerMessage& aMessage,
                const std::function<void(const T&)>& aTake);
  bool DispatchMember(const PeerMessage& aMessage);
  bool DispatchTable(const PeerMessage& aMessage);
  void OnMemberChange();
  void UpdateMembers();
  void SchedulePublish();
  void Publish();
  void OnLoad(const TargetId& aTarget);
  void PublishLoads();

  Scheduler& mScheduler;
  ControlCoreSettings mSettings;
  Hooks mHooks;
  HostDirectory mDirectory;
  Membership mMembership;
  TableSpread mSpread;
  LoadSharing mLoads;
  bool mPublishPending = false;
  /// Targets whose reports are newer than the last view.
  std::set<TargetId> mNewLoads;
  bool mMembersPending = false;
  std::vector<HostId> mLiveHosts;
  TimerHandle mPublishTimer;
  TimerHandle mLoadsTimer;
  TimerHandle mMembersTimer;
};

} // namespace ragwortdeck
