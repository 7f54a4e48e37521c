#include "StandIns/LinkRelay.h"

#include <QHostAddress>

namespace ragwortdeck {

/// \brief The two sockets of one forwarded connection.
struct LinkRelay::Pair
{
  std::unique_ptr<QTcpSocket> mClient;
  std::unique_ptr<QTcpSocket> mTarget;
  bool mClosing = false;
};

LinkRelay::LinkRelay(Endpoint aListen, Endpoint aTarget)
  : mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
{
  connect(&mServer, &QTcpServer::newConnection, this, [this] { Accept(); });
}

LinkRelay::~LinkRelay()
{
  CloseAll();
}

std::uint16_t
LinkRelay::Listen()
{
  const QHostAddress address(QString::fromStdString(mListen.mAddress));
  return mServer.listen(address, mListen.mPort) ? mServer.serverPort() : 0;
}

void
LinkRelay::SetState(const LinkState& aState)
{
  mState = aState;
  if (mState.mRefuse) {
    mServer.close();
    CloseAll();
    return;
  }
  if (!mServer.isListening()) {
    Listen();
  }
  for (const auto& pair : mPairs) {
    Move(pair, true);
    Move(pair, false);
  }
}

void
LinkRelay::Accept()
{
  while (auto* client = mServer.nextPendingConnection()) {
    auto pair = std::make_shared<Pair>();
    client->setParent(nullptr);
    pair->mClient.reset(client);
    pair->mTarget = std::make_unique<QTcpSocket>();
    mPairs.push_back(pair);
    std::weak_ptr<Pair> weak = pair;
    const auto move = [this, weak](bool aForward) {
      if (auto pair = weak.lock()) {
        Move(pair, aForward);
      }
    };
    const auto close = [this, weak] {
      if (auto pair = weak.lock()) {
        Close(pair);
      }
    };
    connect(client, &QTcpSocket::readyRead, this, [move] { move(true); });
    connect(client, &QTcpSocket::disconnected, this, close);
    auto* target = pair->mTarget.get();
    connect(target, &QTcpSocket::readyRead, this, [move] { move(false); });
    connect(target, &QTcpSocket::connected, this, [move] { move(true); });
    connect(target, &QTcpSocket::disconnected, this, close);
    connect(target, &QTcpSocket::errorOccurred, this, close);
    target->connectToHost(QString::fromStdString(mTarget.mAddress),
                          mTarget.mPort);
  }
}

void
LinkRelay::Move(const std::shared_ptr<Pair>& aPair, bool aForward)
{
  const auto mode = aForward ? mState.mForward : mState.mBackward;
  if (aPair->mClosing || mode == LinkMode::kStall) {
    return;
  }
  auto& source = aForward ? *aPair->mClient : *aPair->mTarget;
  if (aForward && aPair->mTarget->state() != QAbstractSocket::ConnectedState) {
    return;
  }
  const auto data = source.readAll();
  if (data.isEmpty() || mode == LinkMode::kDrop) {
    return;
  }
  if (mState.mDelay.count() == 0) {
    Write(aPair, aForward, data);
    return;
  }
  std::weak_ptr<Pair> weak = aPair;
  QTimer::singleShot(mState.mDelay, this, [this, weak, aForward, data] {
    if (auto pair = weak.lock()) {
      Write(pair, aForward, data);
    }
  });
}

void
LinkRelay::Write(const std::shared_ptr<Pair>& aPair,
                 bool aForward,
                 const QByteArray& aData)
{
  auto& sink = aForward ? *aPair->mTarget : *aPair->mClient;
  if (!aPair->mClosing && sink.isOpen()) {
    sink.write(aData);
  }
}

void
LinkRelay::Close(const std::shared_ptr<Pair>& aPair)
{
  if (aPair->mClosing) {
    return;
  }
  // A stalled or dropping link hides the end of a connection, too.
  const bool hidden =
    mState.mForward != LinkMode::kPass || mState.mBackward != LinkMode::kPass;
  if (hidden && !mState.mRefuse) {
    return;
  }
  Move(aPair, true);
  Move(aPair, false);
  aPair->mClosing = true;
  aPair->mClient->disconnectFromHost();
  aPair->mTarget->disconnectFromHost();
  mPairs.remove(aPair);
  // The sockets are still on the call stack of their own signal.
  QTimer::singleShot(std::chrono::seconds(1), this, [aPair] {});
}

void
LinkRelay::CloseAll()
{
  for (const auto& pair : mPairs) {
    pair->mClosing = true;
    pair->mClient->abort();
    pair->mTarget->abort();
  }
  mPairs.clear();
}

} // namespace ragwortdeck
