#pragma once

#include "Peer/PeerIdentity.h"
#include "Peer/PeerMessage.h"

#include <QByteArray>
#include <optional>

namespace ragwortdeck {

/// Largest payload of a frame, without its length field.
constexpr std::size_t kMaxFrameBytes = std::size_t(4) * 1024 * 1024;
/// Largest frame before the peer has authenticated.
constexpr std::size_t kMaxHelloBytes = 4096;

enum class PeerSide : char
{
  kInitiator = 'i',
  kAcceptor = 'a',
};

/// \brief Framing and authentication of one connection, without a socket.
///
/// A frame is a 4-byte big-endian length, an HMAC of 32 bytes and a msgpack
/// map (PeerMessage). After the hellos each HMAC also covers both nonces, the
/// sender's side and a sequence number, so that a frame is valid once, in its
/// place, on one connection and in one direction.
class PeerSession
{
public:
  struct Hooks
  {
    /// Takes bytes for the other side.
    std::function<void(const QByteArray&)> mWrite;
    /// Called once, before the first message; may be empty.
    std::function<void()> mOnReady{};
    /// Takes each authenticated message after the handshake.
    std::function<void(const PeerMessage&)> mOnMessage;
  };

  /// aNonce: at least 16 random bytes, never used before.
  PeerSession(PeerIdentity aIdentity,
              PeerSide aSide,
              std::vector<char> aNonce,
              Hooks aHooks);

  /// Writes the hello; call once, first.
  void Start();
  /// Feeds bytes from the other side. After a failure the session is over.
  Result<void> Receive(const char* aData, std::size_t aSize);
  /// Signs and writes a message; fails before the hello of the other side has
  /// arrived and for a message over the frame limit.
  Result<void> Send(PeerMessage aMessage);

  /// True once the other side has proved that it holds a key of the ring.
  bool IsReady() const { return mReady; }
  /// Host and incarnation of the other side; empty before its hello.
  const HostId& PeerHost() const { return mPeerHost; }
  std::uint64_t PeerIncarnation() const { return mPeerIncarnation; }

private:
  Result<void> TakeFrame(const char* aData, std::size_t aSize);
  Result<void> TakeHello(std::string_view aPayload, const QByteArray& aMac);
  Result<void> TakeMessage(std::string_view aPayload, const QByteArray& aMac);
  std::string SignedData(PeerSide aSender,
                         std::uint64_t aSequence,
                         std::string_view aPayload) const;
  void Stamp(PeerMessage& aMessage) const;
  void WriteFrame(const QByteArray& aMac, std::string_view aPayload);

  PeerIdentity mIdentity;
  PeerSide mSide;
  std::vector<char> mNonce;
  Hooks mHooks;
  QByteArray mInput;
  bool mReady = false;
  bool mFailed = false;
  HostId mPeerHost;
  std::uint64_t mPeerIncarnation = 0;
  std::string mPeerKeyId;
  std::vector<char> mPeerNonce;
  std::uint64_t mSentFrames = 0;
  std::uint64_t mReceivedFrames = 0;
};

} // namespace ragwortdeck
