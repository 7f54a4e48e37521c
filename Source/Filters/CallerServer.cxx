#include "Filters/CallerServer.h"

#include "Filters/HttpText.h"

#include <QSslServer>
#include <QSslSocket>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace ragwortdeck {

namespace {

constexpr int kBacklog = 4096;
constexpr std::chrono::seconds kAgePeriod{ 1 };
/// How long a refused connection may go on sending before it is cut off.
constexpr std::chrono::seconds kLinger{ 2 };
constexpr std::chrono::seconds kRetryAfterFull{ 1 };
/// Bound of the connections that a flood of callers over the limit can hold.
constexpr std::size_t kMaxLingering = 256;
/// The same, as a divisor of the limit of connections.
constexpr std::size_t kLingeringDivisor = 8;
/// Limits what one turn of the event loop reads from each connection: those
/// that are closed for their memory free it in the next turn.
constexpr int kReceiveBytes = 32768;
/// Charged for each connection beside its bytes.
constexpr std::size_t kConnectionBytes = 16384;
/// Copies that the parser, the filters and the call to a target hold beside the
/// bytes as they arrived, with the room in which they grow.
constexpr std::size_t kHeaderCopies = 3;
constexpr std::size_t kBodyCopies = 6;
/// Bytes on the wire of each byte of a body in the smallest chunks.
constexpr std::size_t kMaxWireBytes = 6;
constexpr std::chrono::seconds kRetryWithoutMemory{ 1 };
/// Pause after a connection could not be accepted for want of a descriptor.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

/// Listens on plain sockets or, with QSslServer as base, on TLS.
template<typename Base>
class GatedServer : public Base
{
public:
  explicit GatedServer(CallerConnections& aConnections)
    : mConnections(aConnections)
  {
    this->setMaxPendingConnections(kBacklog);
    // Qt stops to accept after an error, such as too many open descriptors.
    QObject::connect(this, &QTcpServer::acceptError, this, [this] {
      QTimer::singleShot(
        kAcceptPause, this, [this] { this->resumeAccepting(); });
    });
  }

  // QHttpServer takes each connection here and connects to readyRead after
  // this returns, so the gate's slot runs first.
  // NOLINTNEXTLINE(readability-identifier-naming)
  QTcpSocket* nextPendingConnection() override
  {
    while (auto* socket = Base::nextPendingConnection()) {
      if (mConnections.Admit(*socket)) {
        return socket;
      }
    }
    return nullptr;
  }

private:
  CallerConnections& mConnections;
};

/// Socket address of an endpoint.
struct SocketAddress
{
  sockaddr_storage mStorage{};
  socklen_t mSize = 0;
};

std::optional<SocketAddress>
ToSocketAddress(const Endpoint& aEndpoint)
{
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.mStorage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.mStorage);
  if (inet_pton(AF_INET, aEndpoint.mAddress.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(aEndpoint.mPort);
    address.mSize = sizeof(*v4);
    return address;
  }
  if (inet_pton(AF_INET6, aEndpoint.mAddress.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aEndpoint.mPort);
    address.mSize = sizeof(*v6);
    return address;
  }
  errno = EINVAL;
  return std::nullopt;
}

/// Ends a connection once what was written is sent. The owner reads and drops
/// what the caller still sends, because closing with unread bytes would destroy
/// the reply in flight.
void
LingerAfterReply(QTcpSocket& aSocket)
{
  aSocket.flush();
  if (qobject_cast<QSslSocket*>(&aSocket)) {
    aSocket.disconnectFromHost();
  } else if (aSocket.bytesToWrite() == 0) {
    shutdown(int(aSocket.socketDescriptor()), SHUT_WR);
  }
  QTimer::singleShot(kLinger, &aSocket, [&aSocket] { aSocket.abort(); });
}

int
OpenBound(const Endpoint& aEndpoint, bool aReusePort)
{
  const auto address = ToSocketAddress(aEndpoint);
  if (!address) {
    return -1;
  }
  const int fd = socket(
    address->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (aReusePort) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  }
  const auto* generic = reinterpret_cast<const sockaddr*>(&address->mStorage);
  if (bind(fd, generic, address->mSize) != 0) {
    const int error = errno;
    close(fd);
    errno = error;
    return -1;
  }
  return fd;
}

Verdict
NoMemory()
{
  Verdict verdict = Refusal(kStatusUnavailable,
                            "no_memory",
                            "This host has no memory for the request.");
  verdict.mRetryAfter = kRetryWithoutMemory;
  return verdict;
}

} // namespace

CallerGate::CallerGate(QTcpSocket& aSocket,
                       CallerConnections& aOwner,
                       MemoryCharge aCharge)
  : QObject(&aSocket)
  , mSocket(aSocket)
  , mOwner(aOwner)
  , mScanner(aOwner.Limits().mMaxHeaderBytes, aOwner.Limits().mMaxBodyBytes)
  , mRequestCharge(std::move(aCharge))
  , mReplyCharge(aOwner.Memory(), MemoryUse::kAnswer)
  , mSince(std::chrono::steady_clock::now())
{
  connect(&mSocket, &QTcpSocket::readyRead, this, [this] { OnReadyRead(); });
  connect(&mSocket, &QTcpSocket::bytesWritten, this, [this](qint64 aBytes) {
    OnWritten(std::size_t(aBytes));
  });
  AllowEviction(true);
  mReplyCharge.SetOnEvict([this] {
    QMetaObject::invokeMethod(
      this, [this] { mSocket.abort(); }, Qt::QueuedConnection);
  });
}

void
CallerGate::AllowEviction(bool aAllowed)
{
  if (!aAllowed) {
    mRequestCharge.SetOnEvict(nullptr);
    return;
  }
  // Another thread may need the room.
  mRequestCharge.SetOnEvict([this] {
    QMetaObject::invokeMethod(
      this, [this] { OnEvicted(); }, Qt::QueuedConnection);
  });
}

bool
CallerGate::ChargeRequest()
{
  return mRequestCharge.Resize(
    kConnectionBytes +
    std::size_t(mScanner.TakenBytes() + kHeaderCopies * mScanner.HeaderBytes() +
                kBodyCopies * mScanner.BodyBytes()));
}

void
CallerGate::Write(const QByteArray& aBytes)
{
  const auto unsent = std::size_t(mSocket.bytesToWrite());
  if (!mReplyCharge.Resize(unsent + std::size_t(aBytes.size()))) {
    mSocket.abort();
    return;
  }
  mSocket.write(aBytes);
}

void
CallerGate::OnWritten(std::size_t aBytes)
{
  mReplyCharge.AddProgress(aBytes);
  if (!mIsReplying) {
    mSince = std::chrono::steady_clock::now();
  }
  // A smaller charge always has room.
  static_cast<void>(mReplyCharge.Resize(
    std::min(mReplyCharge.Bytes(), std::size_t(mSocket.bytesToWrite()))));
}

void
CallerGate::OnEvicted()
{
  if (mIsReplying) {
    return;
  }
  if (std::exchange(mIsClosing, true)) {
    mSocket.abort();
    return;
  }
  if (mScanner.HasStarted()) {
    const auto verdict = NoMemory();
    mOwner.mOnRefused(verdict);
    mSocket.write(RefusalReply(verdict, { { "Connection", "close" } }));
    Detach();
    mScanner.Reset();
  }
  mSocket.disconnectFromHost();
}

CallerGate::~CallerGate()
{
  mOwner.mGates.erase(&mSocket);
}

bool
CallerGate::ClosesAfterReply() const
{
  return mSawPipelined || mScanner.WantsClose();
}

void
CallerGate::OnReadyRead()
{
  if (mIsClosing || mSawPipelined) {
    mSocket.readAll();
    return;
  }
  // QHttpServer reads inside a transaction, so this sees only new bytes.
  const auto bytes = mSocket.peek(mSocket.bytesAvailable());
  if (bytes.isEmpty()) {
    return;
  }
  if (mIsReplying) {
    // QHttpServer would start the next request before this reply is complete.
    mSawPipelined = true;
    Detach();
    return;
  }
  if (!mScanner.HasStarted()) {
    mSince = std::chrono::steady_clock::now();
  }
  const bool waited = mScanner.WantsContinue();
  const auto state =
    mScanner.Feed({ bytes.constData(), std::size_t(bytes.size()) });
  mRequestCharge.AddProgress(std::size_t(bytes.size()));
  const bool isTaken = state == RequestScanner::State::kHeader ||
                       state == RequestScanner::State::kBody ||
                       state == RequestScanner::State::kComplete;
  if (isTaken && !ChargeRequest()) {
    Refuse(NoMemory());
    return;
  }
  switch (state) {
    case RequestScanner::State::kHeader:
      return;
    case RequestScanner::State::kBody:
      if (mScanner.WantsContinue() && !waited) {
        mSocket.write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    case RequestScanner::State::kComplete:
      mIsReplying = true;
      AllowEviction(false);
      return;
    case RequestScanner::State::kHeaderTooLarge:
      Refuse(Refusal(431,
                     "header_too_large",
                     "The header, a chunk's line or the trailer exceeds " +
                       std::to_string(mOwner.Limits().mMaxHeaderBytes) +
                       " bytes."));
      return;
    case RequestScanner::State::kBodyTooLarge:
      Refuse(Refusal(413,
                     "body_too_large",
                     "The body exceeds " +
                       std::to_string(mOwner.Limits().mMaxBodyBytes) +
                       " bytes."));
      return;
    case RequestScanner::State::kMalformed:
      Refuse(Refusal(kStatusBadRequest,
                     "bad_request",
                     "The request is not valid HTTP/1.1."));
      return;
    case RequestScanner::State::kPipelined:
      Refuse(Refusal(kStatusBadRequest,
                     "pipelining_not_supported",
                     "Wait for each reply before the next request."));
      return;
  }
}

void
CallerGate::Refuse(const Verdict& aVerdict)
{
  mOwner.mOnRefused(aVerdict);
  mSocket.write(RefusalReply(aVerdict, { { "Connection", "close" } }));
  mIsClosing = true;
  Detach();
  mScanner.Reset();
  // The parser holds what it has read until the connection ends.
  LingerAfterReply(mSocket);
}

void
CallerGate::Detach()
{
  disconnect(&mSocket, &QTcpSocket::readyRead, mOwner.mHttpServer, nullptr);
  if (mSocket.isTransactionStarted()) {
    mSocket.commitTransaction();
  }
  mSocket.readAll();
}

void
CallerGate::OnReplied(bool aClose)
{
  mIsReplying = false;
  mSince = std::chrono::steady_clock::now();
  if (aClose || ClosesAfterReply()) {
    mIsClosing = true;
    mSocket.disconnectFromHost();
    return;
  }
  mScanner.Reset();
  // A smaller charge always has room.
  static_cast<void>(ChargeRequest());
  AllowEviction(true);
}

void
CallerGate::CheckAge(std::chrono::steady_clock::time_point aNow)
{
  if (mIsReplying) {
    return;
  }
  const auto age = aNow - mSince;
  if (mSocket.bytesToWrite() > 0 && age > mOwner.Limits().mIdle) {
    // The caller does not read the end of its reply.
    mSocket.abort();
    return;
  }
  if (mIsClosing) {
    return;
  }
  if (mScanner.HasStarted()) {
    if (age > mOwner.Limits().mRequest) {
      Refuse(Refusal(408, "request_timeout", "The request did not arrive."));
    }
  } else if (age > mOwner.Limits().mIdle) {
    mIsClosing = true;
    mSocket.disconnectFromHost();
  }
}

CallerConnections::CallerConnections(ConnectionLimits aLimits,
                                     MemoryAccount& aMemory,
                                     OnRefused aOnRefused)
  : mLimits(aLimits)
  , mMemory(aMemory)
  , mOnRefused(std::move(aOnRefused))
{
  mMemory.FitOne(MemoryUse::kRequest,
                 (1 + kHeaderCopies) * mLimits.mMaxHeaderBytes +
                   (kMaxWireBytes + kBodyCopies) * mLimits.mMaxBodyBytes);
  connect(&mAgeTimer, &QTimer::timeout, this, [this] {
    const auto now = std::chrono::steady_clock::now();
    std::vector<CallerGate*> gates;
    gates.reserve(mGates.size());
    for (const auto& [socket, gate] : mGates) {
      gates.push_back(gate);
    }
    for (auto* gate : gates) {
      gate->CheckAge(now);
    }
  });
  mAgeTimer.start(kAgePeriod);
}

bool
CallerConnections::Admit(QTcpSocket& aSocket)
{
  // One that is closed here frees its descriptor a little later.
  MemoryCharge charge(mMemory, MemoryUse::kRequest);
  if ((mGates.size() < mLimits.mMaxConnections ||
       mMemory.EvictOne(MemoryUse::kRequest)) &&
      charge.Resize(kConnectionBytes)) {
    aSocket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    mGates.emplace(&aSocket, new CallerGate(aSocket, *this, std::move(charge)));
    return true;
  }
  Verdict verdict = Refusal(kStatusUnavailable,
                            "too_many_connections",
                            "This host has no free connection.");
  verdict.mRetryAfter = kRetryAfterFull;
  mOnRefused(verdict);
  aSocket.write(RefusalReply(verdict, { { "Connection", "close" } }));
  connect(&aSocket, &QTcpSocket::disconnected, &aSocket, &QObject::deleteLater);
  if (mLingering >= std::clamp(mLimits.mMaxConnections / kLingeringDivisor,
                               std::size_t(1),
                               kMaxLingering)) {
    aSocket.disconnectFromHost();
    return false;
  }
  ++mLingering;
  connect(&aSocket, &QObject::destroyed, this, [this] { --mLingering; });
  connect(&aSocket, &QTcpSocket::readyRead, &aSocket, [&aSocket] {
    aSocket.readAll();
  });
  LingerAfterReply(aSocket);
  return false;
}

CallerGate*
CallerConnections::Find(const QTcpSocket* aSocket)
{
  const auto found = mGates.find(aSocket);
  return found == mGates.end() ? nullptr : found->second;
}

int
OpenReusablePort(const Endpoint& aEndpoint)
{
  const int fd = OpenBound(aEndpoint, true);
  // The accepted sockets inherit it.
  if (fd >= 0) {
    setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof(kReceiveBytes));
  }
  if (fd >= 0 && listen(fd, kBacklog) != 0) {
    const int error = errno;
    close(fd);
    errno = error;
    return -1;
  }
  return fd;
}

Result<std::uint16_t>
CheckAddress(const Endpoint& aEndpoint)
{
  const int fd = OpenBound(aEndpoint, false);
  if (fd < 0) {
    const auto code =
      errno == EADDRINUSE ? ErrorCode::kAddressInUse : ErrorCode::kUnavailable;
    return Failure(code,
                   "cannot listen on " + ToText(aEndpoint) + ": " +
                     std::strerror(errno));
  }
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size);
  close(fd);
  const auto port =
    storage.ss_family == AF_INET6
      ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
      : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port;
  return std::uint16_t(ntohs(port));
}

std::unique_ptr<QTcpServer>
MakeCallerServer(CallerConnections& aConnections,
                 const std::optional<QSslConfiguration>& aTls)
{
  if (!aTls) {
    return std::make_unique<GatedServer<QTcpServer>>(aConnections);
  }
  auto server = std::make_unique<GatedServer<QSslServer>>(aConnections);
  server->setSslConfiguration(*aTls);
  return server;
}

} // namespace ragwortdeck
