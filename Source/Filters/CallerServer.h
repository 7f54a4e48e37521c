#pragma once

#include "Core/MemoryCharge.h"
#include "Core/Result.h"
#include "Core/Settings.h"
#include "Core/Verdict.h"
#include "Filters/RequestScanner.h"

#include <QSslConfiguration>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace ragwortdeck {

/// \brief Limits of callers' connections, per thread.
struct ConnectionLimits
{
  std::size_t mMaxHeaderBytes = 16 << 10;
  std::size_t mMaxBodyBytes = 1 << 20;
  std::size_t mMaxConnections = 10'000;
  /// Limit between a reply and the next request on a connection.
  std::chrono::milliseconds mIdle{ 60'000 };
  /// Limit from the first to the last byte of a request.
  std::chrono::milliseconds mRequest{ 30'000 };

  bool operator==(const ConnectionLimits&) const = default;
};

class CallerConnections;

/// \brief Enforces the limits on one connection, before QHttpServer sees the
/// bytes.
class CallerGate : public QObject
{
public:
  /// aCharge is for the connection and what it holds of requests.
  CallerGate(QTcpSocket& aSocket,
             CallerConnections& aOwner,
             MemoryCharge aCharge);
  ~CallerGate() override;

  /// Call when the reply to the current request is complete.
  void OnReplied(bool aClose);
  /// Writes a part of a reply. Without memory for what the caller has not read,
  /// the connection is cut off.
  void Write(const QByteArray& aBytes);
  bool IsHttp10() const { return mScanner.IsHttp10(); }
  bool ClosesAfterReply() const;
  /// Closes the connection when it has been idle or incomplete for too long.
  void CheckAge(std::chrono::steady_clock::time_point aNow);

private:
  void OnReadyRead();
  /// Whether the connection may be closed to make room for others.
  void AllowEviction(bool aAllowed);
  /// Charges what this connection holds of a request; false when there is no
  /// room.
  bool ChargeRequest();
  void OnWritten(std::size_t aBytes);
  /// The memory or the descriptor of this connection is needed for others.
  void OnEvicted();
  void Refuse(const Verdict& aVerdict);
  /// Keeps QHttpServer from reading any more of this connection.
  void Detach();

  QTcpSocket& mSocket;
  CallerConnections& mOwner;
  RequestScanner mScanner;
  MemoryCharge mRequestCharge;
  /// For what the caller has not read of a reply.
  MemoryCharge mReplyCharge;
  bool mIsReplying = false;
  bool mIsClosing = false;
  bool mSawPipelined = false;
  std::chrono::steady_clock::time_point mSince;
};

/// \brief The callers' connections of one thread.
class CallerConnections : public QObject
{
public:
  using OnRefused = std::function<void(const Verdict&)>;

  CallerConnections(ConnectionLimits aLimits,
                    MemoryAccount& aMemory,
                    OnRefused aOnRefused);

  /// The QHttpServer that reads the connections.
  void SetHttpServer(QObject& aServer) { mHttpServer = &aServer; }
  /// Installs the gate, or refuses the connection when there are too many.
  /// Returns false when refused; the caller may then finish sending, as long as
  /// few others do.
  bool Admit(QTcpSocket& aSocket);
  /// nullptr for an unknown socket.
  CallerGate* Find(const QTcpSocket* aSocket);
  const ConnectionLimits& Limits() const { return mLimits; }
  MemoryAccount& Memory() { return mMemory; }
  std::size_t Count() const { return mGates.size(); }

private:
  friend class CallerGate;
  ConnectionLimits mLimits;
  MemoryAccount& mMemory;
  OnRefused mOnRefused;
  QObject* mHttpServer = nullptr;
  std::unordered_map<const QTcpSocket*, CallerGate*> mGates;
  /// Refused connections whose callers may still be sending.
  std::size_t mLingering = 0;
  QTimer mAgeTimer;
};

/// A listening socket with SO_REUSEPORT; -1 with errno set on failure. Port 0
/// chooses a free port.
int
OpenReusablePort(const Endpoint& aEndpoint);

/// Fails with kAddressInUse when another process listens at the address, which
/// SO_REUSEPORT would hide. Returns the port, chosen for port 0.
Result<std::uint16_t>
CheckAddress(const Endpoint& aEndpoint);

/// A server whose connections pass the gate; with TLS when aTls is set.
std::unique_ptr<QTcpServer>
MakeCallerServer(CallerConnections& aConnections,
                 const std::optional<QSslConfiguration>& aTls);

} // namespace ragwortdeck
