#include "Peer/PeerNetwork.h"

#include "Core/Log.h"

#include <QHostAddress>
#include <algorithm>

namespace ragwortdeck {

namespace {

const Log sLog("peer");

constexpr std::size_t kMaxWaiting = 64;
// A host of 20 is probed about every 10 s, so its connections stay; of 1,100
// hosts only those of the last minute have one.
constexpr Duration kUnused = std::chrono::seconds(60);
constexpr Duration kClosePeriod = std::chrono::seconds(5);
constexpr Duration kDrainPeriod = std::chrono::milliseconds(10);

PeerConnectionLimits
Limits()
{
  PeerConnectionLimits limits;
  limits.mAnswer = std::chrono::seconds(4);
  return limits;
}

std::optional<Endpoint>
ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto host = QString::fromStdString(aAddress.substr(0, colon));
  if (host.startsWith('[') && host.endsWith(']')) {
    host = host.mid(1, host.size() - 2);
  }
  bool ok = false;
  const auto port =
    QString::fromStdString(aAddress.substr(colon + 1)).toUShort(&ok);
  if (!ok || QHostAddress(host).isNull()) {
    return std::nullopt;
  }
  return Endpoint{ host.toStdString(), port };
}

} // namespace

PeerNetwork::PeerNetwork(Scheduler& aScheduler,
                         PeerIdentity aIdentity,
                         Hooks aHooks)
  : mScheduler(aScheduler)
  , mIdentity(std::move(aIdentity))
  , mHooks(std::move(aHooks))
{
  mCloseTimer = mScheduler.After(kClosePeriod, [this] { CloseUnused(); });
}

PeerNetwork::~PeerNetwork() = default;

Result<std::unique_ptr<PeerNetwork>>
PeerNetwork::Listen(Scheduler& aScheduler,
                    PeerIdentity aIdentity,
                    const Endpoint& aEndpoint,
                    Hooks aHooks)
{
  std::unique_ptr<PeerNetwork> network(
    new PeerNetwork(aScheduler, aIdentity, std::move(aHooks)));
  auto* self = network.get();
  auto server = PeerServer::Listen(
    aScheduler,
    std::move(aIdentity),
    aEndpoint,
    Limits(),
    { [self](PeerConnection& aConnection) { self->OnReady(aConnection); },
      [self](PeerConnection&, const PeerMessage& aMessage) {
        self->mHooks.mOnMessage(aMessage);
      },
      [self](PeerConnection& aConnection) { self->Forget(aConnection); } });
  if (!server) {
    return Failure(server.error());
  }
  network->mServer = std::move(server.value());
  return network;
}

void
PeerNetwork::Send(const HostId& aTo,
                  const std::string& aAddress,
                  const PeerMessage& aMessage)
{
  const auto known = mByHost.find(aTo);
  if (known != mByHost.end() && known->second.back()->Send(aMessage)) {
    return;
  }
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return;
  }
  auto it = mLinks.find(aAddress);
  if (it == mLinks.end()) {
    Open(aAddress, *endpoint);
    it = mLinks.find(aAddress);
  }
  if (it->second.mConnection->IsReady()) {
    it->second.mConnection->Send(aMessage);
  } else if (it->second.mWaiting.size() < kMaxWaiting) {
    it->second.mWaiting.push_back(aMessage);
  }
}

void
PeerNetwork::Open(const std::string& aAddress, const Endpoint& aEndpoint)
{
  mLinks[aAddress].mConnection = std::make_unique<PeerConnection>(
    mScheduler,
    mIdentity,
    aEndpoint,
    Limits(),
    PeerConnection::Hooks{
      [this, aAddress] { OnLinkReady(aAddress); },
      [this](const PeerMessage& aMessage) { mHooks.mOnMessage(aMessage); },
      [this, aAddress](const std::string& aReason) {
        OnLinkClosed(aAddress, aReason);
      } });
}

void
PeerNetwork::OnReady(PeerConnection& aConnection)
{
  mByHost[aConnection.PeerHost()].push_back(&aConnection);
}

void
PeerNetwork::OnLinkReady(const std::string& aAddress)
{
  auto& link = mLinks.at(aAddress);
  OnReady(*link.mConnection);
  for (const auto& message : std::exchange(link.mWaiting, {})) {
    link.mConnection->Send(message);
  }
}

void
PeerNetwork::OnLinkClosed(const std::string& aAddress,
                          const std::string& aReason)
{
  const auto it = mLinks.find(aAddress);
  sLog.Debug("connection to " + aAddress + " closed: " + aReason);
  auto* connection = it->second.mConnection.release();
  mLinks.erase(it);
  // The connection's own function is still on the stack.
  connection->deleteLater();
  Forget(*connection);
}

void
PeerNetwork::Forget(PeerConnection& aConnection)
{
  const auto it = mByHost.find(aConnection.PeerHost());
  if (it == mByHost.end()) {
    return;
  }
  std::erase(it->second, &aConnection);
  if (it->second.empty()) {
    const auto host = it->first;
    mByHost.erase(it);
    mHooks.mOnLost(host);
  }
}

void
PeerNetwork::CloseUnused()
{
  const auto before = mScheduler.Now() - kUnused;
  std::vector<std::string> unused;
  for (const auto& [address, link] : mLinks) {
    if (link.mConnection->IsReady() && link.mConnection->LastUse() < before) {
      unused.push_back(address);
    }
  }
  for (const auto& address : unused) {
    mLinks.at(address).mConnection->Abort();
    OnLinkClosed(address, "unused");
  }
  mServer->CloseUnused(before);
  mCloseTimer = mScheduler.After(kClosePeriod, [this] { CloseUnused(); });
}

std::size_t
PeerNetwork::ConnectionCount() const
{
  return mLinks.size() + mServer->ConnectionCount();
}

std::int64_t
PeerNetwork::Backlog()
{
  std::int64_t backlog = 0;
  for (const auto& [address, link] : mLinks) {
    backlog += link.mConnection->Backlog();
  }
  mServer->ForEach(
    [&](PeerConnection& aConnection) { backlog += aConnection.Backlog(); });
  return backlog;
}

void
PeerNetwork::Drain(Duration aLimit, const std::function<void()>& aDone)
{
  if (Backlog() == 0 || aLimit <= Duration::zero()) {
    aDone();
    return;
  }
  mDrainTimer = mScheduler.After(kDrainPeriod, [this, aLimit, aDone] {
    Drain(aLimit - kDrainPeriod, aDone);
  });
}

} // namespace ragwortdeck
