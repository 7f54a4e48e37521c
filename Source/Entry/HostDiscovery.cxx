#include "Entry/HostDiscovery.h"

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// An entry of the host list outlives its host by at most this time.
constexpr milliseconds kLeaseLifetime{ 600000 };
constexpr milliseconds kLeaseRenewalInterval{ 150000 };
/// How often a host checks whether it should be listed, and retries.
constexpr milliseconds kListingCheckInterval{ 2000 };
/// Interval at which a host that searches for others asks the next one.
constexpr milliseconds kSearchInterval{ 100 };
/// A host that was silent for longer does not keep others off the list. Longer
/// than most cuts between hosts, so that they do not all register meanwhile.
constexpr Duration kListingMemory = std::chrono::seconds(15);
/// Limits an introduction to one datagram.
constexpr std::size_t kMaxIntroducedHosts = 3000;

} // namespace

HostDiscovery::HostDiscovery(EntryContext& aContext,
                             HostExchange& aExchange,
                             StoreClient& aStore)
  : mContext(aContext)
  , mExchange(aExchange)
  , mStore(aStore)
{
}

Task<void>
HostDiscovery::Loop()
{
  if (!mIntroduced) {
    co_await FindHosts();
  }
  while (true) {
    // First, to hear from the hosts that it was introduced to.
    co_await SleepFor(mContext.mIo, kListingCheckInterval);
    if (!mIntroduced) {
      RequestIntroduction();
    }
    const auto& settings = mContext.mSettings;
    if (!ShouldBeListed({ settings.mPeers.mAddress,
                          settings.mFailureDomain,
                          settings.mLinkMbps },
                        HeardHosts())) {
      continue;
    }
    DropLostLease();
    if (!mLease.empty() &&
        mContext.Now() - mRenewedAt >= kLeaseRenewalInterval) {
      co_await Renew();
    }
    if (mLease.empty()) {
      co_await Register();
    }
  }
}

Task<void>
HostDiscovery::FindHosts()
{
  const auto began = mContext.Now();
  RequestIntroduction();
  auto listed = co_await ReadHosts(true);
  if (listed && listed->empty()) {
    if (mOnFirstStart) {
      mOnFirstStart();
    }
    co_await SearchUntil(began + FirstListingDelay(mContext.mRandom));
    if (!mIntroduced) {
      listed = co_await ReadHosts(false);
    }
  }
  if (listed) {
    Add(*listed);
  }
  if (mExchange.KnownHosts() > 0) {
    co_await SearchUntil(mContext.Now() + kLongestSearch);
  }
  mContext.mLog.Write(
    "hosts_found",
    { { "introduced", mIntroduced },
      { "known", mExchange.KnownHosts() },
      { "took_ms",
        std::chrono::duration_cast<Milliseconds>(mContext.Now() - began)
          .count() } });
  if (!mIntroduced) {
    co_await Register();
  }
}

Task<void>
HostDiscovery::SearchUntil(MonotonicTime aUntil)
{
  while (!mIntroduced && mContext.Now() < aUntil) {
    RequestIntroduction();
    co_await SleepFor(mContext.mIo, kSearchInterval);
  }
}

Task<std::optional<std::vector<std::string>>>
HostDiscovery::ReadHosts(bool aMayBeStale)
{
  std::vector<std::string> hosts;
  std::string after;
  do {
    auto body =
      co_await mStore.Call(mContext.mCodec.HostsRead(after, aMayBeStale));
    if (!body) {
      co_return std::nullopt;
    }
    auto page = mContext.mCodec.ReadHosts(body.value().mBody);
    if (!page) {
      mContext.mLog.Write("hosts_unreadable",
                          { { "why", page.error().mMessage } });
      co_return std::nullopt;
    }
    hosts.insert(
      hosts.end(), page.value().mHosts.begin(), page.value().mHosts.end());
    after = page.value().mNext;
  } while (!after.empty());
  std::erase(hosts, mContext.mSettings.mPeers.mAddress);
  co_return hosts;
}

Task<void>
HostDiscovery::Register()
{
  const auto& codec = mContext.mCodec;
  auto lease = co_await mStore.Call(codec.LeaseCall(kLeaseLifetime));
  if (!lease) {
    co_return;
  }
  auto id = codec.ReadLease(lease.value().mBody);
  if (!id) {
    mContext.mLog.Write("lease_unreadable", { { "why", id.error().mMessage } });
    co_return;
  }
  const auto era = lease.value().mEra;
  const auto written = co_await mStore.Call(
    codec.HostWrite(mContext.mSettings.mPeers.mAddress, id.value()));
  if (!written || written.value().mEra != era) {
    co_return;
  }
  mLease = id.value();
  mLeaseEra = era;
  mRenewedAt = mContext.Now();
  // The hosts are read after the write, so that of two hosts that start
  // together at least the one that writes later sees the other.
  const auto hosts = co_await ReadHosts(false);
  if (hosts) {
    Add(*hosts);
  } else {
    mLease.clear();
  }
  mContext.mLog.Write("registered", { { "hosts", mExchange.KnownHosts() } });
}

Task<void>
HostDiscovery::Renew()
{
  const auto renewed =
    co_await mStore.Call(mContext.mCodec.LeaseRenewal(mLease));
  if (renewed) {
    mRenewedAt = mContext.Now();
  } else if (renewed.error().mCode == ErrorCode::kNotFound) {
    mLease.clear();
  }
}

void
HostDiscovery::DropLostLease()
{
  if (mLease.empty() || mLeaseEra == mContext.mEra.Latest()) {
    return;
  }
  mContext.mLog.Write("lease_dropped",
                      { { "lease_era", mLeaseEra.mNumber },
                        { "era", mContext.mEra.Latest().mNumber } });
  mLease.clear();
}

void
HostDiscovery::RequestIntroduction()
{
  std::vector<std::string> known;
  for (const auto& [host, peer] : mExchange.Peers()) {
    known.push_back(host);
  }
  if (known.empty()) {
    return;
  }
  const auto asked = known[mContext.mRandom.Below(known.size())];
  // Those that are not asked learn of this host, and introduce it to others.
  std::erase(known, asked);
  mExchange.SendToAll(known);
  AskForIntroduction(asked);
}

void
HostDiscovery::AskForIntroduction(const std::string& aHost)
{
  mAskedAt = mContext.Now();
  mExchange.Send(aHost, [this](HostMessage& aMessage) {
    aMessage.mRequestsHosts = true;
    if (mAddContentRequest) {
      mAddContentRequest(aMessage);
    }
  });
}

void
HostDiscovery::Add(const std::vector<std::string>& aHosts)
{
  std::vector<std::string> added;
  for (const auto& host : aHosts) {
    if (mExchange.AddHost(host)) {
      added.push_back(host);
    }
  }
  mExchange.SendToAll(added);
}

void
HostDiscovery::Handle(const HostMessage& aMessage)
{
  if (aMessage.mRequestsHosts) {
    mExchange.Send(aMessage.mHost, [&](HostMessage& aReply) {
      for (const auto& host : mExchange.LiveHosts()) {
        if (aReply.mIntroduced.size() < kMaxIntroducedHosts) {
          aReply.mIntroduced.push_back(host.mName);
        }
      }
    });
  }
  if (!aMessage.mIntroduced.empty()) {
    mIntroduced = true;
    Add(aMessage.mIntroduced);
  }
  if (mIntroduced && aMessage.mLiveHosts > 0 &&
      aMessage.mFailureDomain == mContext.mSettings.mFailureDomain &&
      NeedsIntroduction(mExchange.CountLiveHosts(),
                        static_cast<std::size_t>(aMessage.mLiveHosts),
                        mContext.Now() - mAskedAt)) {
    AskForIntroduction(aMessage.mHost);
  }
}

std::vector<ListingCandidate>
HostDiscovery::HeardHosts() const
{
  std::vector<ListingCandidate> hosts;
  const auto now = mContext.Now();
  for (const auto& [host, peer] : mExchange.Peers()) {
    if (peer.mIncarnation != 0 && now - peer.mReceivedAt < kListingMemory) {
      hosts.push_back({ host, peer.mFailureDomain, peer.mLinkMbps });
    }
  }
  return hosts;
}

} // namespace ragwortdeck
