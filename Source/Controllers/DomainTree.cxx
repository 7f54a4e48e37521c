#include "Controllers/DomainTree.h"

#include <algorithm>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

// Separates these ranks from other uses of rendezvous hashing.
constexpr std::uint64_t kRankSeed = 0x7461626c65;

} // namespace

DomainTree::DomainTree(HostId aSelf,
                       FailureDomain aFailureDomain,
                       std::size_t aRoots,
                       std::size_t aFanOut)
  : mSelf(std::move(aSelf))
  , mFailureDomain(std::move(aFailureDomain))
  , mRoots(aRoots)
  , mFanOut(aFanOut)
{
  // Before the first members are known, this host counts as the only one.
  mDomains[mFailureDomain] = { mSelf };
}

std::uint64_t
DomainTree::Rank(const HostId& aHost)
{
  return XXH64(aHost.Value().data(), aHost.Value().size(), kRankSeed);
}

void
DomainTree::Update(const std::vector<MemberRecord>& aMembers)
{
  std::map<FailureDomain, std::vector<std::pair<std::uint64_t, HostId>>> ranked;
  ranked[mFailureDomain].emplace_back(Rank(mSelf), mSelf);
  for (const auto& member : aMembers) {
    if (member.mHost != mSelf && member.mState == MemberState::kAlive) {
      ranked[member.mFailureDomain].emplace_back(Rank(member.mHost),
                                                 member.mHost);
    }
  }
  mDomains.clear();
  for (auto& [domain, hosts] : ranked) {
    std::sort(hosts.rbegin(), hosts.rend());
    auto& ordered = mDomains[domain];
    for (auto& [rank, host] : hosts) {
      ordered.push_back(std::move(host));
    }
  }
}

const std::vector<HostId>&
DomainTree::OwnDomain() const
{
  return mDomains.at(mFailureDomain);
}

bool
DomainTree::IsRoot() const
{
  const auto& hosts = OwnDomain();
  const auto end =
    hosts.begin() + std::ptrdiff_t(std::min(mRoots, hosts.size()));
  return std::find(hosts.begin(), end, mSelf) != end;
}

std::vector<HostId>
DomainTree::Children() const
{
  const auto& hosts = OwnDomain();
  const auto self = std::find(hosts.begin(), hosts.end(), mSelf);
  const auto position = std::size_t(self - hosts.begin());
  const auto first = std::min(mRoots + mFanOut * position, hosts.size());
  const auto end = std::min(first + mFanOut, hosts.size());
  return { hosts.begin() + std::ptrdiff_t(first),
           hosts.begin() + std::ptrdiff_t(end) };
}

std::vector<HostId>
DomainTree::AllRoots() const
{
  std::vector<HostId> roots;
  for (const auto& [domain, hosts] : mDomains) {
    for (std::size_t n = 0; n < std::min(mRoots, hosts.size()); ++n) {
      if (hosts[n] != mSelf) {
        roots.push_back(hosts[n]);
      }
    }
  }
  return roots;
}

} // namespace ragwortdeck
