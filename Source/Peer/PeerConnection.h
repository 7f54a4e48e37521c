#pragma once

#include "Core/Scheduler.h"
#include "Core/Settings.h"
#include "Peer/PeerSession.h"

#include <QObject>
#include <QTcpSocket>

namespace ragwortdeck {

struct PeerConnectionLimits
{
  /// From opening the connection to the peer's first signed frame.
  Duration mHandshake{ std::chrono::seconds(3) };
  /// A heartbeat is sent after this time without a message; zero: never.
  Duration mHeartbeat{};
  /// The connection is closed after this time without a received byte; zero:
  /// never.
  Duration mSilence{};
  /// Bytes waiting to be sent after which the peer counts as stalled.
  std::int64_t mMaxBacklog = std::int64_t(16) * 1024 * 1024;
};

/// \brief One authenticated TCP connection to a peer, in either direction.
///
/// Hooks run on the event loop, never inside a call of this class, and may
/// not destroy the connection; deleteLater() from a hook is fine.
class PeerConnection : public QObject
{
public:
  struct Hooks
  {
    std::function<void()> mOnReady;
    std::function<void(const PeerMessage&)> mOnMessage;
    /// Called once, with the reason; the connection is unusable afterwards.
    std::function<void(const std::string&)> mOnClosed;
  };

  /// Opens a connection.
  PeerConnection(Scheduler& aScheduler,
                 PeerIdentity aIdentity,
                 const Endpoint& aEndpoint,
                 PeerConnectionLimits aLimits,
                 Hooks aHooks);
  /// Takes an accepted socket.
  PeerConnection(Scheduler& aScheduler,
                 PeerIdentity aIdentity,
                 std::unique_ptr<QTcpSocket> aSocket,
                 PeerConnectionLimits aLimits,
                 Hooks aHooks);
  ~PeerConnection() override;

  bool IsReady() const { return mSession.IsReady() && !mClosed; }
  bool IsClosed() const { return mClosed; }
  /// True also after the close of a connection that was ready.
  bool WasReady() const { return mSession.IsReady(); }
  const HostId& PeerHost() const { return mSession.PeerHost(); }
  std::uint64_t PeerIncarnation() const { return mSession.PeerIncarnation(); }
  MonotonicTime LastUse() const { return mLastUse; }
  std::int64_t Backlog() const { return mSocket->bytesToWrite(); }

  /// False when the connection is not ready or the message too large.
  bool Send(const PeerMessage& aMessage);
  template<typename T>
  bool SendBody(const T& aBody)
  {
    return Send(PeerMessage::Of(aBody));
  }
  /// Closes without calling mOnClosed.
  void Abort();

private:
  PeerSession::Hooks SessionHooks();
  void ConnectSignals();
  void Begin();
  void Read();
  void Close(const std::string& aReason);
  void CheckTimes();

  Scheduler& mScheduler;
  PeerConnectionLimits mLimits;
  Hooks mHooks;
  std::unique_ptr<QTcpSocket> mSocket;
  PeerSession mSession;
  bool mClosed = false;
  MonotonicTime mOpened;
  MonotonicTime mLastUse;
  MonotonicTime mLastReceived;
  MonotonicTime mLastSent;
  TimerHandle mTimer;
};

} // namespace ragwortdeck
