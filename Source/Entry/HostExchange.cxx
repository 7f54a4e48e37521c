#include "Entry/HostExchange.h"

#include <algorithm>
#include <sys/socket.h>
#include <sys/uio.h>

namespace ragwortdeck {

namespace {

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65507;
/// Interval at which hosts that do not count as live get messages: they may
/// still receive, as when a link fails in one direction.
constexpr Duration kSilentHostInterval = std::chrono::milliseconds(1000);

std::string
Pack(const HostMessage& aMessage)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aMessage);
  return { bytes.data(), bytes.size() };
}

/// Throws if the bytes are no message of this system, or of another version.
HostMessage
Unpack(const char* aData, std::size_t aSize)
{
  HostMessage message;
  UnpackBounded(aData, aSize).get().convert(message);
  return message;
}

} // namespace

HostExchange::HostExchange(asio::io_context& aContext,
                           const Clock& aClock,
                           RandomSource& aRandom,
                           const Endpoint& aLocal,
                           const std::string& aFailureDomain,
                           int aLinkMbps,
                           std::uint64_t aIncarnation)
  : mClock(aClock)
  , mRandom(aRandom)
  , mLocal(aLocal)
  , mFailureDomain(aFailureDomain)
  , mLinkMbps(aLinkMbps)
  , mIncarnation(aIncarnation)
  , mSocket(aContext)
  , mBuffer(kMaxDatagramBytes)
  , mMergeTimer(aContext)
{
}

std::optional<std::string>
HostExchange::Open()
{
  error_code ec;
  const udp::endpoint local(asio::ip::make_address(mLocal.mAddress, ec),
                            mLocal.mPort);
  if (!ec) {
    mSocket.open(local.protocol(), ec);
  }
  if (!ec) {
    mSocket.bind(local, ec);
  }
  if (ec) {
    return "cannot bind " + ToText(mLocal) + ": " + ec.message();
  }
  mSocket.non_blocking(true, ec);
  return std::nullopt;
}

void
HostExchange::SetHooks(FillMessage aFillMessage, Receive aReceive)
{
  mFillMessage = std::move(aFillMessage);
  mReceive = std::move(aReceive);
}

Task<void>
HostExchange::ReceiveLoop()
{
  while (true) {
    error_code ec;
    const auto n = co_await mSocket.async_receive_from(
      asio::buffer(mBuffer), mFrom, RedirectError(ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      Handle(n);
    }
  }
}

void
HostExchange::Handle(std::size_t aSize)
{
  HostMessage message;
  try {
    message = Unpack(mBuffer.data(), aSize);
  } catch (const std::exception&) {
    // Anyone can send to this port.
    ++mDropped;
    return;
  }
  if (message.mHost == mLocal.mAddress) {
    return;
  }
  const auto from = mFrom.address().to_string();
  const auto path = static_cast<MessagePath>(message.mPath);
  const bool isKnown = mPeers.contains(from);
  if (message.mHost.empty() ||
      (path == MessagePath::kRelayed ? !isKnown : message.mHost != from) ||
      (path == MessagePath::kMerged && !isKnown)) {
    ++mDropped;
    return;
  }
  if (path == MessagePath::kMerged) {
    AcceptMerged(message);
    return;
  }
  if (!Accept(message)) {
    return;
  }
  if (path == MessagePath::kToRelay) {
    Relay(message);
  } else if (path == MessagePath::kToMerge) {
    Collect(message, { mBuffer.data(), aSize });
  }
  mReceive(message);
}

bool
HostExchange::Accept(const HostMessage& aMessage)
{
  auto& peer = mPeers[aMessage.mHost];
  // Datagrams may arrive out of order; older ones are ignored.
  if (peer.mIncarnation == aMessage.mIncarnation &&
      aMessage.mSentAt < peer.mSentAt) {
    return false;
  }
  peer = {
    aMessage.mIncarnation, aMessage.mSentAt,        mClock.Now(),
    aMessage.mLinkMbps,    aMessage.mFailureDomain, aMessage.mAcceptsMerged
  };
  return true;
}

void
HostExchange::AcceptMerged(const HostMessage& aMessage)
{
  for (const auto& bytes : aMessage.mMerged) {
    HostMessage message;
    try {
      message = Unpack(bytes.data(), bytes.size());
    } catch (const std::exception&) {
      ++mDropped;
      continue;
    }
    if (message.mHost.empty()) {
      ++mDropped;
    } else if (message.mHost != mLocal.mAddress && Accept(message)) {
      mReceive(message);
    }
  }
}

HostMessage
HostExchange::MakeMessage(const std::string& aHost,
                          Content aContent,
                          const std::function<void(HostMessage&)>& aAdd) const
{
  HostMessage message;
  message.mHost = mLocal.mAddress;
  message.mIncarnation = mIncarnation;
  message.mLinkMbps = mLinkMbps;
  message.mFailureDomain = mFailureDomain;
  message.mAcceptsMerged = true;
  message.mSentAt = mClock.Now().time_since_epoch().count();
  mFillMessage(aHost, aContent, message);
  if (aAdd) {
    aAdd(message);
  }
  return message;
}

void
HostExchange::SendTo(const std::vector<std::string>& aHosts,
                     const HostMessage& aMessage)
{
  if (aHosts.empty()) {
    return;
  }
  auto bytes = Pack(aMessage);
  iovec content{ bytes.data(), bytes.size() };
  std::vector<udp::endpoint> receivers;
  receivers.reserve(aHosts.size());
  for (const auto& host : aHosts) {
    error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    if (!ec) {
      receivers.emplace_back(address, mLocal.mPort);
    }
  }
  std::vector<mmsghdr> datagrams(receivers.size());
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    auto& header = datagrams[i].msg_hdr;
    header.msg_name = receivers[i].data();
    header.msg_namelen = static_cast<socklen_t>(receivers[i].size());
    header.msg_iov = &content;
    header.msg_iovlen = 1;
  }
  // One system call for all receivers: a host passes messages on to a whole
  // failure domain.
  for (std::size_t sent = 0; sent < datagrams.size();) {
    const int n = sendmmsg(mSocket.native_handle(),
                           &datagrams[sent],
                           static_cast<unsigned>(datagrams.size() - sent),
                           MSG_DONTWAIT);
    // A datagram that cannot be sent now is treated as lost.
    sent += static_cast<std::size_t>(std::max(n, 1));
  }
}

void
HostExchange::Send(const std::string& aHost,
                   const std::function<void(HostMessage&)>& aAdd,
                   Content aContent)
{
  SendTo({ aHost }, MakeMessage(aHost, aContent, aAdd));
}

void
HostExchange::Broadcast(const std::function<void(HostMessage&)>& aAdd,
                        Content aContent,
                        MessageClass aClass)
{
  const auto now = mClock.Now();
  mLastBroadcast = now;
  const bool toSilent = aClass == MessageClass::kImportant ||
                        now - mSilentHostsSentAt >= kSilentHostInterval;
  if (toSilent) {
    mSilentHostsSentAt = now;
  }
  std::vector<Receiver> live;
  std::vector<std::string> silent;
  for (const auto& [host, peer] : mPeers) {
    if (IsLive(peer, now)) {
      live.push_back({ host,
                       peer.mFailureDomain,
                       peer.mLinkMbps,
                       now - peer.mReceivedAt,
                       peer.mAcceptsMerged });
    } else if (toSilent) {
      silent.push_back(host);
    }
  }
  const Receiver self{
    mLocal.mAddress, mFailureDomain, mLinkMbps, Duration(0), true
  };
  const auto plan = PlanFanOut(self, live, aClass, mBroadcasts++, mRandom);
  auto message = MakeMessage({}, aContent, aAdd);
  SendTo(plan.mDirect, message);
  SendTo(silent, message);
  message.mPath = static_cast<int>(MessagePath::kToRelay);
  SendTo(plan.mRelays, message);
  message.mPath = static_cast<int>(MessagePath::kToMerge);
  SendTo(plan.mCollectors, message);
  if (plan.mCollectsOwn) {
    Collect(message, Pack(message));
  }
}

void
HostExchange::SendToEach(const std::function<void(HostMessage&)>& aAdd)
{
  mLastBroadcast = mClock.Now();
  for (const auto& [host, peer] : mPeers) {
    Send(host, aAdd, Content::kAll);
  }
}

std::vector<std::string>
HostExchange::DomainHosts(
  const std::function<bool(const std::string&, const Peer&)>& aFilter) const
{
  const auto now = mClock.Now();
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : mPeers) {
    if (peer.mFailureDomain == mFailureDomain && IsLive(peer, now) &&
        aFilter(host, peer)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
HostExchange::Relay(HostMessage aMessage)
{
  ++mRelayed;
  aMessage.mPath = static_cast<int>(MessagePath::kRelayed);
  SendTo(DomainHosts([&](const std::string& aHost, const Peer&) {
           return aHost != aMessage.mHost;
         }),
         aMessage);
}

void
HostExchange::Collect(const HostMessage& aMessage, std::string aBytes)
{
  const auto now = mClock.Now();
  const auto due = mMerger.Add(aMessage.mHost,
                               std::move(aBytes),
                               aMessage.mFailureDomain == mFailureDomain,
                               now);
  if (mMergePending && mMergeAt <= due) {
    return;
  }
  mMergePending = true;
  mMergeAt = due;
  mMergeTimer.expires_after(due - now);
  mMergeTimer.async_wait([this](const error_code& aError) {
    if (!aError) {
      mMergePending = false;
      SendCollected();
    }
  });
}

void
HostExchange::SendCollected()
{
  const auto hosts = DomainHosts(
    [](const std::string&, const Peer& aPeer) { return aPeer.mAcceptsMerged; });
  HostMessage message;
  message.mHost = mLocal.mAddress;
  message.mIncarnation = mIncarnation;
  message.mPath = static_cast<int>(MessagePath::kMerged);
  for (auto& messages : mMerger.Take(mClock.Now())) {
    message.mMerged = std::move(messages);
    SendTo(hosts, message);
    ++mMergedDatagrams;
  }
}

void
HostExchange::SendToAll(const std::vector<std::string>& aHosts)
{
  SendTo(aHosts, MakeMessage({}, Content::kState, {}));
}

bool
HostExchange::AddHost(const std::string& aHost)
{
  error_code ec;
  asio::ip::make_address(aHost, ec);
  if (ec || aHost == mLocal.mAddress || mPeers.contains(aHost)) {
    return false;
  }
  // The host counts as live only after its first message.
  Peer peer;
  peer.mReceivedAt = mClock.Now() - kLivenessTimeout;
  mPeers.emplace(aHost, peer);
  return true;
}

std::vector<FleetHost>
HostExchange::LiveHosts() const
{
  std::vector<FleetHost> hosts;
  const auto now = mClock.Now();
  for (const auto& [host, peer] : mPeers) {
    if (IsLive(peer, now)) {
      hosts.push_back({ host, peer.mLinkMbps });
    }
  }
  return hosts;
}

std::size_t
HostExchange::CountLiveHosts() const
{
  const auto now = mClock.Now();
  return static_cast<std::size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aItem) {
      return IsLive(aItem.second, now);
    }));
}

void
HostExchange::Sweep()
{
  const auto now = mClock.Now();
  std::erase_if(mPeers, [&](const auto& aItem) {
    return now - aItem.second.mReceivedAt > kForgetAfter;
  });
}

} // namespace ragwortdeck
