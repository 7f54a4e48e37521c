#include "Entry/HostExchange.h"

namespace ragwortdeck {

namespace {

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65507;

} // namespace

HostExchange::HostExchange(asio::io_context& aContext,
                           const Clock& aClock,
                           const Endpoint& aLocal,
                           int aLinkMbps,
                           std::uint64_t aIncarnation)
  : mClock(aClock)
  , mLocal(aLocal)
  , mLinkMbps(aLinkMbps)
  , mIncarnation(aIncarnation)
  , mSocket(aContext)
  , mBuffer(kMaxDatagramBytes)
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
HostExchange::Start(FillMessage aFillMessage, Receive aReceive)
{
  mFillMessage = std::move(aFillMessage);
  mReceive = std::move(aReceive);
  asio::co_spawn(mSocket.get_executor(), ReceiveLoop(), asio::detached);
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
    const auto handle = msgpack::unpack(mBuffer.data(), aSize);
    handle.get().convert(message);
  } catch (const std::exception&) {
    // Not a message of this system, or one of another version: anyone can send
    // to this port.
    return;
  }
  if (message.mHost.empty() || message.mHost == mLocal.mAddress ||
      message.mHost != mFrom.address().to_string()) {
    return;
  }
  auto& peer = mPeers[message.mHost];
  // Datagrams may arrive out of order; older ones are ignored.
  if (peer.mIncarnation == message.mIncarnation &&
      message.mSentAt < peer.mSentAt) {
    return;
  }
  peer = {
    message.mIncarnation, message.mSentAt, mClock.Now(), message.mLinkMbps
  };
  mReceive(message);
}

void
HostExchange::Send(const std::string& aHost,
                   const std::function<void(HostMessage&)>& aAdd,
                   Content aContent)
{
  HostMessage message;
  message.mHost = mLocal.mAddress;
  message.mIncarnation = mIncarnation;
  message.mLinkMbps = mLinkMbps;
  message.mSentAt = mClock.Now().time_since_epoch().count();
  mFillMessage(aHost, aContent, message);
  if (aAdd) {
    aAdd(message);
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, message);
  error_code ec;
  const auto address = asio::ip::make_address(aHost, ec);
  if (ec) {
    return;
  }
  // A datagram that cannot be sent now is treated as lost.
  mSocket.send_to(
    asio::buffer(bytes.data(), bytes.size()), { address, mLocal.mPort }, 0, ec);
}

void
HostExchange::Broadcast(const std::function<void(HostMessage&)>& aAdd,
                        Content aContent)
{
  mLastBroadcast = mClock.Now();
  for (const auto& [host, peer] : mPeers) {
    Send(host, aAdd, aContent);
  }
}

void
HostExchange::AddHost(const std::string& aHost)
{
  if (aHost.empty() || aHost == mLocal.mAddress || mPeers.contains(aHost)) {
    return;
  }
  // The host counts as live only after its first message.
  Peer peer;
  peer.mReceivedAt = mClock.Now() - kLivenessTimeout;
  mPeers.emplace(aHost, peer);
}

std::vector<FleetHost>
HostExchange::LiveHosts() const
{
  std::vector<FleetHost> hosts;
  const auto now = mClock.Now();
  for (const auto& [host, peer] : mPeers) {
    if (now - peer.mReceivedAt < kLivenessTimeout) {
      hosts.push_back({ host, peer.mLinkMbps });
    }
  }
  return hosts;
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
