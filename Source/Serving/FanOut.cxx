#include "Serving/FanOut.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

/// A host sends at least one message a second.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1300);
/// A domain with fewer hosts gains little from a relay.
constexpr std::size_t kMinRelayedHosts = 3;

/// In a smaller domain the datagrams cost less than the delay of merging.
constexpr std::size_t kMinMergedHosts = 40;

using Domain = std::vector<const Receiver*>;

void
KeepRecent(Domain& aDomain)
{
  const auto isRecent = [](const Receiver* aItem) {
    return aItem->mSilentFor < kSilentAfter;
  };
  if (std::any_of(aDomain.begin(), aDomain.end(), isRecent)) {
    std::erase_if(aDomain,
                  [&](const Receiver* aItem) { return !isRecent(aItem); });
  }
}

/// Number of hosts that collect messages for a domain of aHosts, the fastest of
/// which have links of aLinkMbps.
std::size_t
CountCollectors(std::size_t aHosts, int aLinkMbps)
{
  constexpr std::size_t kCollectors = 3;
  // A collector sends its part of all messages to the whole domain: 295 hosts
  // with 160 starts of runs a second make 12 Mbit/s for each of three.
  constexpr int kFastLinkMbps = 100;
  constexpr std::size_t kHostsPerSlowCollector = 5;
  return aLinkMbps >= kFastLinkMbps
           ? kCollectors
           : std::max(kCollectors, aHosts / kHostsPerSlowCollector);
}

const Receiver*
ChooseCollector(Domain aDomain, std::uint64_t aTurn)
{
  KeepRecent(aDomain);
  const auto weightOf = [](const Receiver* aItem) {
    return XXH64(aItem->mName.data(), aItem->mName.size(), 0);
  };
  // All senders must choose the same few hosts, or nothing is merged.
  std::sort(aDomain.begin(),
            aDomain.end(),
            [&](const Receiver* aLeft, const Receiver* aRight) {
              return aLeft->mLinkMbps != aRight->mLinkMbps
                       ? aLeft->mLinkMbps > aRight->mLinkMbps
                       : weightOf(aLeft) < weightOf(aRight);
            });
  const auto n =
    std::min(aDomain.size(),
             CountCollectors(aDomain.size(), aDomain.front()->mLinkMbps));
  return aDomain[aTurn % n];
}

void
AddRelays(Domain aDomain,
          MessageClass aClass,
          RandomSource& aRandom,
          std::vector<std::string>& aRelays)
{
  KeepRecent(aDomain);
  if (aClass == MessageClass::kLarge) {
    int fastest = 0;
    for (const auto* it : aDomain) {
      fastest = std::max(fastest, it->mLinkMbps);
    }
    std::erase_if(aDomain, [fastest](const Receiver* aItem) {
      return aItem->mLinkMbps < fastest;
    });
  }
  const int relays = aClass == MessageClass::kRoutine ? 1 : 2;
  for (int i = 0; i < relays && !aDomain.empty(); ++i) {
    const auto it = aDomain.begin() +
                    static_cast<std::ptrdiff_t>(aRandom.Below(aDomain.size()));
    aRelays.push_back((*it)->mName);
    aDomain.erase(it);
  }
}

} // namespace

FanOut
PlanFanOut(const Receiver& aSelf,
           const std::vector<Receiver>& aReceivers,
           MessageClass aClass,
           std::uint64_t aTurn,
           RandomSource& aRandom)
{
  FanOut plan;
  const auto sendDirectly = [&](const Domain& aHosts) {
    for (const auto* it : aHosts) {
      plan.mDirect.push_back(it->mName);
    }
  };
  std::map<std::string, Domain> domains;
  for (const auto& it : aReceivers) {
    if (aSelf.mFailureDomain.empty() || it.mFailureDomain.empty()) {
      plan.mDirect.push_back(it.mName);
    } else {
      domains[it.mFailureDomain].push_back(&it);
    }
  }
  for (auto& [name, hosts] : domains) {
    const bool isOwn = name == aSelf.mFailureDomain;
    if (aClass == MessageClass::kRoutine) {
      Domain merging;
      std::copy_if(hosts.begin(),
                   hosts.end(),
                   std::back_inserter(merging),
                   [](const Receiver* aItem) { return aItem->mAcceptsMerged; });
      if (isOwn) {
        merging.push_back(&aSelf);
      }
      if (merging.size() >= kMinMergedHosts) {
        const auto* collector = ChooseCollector(merging, aTurn);
        if (collector == &aSelf) {
          plan.mCollectsOwn = true;
        } else {
          plan.mCollectors.push_back(collector->mName);
        }
        std::erase_if(
          hosts, [](const Receiver* aItem) { return aItem->mAcceptsMerged; });
        sendDirectly(hosts);
        continue;
      }
    }
    if (isOwn || hosts.size() < kMinRelayedHosts) {
      sendDirectly(hosts);
    } else {
      AddRelays(hosts, aClass, aRandom, plan.mRelays);
    }
  }
  return plan;
}

} // namespace ragwortdeck
