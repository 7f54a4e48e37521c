#pragma once

#include "Peer/PeerConnection.h"

#include <QTcpServer>
#include <map>

namespace ragwortdeck {

/// \brief Accepts connections of peers and hands out their messages.
class PeerServer
{
public:
  struct Hooks
  {
    /// The connection is valid until mOnClosed names it.
    std::function<void(PeerConnection&)> mOnReady;
    std::function<void(PeerConnection&, const PeerMessage&)> mOnMessage;
    std::function<void(PeerConnection&)> mOnClosed;
  };

  /// Fails with kAddressInUse or kInvalidArgument.
  static Result<std::unique_ptr<PeerServer>> Listen(
    Scheduler& aScheduler,
    PeerIdentity aIdentity,
    const Endpoint& aEndpoint,
    PeerConnectionLimits aLimits,
    Hooks aHooks);

  /// The port in use, for endpoints given with port 0.
  std::uint16_t Port() const { return mServer->serverPort(); }
  std::size_t ConnectionCount() const { return mConnections.size(); }
  /// Accepts no more connections.
  void StopListening() { mServer->close(); }
  /// Calls aVisit for each ready connection.
  void ForEach(const std::function<void(PeerConnection&)>& aVisit);
  /// Closes ready connections that were not used since aBefore.
  void CloseUnused(MonotonicTime aBefore);

private:
  PeerServer(Scheduler& aScheduler,
             PeerIdentity aIdentity,
             PeerConnectionLimits aLimits,
             Hooks aHooks);
  void Accept();
  void Drop(std::uint64_t aNumber);

  Scheduler& mScheduler;
  PeerIdentity mIdentity;
  PeerConnectionLimits mLimits;
  Hooks mHooks;
  /// A QSslServer when peers use TLS.
  std::unique_ptr<QTcpServer> mServer;
  std::uint64_t mNextNumber = 0;
  std::map<std::uint64_t, std::unique_ptr<PeerConnection>> mConnections;
};

} // namespace ragwortdeck
