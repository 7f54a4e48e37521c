#include "Serving/FanOut.h"

#include <algorithm>
#include <map>

namespace ragwortdeck {

namespace {

/// A host sends at least one message a second.
constexpr Duration kSilentAfter = std::chrono::milliseconds(1300);
/// A domain with fewer hosts gains little from a relay.
constexpr std::size_t kMinRelayedHosts = 3;

void
AddRelays(std::vector<const Receiver*> aDomain,
          MessageClass aClass,
          RandomSource& aRandom,
          std::vector<std::string>& aRelays)
{
  const auto isRecent = [](const Receiver* aItem) {
    return aItem->mSilentFor < kSilentAfter;
  };
  if (std::any_of(aDomain.begin(), aDomain.end(), isRecent)) {
    std::erase_if(aDomain,
                  [&](const Receiver* aItem) { return !isRecent(aItem); });
  }
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
PlanFanOut(const std::string& aOwnDomain,
           const std::vector<Receiver>& aReceivers,
           MessageClass aClass,
           RandomSource& aRandom)
{
  FanOut plan;
  std::map<std::string, std::vector<const Receiver*>> domains;
  for (const auto& it : aReceivers) {
    if (aOwnDomain.empty() || it.mFailureDomain.empty() ||
        it.mFailureDomain == aOwnDomain) {
      plan.mDirect.push_back(it.mName);
    } else {
      domains[it.mFailureDomain].push_back(&it);
    }
  }
  for (const auto& [name, hosts] : domains) {
    if (hosts.size() < kMinRelayedHosts) {
      for (const auto* it : hosts) {
        plan.mDirect.push_back(it->mName);
      }
    } else {
      AddRelays(hosts, aClass, aRandom, plan.mRelays);
    }
  }
  return plan;
}

} // namespace ragwortdeck
