#pragma once

#include "Control/ControlSettings.h"
#include "Control/CreditRouting.h"
#include "Control/EventAnswers.h"
#include "Control/TargetPoller.h"
#include "Peer/PeerNetwork.h"
#include "Peer/RouterLinkServer.h"

namespace ragwortdeck {

/// \brief ragwort-control: the control core with its sockets and clients.
class ControlProcess
{
public:
  /// Fails when a listen address cannot be used. Needs a running event loop
  /// of the calling thread.
  static Result<std::unique_ptr<ControlProcess>> Create(
    Scheduler& aScheduler,
    ControlSettings aSettings);

  /// Graceful stop: tells peers, sends what is waiting, calls aDone.
  void Stop(const std::function<void()>& aDone);

  std::uint16_t PeerPort() const { return mNetwork->Port(); }
  std::uint16_t RouterPort() const { return mRouterLink->Port(); }
  const ControlCore& Core() const { return *mCore; }
  StatusMessage Status() const;

private:
  ControlProcess(Scheduler& aScheduler, ControlSettings aSettings);
  Result<void> Listen();
  void StartCore();
  void TakePeerMessage(const PeerMessage& aMessage);
  void TakeOther(const PeerMessage& aMessage);
  void RecordMember(const MemberRecord& aRecord);
  void RecordTable(std::uint64_t aVersion);
  void StartDuties();
  std::shared_ptr<const SiteView> OrderView() const;
  void RecordLease(std::int64_t aFencing);
  void RecordOrder(const Target& aTarget,
                   const EngineOrder& aOrder,
                   std::string_view aVerdict);
  void TakeRouterMessage(const PeerMessage& aMessage);
  void TakeHostList(const HostList& aList);
  void Publish(const SiteView& aView);

  Scheduler& mScheduler;
  ControlSettings mSettings;
  RandomSource mRandom;
  HybridClock mHybridClock;
  EventRecorder mRecorder;
  PeerIdentity mIdentity;
  HttpKeyValueStore mStore;
  TargetPoller mPoller;
  std::unique_ptr<CreditRouting> mCredits;
  std::unique_ptr<ControlCore> mCore;
  std::unique_ptr<EventAnswers> mEvents;
  std::unique_ptr<LeaderDuties> mDuties;
  std::unique_ptr<PeerNetwork> mNetwork;
  std::unique_ptr<RouterLinkServer> mRouterLink;
  std::unique_ptr<HostListClient> mHostList;
  std::vector<HostId> mLiveHosts;
  std::int64_t mFencing = 0;
  bool mStopping = false;
};

} // namespace ragwortdeck
