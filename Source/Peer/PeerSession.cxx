#include "Peer/PeerSession.h"

#include <QtEndian>

namespace ragwortdeck {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kMinNonceBytes = 16;
constexpr std::size_t kMaxNonceBytes = 64;
constexpr std::string_view kHelloPurpose = "peer-hello";
constexpr std::string_view kFramePurpose = "peer-frame";

PeerSide
OtherSide(PeerSide aSide)
{
  return aSide == PeerSide::kInitiator ? PeerSide::kAcceptor
                                       : PeerSide::kInitiator;
}

std::string
Pack(const PeerMessage& aMessage)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aMessage);
  return { buf.data(), buf.size() };
}

// The side is signed, so that a hello cannot be reflected to its sender.
std::string
HelloData(PeerSide aSender, std::string_view aPayload)
{
  return std::string(1, static_cast<char>(aSender)) + std::string(aPayload);
}

} // namespace

PeerSession::PeerSession(PeerIdentity aIdentity,
                         PeerSide aSide,
                         std::vector<char> aNonce,
                         Hooks aHooks)
  : mIdentity(std::move(aIdentity))
  , mSide(aSide)
  , mNonce(std::move(aNonce))
  , mHooks(std::move(aHooks))
{
}

void
PeerSession::Start()
{
  auto hello =
    PeerMessage::Of(HelloMessage{ mIdentity.mKeys->SigningKeyId(), mNonce });
  Stamp(hello);
  const auto payload = Pack(hello);
  WriteFrame(mIdentity.mKeys->Sign(kHelloPurpose, HelloData(mSide, payload)),
             payload);
}

void
PeerSession::Stamp(PeerMessage& aMessage) const
{
  aMessage.mFrom = mIdentity.mHost;
  aMessage.mIncarnation = mIdentity.mIncarnation;
  aMessage.mTime = mIdentity.mTime ? mIdentity.mTime() : 0;
}

void
PeerSession::WriteFrame(const QByteArray& aMac, std::string_view aPayload)
{
  QByteArray frame(qsizetype(kLengthBytes), Qt::Uninitialized);
  qToBigEndian(static_cast<quint32>(kMacBytes + aPayload.size()), frame.data());
  frame.append(aMac);
  frame.append(aPayload.data(), qsizetype(aPayload.size()));
  mHooks.mWrite(frame);
}

std::string
PeerSession::SignedData(PeerSide aSender,
                        std::uint64_t aSequence,
                        std::string_view aPayload) const
{
  const bool initiator = mSide == PeerSide::kInitiator;
  const auto& first = initiator ? mNonce : mPeerNonce;
  const auto& second = initiator ? mPeerNonce : mNonce;
  std::string data;
  data.reserve(first.size() + second.size() + aPayload.size() + 16);
  // The lengths are signed, so that no two pairs of nonces look the same.
  data += static_cast<char>(first.size());
  data.append(first.begin(), first.end());
  data.append(second.begin(), second.end());
  data += static_cast<char>(aSender);
  char sequence[sizeof(quint64)];
  qToBigEndian(static_cast<quint64>(aSequence), sequence);
  data.append(sequence, sizeof(sequence));
  data += aPayload;
  return data;
}

Result<void>
PeerSession::Send(PeerMessage aMessage)
{
  if (mPeerNonce.empty() || mFailed) {
    return Failure(ErrorCode::kUnavailable, "no session with the peer");
  }
  Stamp(aMessage);
  const auto payload = Pack(aMessage);
  if (payload.size() + kMacBytes > kMaxFrameBytes) {
    return Failure(ErrorCode::kInvalidArgument,
                   "a message '" + aMessage.mType + "' of " +
                     std::to_string(payload.size()) +
                     " bytes is over the frame limit");
  }
  WriteFrame(mIdentity.mKeys->Sign(kFramePurpose,
                                   SignedData(mSide, mSentFrames++, payload)),
             payload);
  return Success();
}

Result<void>
PeerSession::Receive(const char* aData, std::size_t aSize)
{
  if (mFailed) {
    return Failure(ErrorCode::kUnavailable, "the session is over");
  }
  mInput.append(aData, qsizetype(aSize));
  std::size_t offset = 0;
  const auto size = [&] { return std::size_t(mInput.size()) - offset; };
  while (size() >= kLengthBytes) {
    const auto length = qFromBigEndian<quint32>(mInput.constData() + offset);
    const auto limit = mPeerNonce.empty() ? kMaxHelloBytes : kMaxFrameBytes;
    if (length < kMacBytes || length > limit) {
      mFailed = true;
      return Failure(ErrorCode::kCorrupt,
                     "a frame of " + std::to_string(length) +
                       " bytes; expected " + std::to_string(kMacBytes) +
                       " to " + std::to_string(limit));
    }
    if (size() < kLengthBytes + length) {
      break;
    }
    auto taken = TakeFrame(mInput.constData() + offset + kLengthBytes, length);
    if (!taken) {
      mFailed = true;
      return taken;
    }
    offset += kLengthBytes + length;
  }
  mInput.remove(0, qsizetype(offset));
  return Success();
}

Result<void>
PeerSession::TakeFrame(const char* aData, std::size_t aSize)
{
  const QByteArray mac(aData, qsizetype(kMacBytes));
  const std::string_view payload(aData + kMacBytes, aSize - kMacBytes);
  return mPeerNonce.empty() ? TakeHello(payload, mac)
                            : TakeMessage(payload, mac);
}

Result<void>
PeerSession::TakeHello(std::string_view aPayload, const QByteArray& aMac)
{
  const auto message =
    PeerMessage::UnpackAs<PeerMessage>(aPayload.data(), aPayload.size());
  if (!message) {
    return Failure(message.error());
  }
  if (!message.value().Is<HelloMessage>()) {
    return Failure(ErrorCode::kUnauthenticated,
                   "expected hello as the first message");
  }
  const auto hello = message.value().As<HelloMessage>();
  if (!hello) {
    return Failure(hello.error());
  }
  const auto& nonce = hello.value().mNonce;
  if (message.value().mFrom.IsEmpty() || nonce.size() < kMinNonceBytes ||
      nonce.size() > kMaxNonceBytes) {
    return Failure(ErrorCode::kCorrupt, "a hello without host or nonce");
  }
  if (!mIdentity.mKeys->Verify(hello.value().mKeyId,
                               kHelloPurpose,
                               HelloData(OtherSide(mSide), aPayload),
                               aMac)) {
    return Failure(ErrorCode::kUnauthenticated,
                   "the hello of '" + message.value().mFrom.Value() +
                     "' is not signed with a key of this site");
  }
  mPeerHost = message.value().mFrom;
  mPeerIncarnation = message.value().mIncarnation;
  mPeerKeyId = hello.value().mKeyId;
  mPeerNonce = nonce;
  return Send(PeerMessage::Of(HeartbeatMessage{}));
}

Result<void>
PeerSession::TakeMessage(std::string_view aPayload, const QByteArray& aMac)
{
  if (!mIdentity.mKeys->Verify(
        mPeerKeyId,
        kFramePurpose,
        SignedData(OtherSide(mSide), mReceivedFrames, aPayload),
        aMac)) {
    return Failure(ErrorCode::kUnauthenticated,
                   "frame " + std::to_string(mReceivedFrames) + " of '" +
                     mPeerHost.Value() +
                     "' has a bad signature or is out of sequence");
  }
  ++mReceivedFrames;
  const auto message =
    PeerMessage::UnpackAs<PeerMessage>(aPayload.data(), aPayload.size());
  if (!message) {
    return Failure(message.error());
  }
  if (message.value().mFrom != mPeerHost ||
      message.value().mIncarnation != mPeerIncarnation) {
    return Failure(ErrorCode::kCorrupt,
                   "a message whose sender is not '" + mPeerHost.Value() + "'");
  }
  if (mIdentity.mObserveTime) {
    mIdentity.mObserveTime(message.value().mTime);
  }
  if (!mReady) {
    mReady = true;
    if (mHooks.mOnReady) {
      mHooks.mOnReady();
    }
  }
  if (!message.value().Is<HeartbeatMessage>()) {
    mHooks.mOnMessage(message.value());
  }
  return Success();
}

} // namespace ragwortdeck
