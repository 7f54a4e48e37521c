#pragma once

#include "Core/Settings.h"
#include "Entry/Asio.h"
#include "Entry/HostMessage.h"
#include "Serving/SharedReads.h"

#include <functional>
#include <map>
#include <optional>

namespace ragwortdeck {

/// \brief Exchanges datagrams with the other hosts.
///
/// They carry only soft state: the next one makes up for a lost one.
class HostExchange
{
public:
  /// A host counts as live for this long after its last message.
  static constexpr Duration kLivenessTimeout = std::chrono::milliseconds(2600);
  /// A host that was silent for this long is removed and gets no messages.
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);
  /// Largest compressed table or target list, in bytes, that a datagram
  /// carries.
  static constexpr std::size_t kMaxContentBytes = std::size_t(56) << 10U;

  struct Peer
  {
    /// 0 until the first message from the peer.
    std::uint64_t mIncarnation = 0;
    /// When the peer sent its newest message, by its own clock, in
    /// microseconds.
    std::int64_t mSentAt = 0;
    /// When this host received it.
    MonotonicTime mReceivedAt;
    int mLinkMbps = 0;
  };
  /// How much of its state a host sends.
  enum class Content
  {
    /// Only the loads. They change several times a second, and traffic between
    /// failure domains costs money.
    kLoads,
    kAll,
  };
  /// Fills in a message to the named host.
  using FillMessage =
    std::function<void(const std::string&, Content, HostMessage&)>;
  using Receive = std::function<void(const HostMessage&)>;

  HostExchange(asio::io_context& aContext,
               const Clock& aClock,
               const Endpoint& aLocal,
               int aLinkMbps,
               std::uint64_t aIncarnation);

  /// Opens the socket; returns the error, or nothing on success.
  std::optional<std::string> Open();
  void Start(FillMessage aFillMessage, Receive aReceive);
  /// Sends to one host; aAdd extends what the FillMessage callback filled in.
  void Send(const std::string& aHost,
            const std::function<void(HostMessage&)>& aAdd = {},
            Content aContent = Content::kAll);
  /// Sends to all known hosts.
  void Broadcast(const std::function<void(HostMessage&)>& aAdd = {},
                 Content aContent = Content::kAll);
  /// When this host last called Broadcast().
  MonotonicTime LastBroadcast() const { return mLastBroadcast; }
  /// Adds a host; it counts as live only after its first message.
  void AddHost(const std::string& aHost);

  /// The other hosts whose last message is newer than kLivenessTimeout.
  std::vector<FleetHost> LiveHosts() const;
  FleetHost Self() const { return { mLocal.mAddress, mLinkMbps }; }
  /// Number of other hosts that are not yet forgotten.
  std::size_t KnownHosts() const { return mPeers.size(); }
  const std::map<std::string, Peer>& Peers() const { return mPeers; }
  std::uint64_t Incarnation() const { return mIncarnation; }
  /// Removes hosts that were silent for longer than kForgetAfter.
  void Sweep();

private:
  Task<void> ReceiveLoop();
  void Handle(std::size_t aSize);

  const Clock& mClock;
  Endpoint mLocal;
  int mLinkMbps;
  std::uint64_t mIncarnation;
  udp::socket mSocket;
  udp::endpoint mFrom;
  std::vector<char> mBuffer;
  std::map<std::string, Peer> mPeers;
  MonotonicTime mLastBroadcast;
  FillMessage mFillMessage;
  Receive mReceive;
};

} // namespace ragwortdeck
