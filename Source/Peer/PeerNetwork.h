#pragma once

#include "Peer/PeerServer.h"

#include <deque>

namespace ragwortdeck {

/// \brief Connections between control processes: opened when a message needs
/// one, shared by both directions, and closed when unused.
///
/// Delivery is best effort. Messages wait only while their connection opens.
class PeerNetwork
{
public:
  struct Hooks
  {
    std::function<void(const PeerMessage&)> mOnMessage;
    /// The last connection with a host ended.
    std::function<void(const HostId&)> mOnLost;
  };

  /// Fails with kAddressInUse or kInvalidArgument.
  static Result<std::unique_ptr<PeerNetwork>> Listen(Scheduler& aScheduler,
                                                     PeerIdentity aIdentity,
                                                     const Endpoint& aEndpoint,
                                                     Hooks aHooks);
  ~PeerNetwork();

  /// Sends over an open connection with the host, or else connects to the
  /// address. The host is empty when only the address is known; without
  /// either an open connection or an address the message is dropped.
  void Send(const HostId& aTo,
            const std::string& aAddress,
            const PeerMessage& aMessage);
  std::uint16_t Port() const { return mServer->Port(); }
  std::size_t ConnectionCount() const;
  /// Calls aDone when all sent bytes have left this process, or after aLimit.
  void Drain(Duration aLimit, const std::function<void()>& aDone);

private:
  struct Link
  {
    std::unique_ptr<PeerConnection> mConnection;
    std::deque<PeerMessage> mWaiting;
  };

  PeerNetwork(Scheduler& aScheduler, PeerIdentity aIdentity, Hooks aHooks);
  void Open(const std::string& aAddress, const Endpoint& aEndpoint);
  void OnReady(PeerConnection& aConnection);
  void OnLinkReady(const std::string& aAddress);
  void OnLinkClosed(const std::string& aAddress, const std::string& aReason);
  void Forget(PeerConnection& aConnection);
  void CloseUnused();
  std::int64_t Backlog();

  Scheduler& mScheduler;
  PeerIdentity mIdentity;
  Hooks mHooks;
  std::unique_ptr<PeerServer> mServer;
  /// Connections that this process opened, by address.
  std::map<std::string, Link> mLinks;
  /// Ready connections in either direction, newest last.
  std::map<HostId, std::vector<PeerConnection*>> mByHost;
  TimerHandle mCloseTimer;
  TimerHandle mDrainTimer;
};

} // namespace ragwortdeck
