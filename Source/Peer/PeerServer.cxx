#include "Peer/PeerServer.h"

#include "Core/Log.h"

#include <QHostAddress>
#include <QSslServer>

namespace ragwortdeck {

namespace {

const Log sLog("peer");

// Connections beyond this number are refused; a fleet of 1,100 hosts probes
// one host with a few connections at a time.
constexpr std::size_t kMaxConnections = 2048;

std::unique_ptr<QTcpServer>
MakeServer(const PeerIdentity& aIdentity)
{
  if (!aIdentity.mTls) {
    return std::make_unique<QTcpServer>();
  }
  auto server = std::make_unique<QSslServer>();
  server->setSslConfiguration(*aIdentity.mTls);
  QObject::connect(server.get(),
                   &QSslServer::errorOccurred,
                   server.get(),
                   [](QSslSocket* aSocket, QAbstractSocket::SocketError) {
                     sLog.Warning(
                       "connection of " +
                       aSocket->peerAddress().toString().toStdString() +
                       " refused: " + aSocket->errorString().toStdString());
                   });
  return server;
}

} // namespace

PeerServer::PeerServer(Scheduler& aScheduler,
                       PeerIdentity aIdentity,
                       PeerConnectionLimits aLimits,
                       Hooks aHooks)
  : mScheduler(aScheduler)
  , mIdentity(std::move(aIdentity))
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
  , mServer(MakeServer(mIdentity))
{
  // An encrypted connection is pending only after its handshake.
  QObject::connect(mServer.get(),
                   &QTcpServer::pendingConnectionAvailable,
                   mServer.get(),
                   [this] { Accept(); });
}

Result<std::unique_ptr<PeerServer>>
PeerServer::Listen(Scheduler& aScheduler,
                   PeerIdentity aIdentity,
                   const Endpoint& aEndpoint,
                   PeerConnectionLimits aLimits,
                   Hooks aHooks)
{
  std::unique_ptr<PeerServer> server(new PeerServer(
    aScheduler, std::move(aIdentity), aLimits, std::move(aHooks)));
  const QHostAddress address(QString::fromStdString(aEndpoint.mAddress));
  if (!server->mServer->listen(address, aEndpoint.mPort)) {
    const bool inUse =
      server->mServer->serverError() == QAbstractSocket::AddressInUseError;
    return Failure(inUse ? ErrorCode::kAddressInUse
                         : ErrorCode::kInvalidArgument,
                   "cannot listen on " + ToText(aEndpoint) + ": " +
                     server->mServer->errorString().toStdString());
  }
  return server;
}

void
PeerServer::Accept()
{
  while (mServer->hasPendingConnections()) {
    std::unique_ptr<QTcpSocket> socket(mServer->nextPendingConnection());
    socket->setParent(nullptr);
    if (mConnections.size() >= kMaxConnections) {
      sLog.Warning("connection refused: too many open connections");
      continue;
    }
    const auto number = mNextNumber++;
    const auto connection = [this, number]() -> PeerConnection& {
      return *mConnections.at(number);
    };
    PeerConnection::Hooks hooks{
      [this, connection] { mHooks.mOnReady(connection()); },
      [this, connection](const PeerMessage& aMessage) {
        mHooks.mOnMessage(connection(), aMessage);
      },
      [this, number](const std::string&) { Drop(number); }
    };
    mConnections[number] = std::make_unique<PeerConnection>(
      mScheduler, mIdentity, std::move(socket), mLimits, std::move(hooks));
  }
}

void
PeerServer::Drop(std::uint64_t aNumber)
{
  const auto it = mConnections.find(aNumber);
  if (it == mConnections.end()) {
    return;
  }
  mHooks.mOnClosed(*it->second);
  // The connection's own function is still on the stack.
  it->second.release()->deleteLater();
  mConnections.erase(it);
}

void
PeerServer::ForEach(const std::function<void(PeerConnection&)>& aVisit)
{
  for (const auto& [number, connection] : mConnections) {
    if (connection->IsReady()) {
      aVisit(*connection);
    }
  }
}

void
PeerServer::CloseUnused(MonotonicTime aBefore)
{
  std::vector<std::uint64_t> unused;
  for (const auto& [number, connection] : mConnections) {
    if (connection->IsReady() && connection->LastUse() < aBefore) {
      unused.push_back(number);
    }
  }
  for (const auto number : unused) {
    mConnections.at(number)->Abort();
    Drop(number);
  }
}

} // namespace ragwortdeck
