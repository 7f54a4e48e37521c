#include "Peer/PeerConnection.h"

#include "Core/ErrorGuard.h"
#include "Core/Log.h"
#include "Core/TlsFiles.h"

#include <QHostAddress>
#include <QRandomGenerator>
#include <QSslSocket>

namespace ragwortdeck {

namespace {

const Log sLog("peer");
constexpr std::size_t kNonceBytes = 16;
constexpr std::int64_t kReadChunk = 65'536;
constexpr Duration kCheckPeriod = std::chrono::milliseconds(250);

std::vector<char>
MakeNonce()
{
  std::vector<char> nonce(kNonceBytes);
  for (auto& byte : nonce) {
    byte = static_cast<char>(QRandomGenerator::system()->generate() & 0xFFU);
  }
  return nonce;
}

std::unique_ptr<QTcpSocket>
MakeSocket(const PeerIdentity& aIdentity)
{
  if (!aIdentity.mTls) {
    return std::make_unique<QTcpSocket>();
  }
  auto socket = std::make_unique<QSslSocket>();
  socket->setSslConfiguration(*aIdentity.mTls);
  return socket;
}

} // namespace

PeerConnection::PeerConnection(Scheduler& aScheduler,
                               PeerIdentity aIdentity,
                               const Endpoint& aEndpoint,
                               PeerConnectionLimits aLimits,
                               Hooks aHooks)
  : mScheduler(aScheduler)
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
  , mSocket(MakeSocket(aIdentity))
  , mSession(std::move(aIdentity),
             PeerSide::kInitiator,
             MakeNonce(),
             SessionHooks())
{
  ConnectSignals();
  const auto address = QString::fromStdString(aEndpoint.mAddress);
  if (auto* encrypted = qobject_cast<QSslSocket*>(mSocket.get())) {
    connect(encrypted, &QSslSocket::encrypted, this, [this] { Begin(); });
    encrypted->connectToHostEncrypted(address, aEndpoint.mPort, kPeerTlsName);
  } else {
    connect(mSocket.get(), &QTcpSocket::connected, this, [this] { Begin(); });
    mSocket->connectToHost(QHostAddress(address), aEndpoint.mPort);
  }
}

PeerConnection::PeerConnection(Scheduler& aScheduler,
                               PeerIdentity aIdentity,
                               std::unique_ptr<QTcpSocket> aSocket,
                               PeerConnectionLimits aLimits,
                               Hooks aHooks)
  : mScheduler(aScheduler)
  , mLimits(aLimits)
  , mHooks(std::move(aHooks))
  , mSocket(std::move(aSocket))
  , mSession(std::move(aIdentity),
             PeerSide::kAcceptor,
             MakeNonce(),
             SessionHooks())
{
  ConnectSignals();
  Begin();
}

PeerConnection::~PeerConnection()
{
  mSocket->disconnect(this);
  mSocket->abort();
}

PeerSession::Hooks
PeerConnection::SessionHooks()
{
  // A hook may abort the connection while its session still holds messages.
  return { [this](const QByteArray& aBytes) { mSocket->write(aBytes); },
           [this] {
             if (!mClosed) {
               mHooks.mOnReady();
             }
           },
           [this](const PeerMessage& aMessage) {
             if (!mClosed) {
               mHooks.mOnMessage(aMessage);
             }
           } };
}

void
PeerConnection::ConnectSignals()
{
  mOpened = mLastUse = mLastReceived = mLastSent = mScheduler.Now();
  connect(mSocket.get(), &QTcpSocket::readyRead, this, [this] { Read(); });
  connect(mSocket.get(), &QTcpSocket::disconnected, this, [this] {
    Close("closed by the peer");
  });
  connect(mSocket.get(), &QTcpSocket::errorOccurred, this, [this] {
    Close(mSocket->errorString().toStdString());
  });
  mTimer = mScheduler.After(kCheckPeriod, [this] { CheckTimes(); });
}

void
PeerConnection::Begin()
{
  // Small frames must not wait for the acknowledgement of earlier ones.
  mSocket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  mSession.Start();
}

void
PeerConnection::Read()
{
  while (!mClosed && mSocket->bytesAvailable() > 0) {
    const auto bytes = mSocket->read(kReadChunk);
    mLastReceived = mScheduler.Now();
    mUnansweredSince.reset();
    mAsked = false;
    Result<void> taken = Failure(ErrorCode::kCorrupt, "unexpected error");
    RunGuarded(sLog, "a message", [&] {
      taken = mSession.Receive(bytes.constData(), std::size_t(bytes.size()));
    });
    if (!taken) {
      sLog.Warning("connection with " +
                   mSocket->peerAddress().toString().toStdString() +
                   " refused: " + taken.error().mMessage);
      Close(taken.error().mMessage);
      return;
    }
    mLastUse = mLastReceived;
  }
}

bool
PeerConnection::Send(const PeerMessage& aMessage)
{
  if (!IsReady()) {
    return false;
  }
  const auto sent = mSession.Send(aMessage);
  if (!sent) {
    sLog.Error("message to " + PeerHost().Value() +
               " not sent: " + sent.error().mMessage);
    return false;
  }
  mLastSent = mScheduler.Now();
  mLastUse = mLastSent;
  if (!mUnansweredSince) {
    mUnansweredSince = mLastSent;
  }
  return true;
}

void
PeerConnection::Abort()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mTimer.Cancel();
  mSocket->disconnect(this);
  mSocket->disconnectFromHost();
}

void
PeerConnection::Close(const std::string& aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mTimer.Cancel();
  mSocket->disconnect(this);
  mSocket->abort();
  mHooks.mOnClosed(aReason);
}

bool
PeerConnection::CheckAnswer(MonotonicTime aNow)
{
  if (mLimits.mAnswer <= Duration::zero() || !mUnansweredSince) {
    return true;
  }
  const auto waited = aNow - *mUnansweredSince;
  if (waited > mLimits.mAnswer) {
    Close("no answer");
    return false;
  }
  if (waited > mLimits.mAnswer / 2 && !mAsked) {
    mAsked = SendBody(HeartbeatMessage{ true });
  }
  return true;
}

void
PeerConnection::CheckTimes()
{
  const auto now = mScheduler.Now();
  if (!mSession.IsReady() && now - mOpened > mLimits.mHandshake) {
    Close("no authenticated hello in time");
    return;
  }
  if (mLimits.mSilence > Duration::zero() &&
      now - mLastReceived > mLimits.mSilence) {
    Close("silent for too long");
    return;
  }
  if (!CheckAnswer(now)) {
    return;
  }
  if (Backlog() > mLimits.mMaxBacklog) {
    Close("the peer does not read");
    return;
  }
  if (mLimits.mHeartbeat > Duration::zero() && IsReady() &&
      now - mLastSent >= mLimits.mHeartbeat) {
    SendBody(HeartbeatMessage{});
  }
  mTimer = mScheduler.After(kCheckPeriod, [this] { CheckTimes(); });
}

} // namespace ragwortdeck
