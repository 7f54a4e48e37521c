#pragma once

#include "Core/Settings.h"
#include "Entry/Asio.h"
#include "Entry/HostMessage.h"
#include "Serving/SharedReads.h"

#include <functional>
#include <map>
#include <optional>

namespace ragwortdeck {

/// \brief Datagrams between hosts. Everything in them is soft state: a lost
/// one is made good by the next.
class HostExchange
{
public:
  /// A host that was not heard for this long is taken for gone.
  static constexpr Duration kLiveFor = std::chrono::milliseconds(2600);
  /// A host is no longer told anything after this.
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);
  /// Largest content that one datagram carries.
  static constexpr std::size_t kLargestContent = std::size_t(56) << 10U;

  struct Peer
  {
    std::uint64_t mIncarnation = 0;
    /// The peer's own clock in its newest message.
    std::int64_t mSentAt = 0;
    MonotonicTime mHeardAt;
    int mLinkMbps = 0;
  };
  /// How much of its state a host tells.
  enum class Content
  {
    /// Loads alone: they change several times a second, and bytes between
    /// failure domains are priced.
    kLoads,
    kAll,
  };
  /// Fills in a message to the named host.
  using Compose =
    std::function<void(const std::string&, Content, HostMessage&)>;
  using Receive = std::function<void(const HostMessage&)>;

  HostExchange(asio::io_context& aContext,
               const Clock& aClock,
               const Endpoint& aLocal,
               int aLinkMbps,
               std::uint64_t aIncarnation);

  /// Opens the socket; nothing on success.
  std::optional<std::string> Open();
  void Start(Compose aCompose, Receive aReceive);
  /// Sends to one host; aCompose adds to what the general hook fills in.
  void Send(const std::string& aHost,
            const std::function<void(HostMessage&)>& aAdd = {},
            Content aContent = Content::kAll);
  void Broadcast(const std::function<void(HostMessage&)>& aAdd = {},
                 Content aContent = Content::kAll);
  /// When this host last told all others something.
  MonotonicTime LastBroadcast() const { return mLastBroadcast; }
  /// Learns of a host.
  void AddHost(const std::string& aHost);

  /// Hosts that were heard within kLiveFor; this one is not among them.
  std::vector<FleetHost> LiveHosts() const;
  FleetHost Self() const { return { mLocal.mAddress, mLinkMbps }; }
  /// Hosts that were heard within kForgetAfter.
  std::size_t KnownHosts() const { return mPeers.size(); }
  const std::map<std::string, Peer>& Peers() const { return mPeers; }
  std::uint64_t Incarnation() const { return mIncarnation; }
  /// Forgets hosts that were silent for long.
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
  Compose mCompose;
  Receive mReceive;
};

} // namespace ragwortdeck
