#pragma once

#include "Core/Settings.h"
#include "Entry/Asio.h"
#include "Entry/HostMessage.h"
#include "Serving/FanOut.h"
#include "Serving/MessageMerger.h"
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
  /// Larger ones are sent in parts of this size.
  static constexpr std::size_t kMaxPartBytes = std::size_t(32) << 10U;

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
    /// Empty until known.
    std::string mFailureDomain;
    bool mAcceptsMerged = false;
  };
  /// How much of its state a host sends.
  enum class Content
  {
    /// Only the loads. They change several times a second, and traffic between
    /// failure domains costs money.
    kLoads,
    /// Loads and revisions.
    kState,
    /// Loads, revisions and what concerns only the receiver.
    kAll,
  };
  /// Fills in a message to the named host; the name is empty when the message
  /// is for all hosts.
  using FillMessage =
    std::function<void(const std::string&, Content, HostMessage&)>;
  using Receive = std::function<void(const HostMessage&)>;

  HostExchange(asio::io_context& aContext,
               const Clock& aClock,
               RandomSource& aRandom,
               const Endpoint& aLocal,
               const std::string& aFailureDomain,
               int aLinkMbps,
               std::uint64_t aIncarnation);

  /// Opens the socket; returns the error, or nothing on success.
  std::optional<std::string> Open();
  /// Called before ReceiveLoop() and before anything is sent.
  void SetHooks(FillMessage aFillMessage, Receive aReceive);
  /// Receives messages until the socket closes.
  Task<void> ReceiveLoop();
  /// Sends to one host; aAdd extends what the FillMessage callback filled in.
  void Send(const std::string& aHost,
            const std::function<void(HostMessage&)>& aAdd = {},
            Content aContent = Content::kAll);
  /// Sends one message to all known hosts, through relays to those in other
  /// failure domains, and in large domains merged with those of other hosts
  /// (PlanFanOut). aContent is not kAll. Hosts that do not count as live, as
  /// after a start, get important messages directly and others once a second.
  void Broadcast(const std::function<void(HostMessage&)>& aAdd = {},
                 Content aContent = Content::kState,
                 MessageClass aClass = MessageClass::kRoutine);
  /// Sends a message of its own to each known host.
  void SendToEach(const std::function<void(HostMessage&)>& aAdd);
  /// When this host last called Broadcast() or SendToEach().
  MonotonicTime LastBroadcast() const { return mLastBroadcast; }
  /// Sends one message, without content for any of them, to each of aHosts.
  void SendToAll(const std::vector<std::string>& aHosts);
  /// Adds a host; it counts as live only after its first message. False when it
  /// was known.
  bool AddHost(const std::string& aHost);

  /// The other hosts whose last message is newer than kLivenessTimeout.
  std::vector<FleetHost> LiveHosts() const;
  std::size_t CountLiveHosts() const;
  FleetHost Self() const { return { mLocal.mAddress, mLinkMbps }; }
  /// Number of other hosts that are not yet forgotten.
  std::size_t KnownHosts() const { return mPeers.size(); }
  const std::map<std::string, Peer>& Peers() const { return mPeers; }
  std::uint64_t Incarnation() const { return mIncarnation; }
  /// Removes hosts that were silent for longer than kForgetAfter.
  void Sweep();

  /// Datagrams that were dropped since they are no message of a known host.
  std::uint64_t Dropped() const { return mDropped; }
  /// Messages that this host passed on, each in a datagram of its own.
  std::uint64_t Relayed() const { return mRelayed; }
  /// Datagrams with messages of other hosts that this host passed on.
  std::uint64_t MergedDatagrams() const { return mMergedDatagrams; }

private:
  void Handle(std::size_t aSize);
  /// Records a message of another host, however it arrived; false if a newer
  /// one of that host has arrived before.
  bool Accept(const HostMessage& aMessage);
  /// Takes the messages of other hosts that aMessage carries.
  void AcceptMerged(const HostMessage& aMessage);
  /// Passes a message, packed as aBytes, on within this failure domain, with
  /// others.
  void Collect(const HostMessage& aMessage, std::string aBytes);
  void SendCollected();
  /// The other hosts of this failure domain that count as live.
  std::vector<std::string> DomainHosts(
    const std::function<bool(const std::string&, const Peer&)>& aFilter) const;
  HostMessage MakeMessage(const std::string& aHost,
                          Content aContent,
                          const std::function<void(HostMessage&)>& aAdd) const;
  /// Packs aMessage once and sends it to all of aHosts.
  void SendTo(const std::vector<std::string>& aHosts,
              const HostMessage& aMessage);
  /// Passes a message on to the hosts of this failure domain.
  void Relay(HostMessage aMessage);
  bool IsLive(const Peer& aPeer, MonotonicTime aNow) const
  {
    return aNow - aPeer.mReceivedAt < kLivenessTimeout;
  }

  const Clock& mClock;
  RandomSource& mRandom;
  Endpoint mLocal;
  std::string mFailureDomain;
  int mLinkMbps;
  std::uint64_t mIncarnation;
  udp::socket mSocket;
  udp::endpoint mFrom;
  std::vector<char> mBuffer;
  std::map<std::string, Peer> mPeers;
  MonotonicTime mLastBroadcast;
  /// When a broadcast last included the hosts that do not count as live.
  MonotonicTime mSilentHostsSentAt;
  std::uint64_t mDropped = 0;
  std::uint64_t mRelayed = 0;
  std::uint64_t mMergedDatagrams = 0;
  /// Number of calls of Broadcast().
  std::uint64_t mBroadcasts = 0;
  MessageMerger mMerger;
  asio::steady_timer mMergeTimer;
  /// When mMergeTimer expires, if it is set.
  MonotonicTime mMergeAt;
  bool mMergePending = false;
  FillMessage mFillMessage;
  Receive mReceive;
};

} // namespace ragwortdeck
