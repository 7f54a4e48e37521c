#include "Core/RandomSource.h"
#include "Policy/CreditHolder.h"
#include "Policy/CreditOwner.h"
#include "Policy/Workload.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <sstream>

namespace ragwortdeck {

namespace {

constexpr std::uint32_t kHosts = 5;
constexpr std::uint64_t kCap = 40;
const TeamName kTeam("nakuru");
const CreditKey kStreams{ CreditKind::kTeamStreams, "nakuru" };

std::shared_ptr<const SiteView>
MakeView()
{
  auto view = std::make_shared<SiteView>();
  TeamRow row;
  row.mTeam = kTeam;
  row.mMaxConcurrent = kCap;
  view->mTable.mTeams.emplace(kTeam, row);
  for (std::uint32_t i = 0; i < kHosts; ++i) {
    view->mEntryHosts.push_back(Workload::HostAt(i));
  }
  return view;
}

/// \brief Hosts that share the stream cap of one team, each with a credit
/// holder and a credit owner.
struct Fleet
{
  VirtualScheduler mScheduler;
  std::shared_ptr<const SiteView> mView = MakeView();
  std::vector<std::unique_ptr<CreditHolder>> mHolders;
  std::vector<std::unique_ptr<CreditOwner>> mOwners;
  std::vector<std::uint64_t> mUse = std::vector<std::uint64_t>(kHosts);

  Fleet()
  {
    for (const auto& host : mView->mEntryHosts) {
      mOwners.push_back(std::make_unique<CreditOwner>(host, mScheduler));
      mOwners.back()->OnView(mView);
      mHolders.push_back(std::make_unique<CreditHolder>(host, 1, mScheduler));
      mHolders.back()->SetHosts(kHosts, mView->mEntryHosts);
      mHolders.back()->SetCap(mHolders.back()->SlotOf(kStreams), kCap);
    }
  }

  std::uint32_t OwnerIndex() const
  {
    const auto owner = CreditOwnerOf(kTeam.Value(), mView->mEntryHosts);
    const auto& hosts = mView->mEntryHosts;
    return std::find(hosts.begin(), hosts.end(), owner) - hosts.begin();
  }

  std::uint64_t Allowed(std::uint32_t aHost)
  {
    return mHolders[aHost]->Allowed(mHolders[aHost]->SlotOf(kStreams));
  }

  std::uint64_t AllowedSum()
  {
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      sum += Allowed(i);
    }
    return sum;
  }

  std::uint64_t UseSum() const
  {
    std::uint64_t sum = 0;
    for (const auto use : mUse) {
      sum += use;
    }
    return sum;
  }

  std::vector<CreditRequest> CollectRequests(std::uint32_t aHost,
                                             std::uint64_t aWanted)
  {
    auto& holder = *mHolders[aHost];
    const auto slot = holder.SlotOf(kStreams);
    holder.SetUse(slot, mUse[aHost]);
    holder.SetWanted(slot, aWanted, 0);
    return holder.Collect();
  }

  /// Starts streams up to the allowed number, as a dispatcher does.
  void StartStreams(std::uint32_t aHost, std::uint64_t aWanted)
  {
    const auto allowed = Allowed(aHost);
    if (mUse[aHost] < allowed) {
      mUse[aHost] = std::min(allowed, mUse[aHost] + aWanted);
    }
  }

  void Exchange(std::uint32_t aHost,
                std::uint32_t aOwner,
                std::uint64_t aWanted)
  {
    for (const auto& request : CollectRequests(aHost, aWanted)) {
      mHolders[aHost]->OnGrant(mOwners[aOwner]->OnRequest(request));
    }
  }

  void ExchangeAll(std::uint64_t aWanted)
  {
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      Exchange(i, OwnerIndex(), aWanted);
    }
  }

  void AdvanceLifetime()
  {
    mScheduler.Advance(Duration(kCreditLifetimeMicros));
  }
};

/// Simulates a network that loses, delays, duplicates and reorders messages
/// between hosts and the owner, and hosts that pause. Returns the maximum total
/// use.
std::uint64_t
RunUnreliableNetwork(std::uint64_t aSeed, bool aOwnerDies)
{
  Fleet fleet;
  RandomSource random(aSeed);
  std::uint64_t largest = 0;
  bool isDead = false;
  for (int step = 0; step < 400; ++step) {
    const auto host = static_cast<std::uint32_t>(random.Below(kHosts));
    isDead = isDead || (aOwnerDies && step == 200);
    for (const auto& request :
         fleet.CollectRequests(host, random.Below(kCap))) {
      const int copies = 1 + (random.Chance(0.1) ? 1 : 0);
      for (int copy = 0; copy < copies && !random.Chance(0.2); ++copy) {
        const Duration requestDelay(random.Below(400'000));
        const Duration grantDelay(random.Below(400'000));
        fleet.mScheduler.Post(
          requestDelay, [&fleet, &isDead, host, request, grantDelay] {
            if (isDead) {
              return;
            }
            auto& owner = *fleet.mOwners[fleet.OwnerIndex()];
            const auto grant = owner.OnRequest(request);
            fleet.mScheduler.Post(grantDelay, [&fleet, host, grant] {
              fleet.mHolders[host]->OnGrant(grant);
            });
          });
      }
    }
    if (random.Chance(0.02)) {
      fleet.mScheduler.Skip(std::chrono::seconds(2));
    }
    fleet.mScheduler.Advance(Duration(random.Below(100'000)));
    fleet.mOwners[fleet.OwnerIndex()]->Tick();
    fleet.StartStreams(host, random.Below(kCap));
    largest = std::max(largest, fleet.UseSum());
    auto& use = fleet.mUse[random.Below(kHosts)];
    use -= random.Below(use + 1);
  }
  return largest;
}

} // namespace

/// \brief Credits. Fleet-wide caps must hold although every host dispatches
/// on its own, and the capacity that a lost owner granted must become usable
/// again.
class CreditTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CreditTest);
  CPPUNIT_TEST(TestWholeCapIsUsable);
  CPPUNIT_TEST(TestNewOwnerWaits);
  CPPUNIT_TEST(TestExpiryAfterPause);
  CPPUNIT_TEST(TestUnreachableOwner);
  CPPUNIT_TEST(TestTwoOwners);
  CPPUNIT_TEST(TestReorderedAndForeignGrants);
  CPPUNIT_TEST(TestRestartedHost);
  CPPUNIT_TEST(TestMessagesRoundTrip);
  CPPUNIT_TEST(TestCapOnUnreliableNetwork);
  CPPUNIT_TEST(TestCapWhenOwnerDies);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestWholeCapIsUsable()
  {
    Fleet fleet;
    fleet.ExchangeAll(1);
    fleet.AdvanceLifetime();
    for (int i = 0; i < 5; ++i) {
      fleet.Exchange(2, fleet.OwnerIndex(), kCap);
    }
    const auto staticShare =
      SplitCap(kStreams.mKind, kCap, kHosts).mStaticPerHost;
    CPPUNIT_ASSERT_EQUAL(kCap - (kHosts - 1) * staticShare, fleet.Allowed(2));
    CPPUNIT_ASSERT(fleet.AllowedSum() <= kCap);
  }

  void TestNewOwnerWaits()
  {
    Fleet fleet;
    const auto staticShare = fleet.Allowed(0);
    fleet.ExchangeAll(10);
    CPPUNIT_ASSERT_EQUAL(staticShare * kHosts, fleet.AllowedSum());
    fleet.AdvanceLifetime();
    fleet.ExchangeAll(10);
    CPPUNIT_ASSERT(fleet.AllowedSum() > staticShare * kHosts);
    CPPUNIT_ASSERT(fleet.AllowedSum() <= kCap);
  }

  void TestExpiryAfterPause()
  {
    Fleet fleet;
    const auto staticShare = fleet.Allowed(1);
    fleet.ExchangeAll(1);
    fleet.AdvanceLifetime();
    fleet.ExchangeAll(10);
    CPPUNIT_ASSERT(fleet.Allowed(1) > staticShare);
    // A paused process runs no timers, so the expiry is checked at each use.
    fleet.mScheduler.Skip(Duration(kCreditLifetimeMicros));
    CPPUNIT_ASSERT_EQUAL(staticShare, fleet.Allowed(1));
    Section("a grant that arrives after its lifetime has no effect", [&] {
      const auto requests = fleet.CollectRequests(1, 10);
      const auto grant =
        fleet.mOwners[fleet.OwnerIndex()]->OnRequest(requests.front());
      fleet.AdvanceLifetime();
      fleet.mHolders[1]->OnGrant(grant);
      CPPUNIT_ASSERT_EQUAL(staticShare, fleet.Allowed(1));
    });
  }

  void TestUnreachableOwner()
  {
    Fleet fleet;
    fleet.ExchangeAll(1);
    fleet.AdvanceLifetime();
    fleet.ExchangeAll(20);
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      fleet.StartStreams(i, kCap);
    }
    CPPUNIT_ASSERT(fleet.UseSum() <= kCap);
    fleet.AdvanceLifetime();
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      fleet.StartStreams(i, kCap);
    }
    CPPUNIT_ASSERT(fleet.UseSum() <= kCap);
    CPPUNIT_ASSERT(fleet.AllowedSum() <= kCap);
  }

  void TestTwoOwners()
  {
    // Membership disagrees: hosts 0-2 keep the owner, hosts 3 and 4 consider it
    // dead and use another.
    Fleet fleet;
    const auto first = fleet.OwnerIndex();
    fleet.ExchangeAll(1);
    auto others = fleet.mView->mEntryHosts;
    others.erase(others.begin() + first);
    const auto owner = CreditOwnerOf(kTeam.Value(), others);
    const auto second =
      static_cast<std::uint32_t>(std::find(fleet.mView->mEntryHosts.begin(),
                                           fleet.mView->mEntryHosts.end(),
                                           owner) -
                                 fleet.mView->mEntryHosts.begin());
    fleet.mOwners[second]->OnOwners(others);
    fleet.mHolders[3]->SetHosts(kHosts, others);
    fleet.mHolders[4]->SetHosts(kHosts, others);
    const auto dynamic = SplitCap(kStreams.mKind, kCap, kHosts).mDynamic;
    std::uint64_t largest = 0;
    for (int round = 0; round < 20; ++round) {
      for (std::uint32_t i = 0; i < kHosts; ++i) {
        fleet.Exchange(i, i < 3 ? first : second, kCap);
      }
      largest = std::max(largest, fleet.AllowedSum());
      fleet.mScheduler.Advance(std::chrono::milliseconds(200));
    }
    CPPUNIT_ASSERT(largest > kCap);
    CPPUNIT_ASSERT(largest <= kCap + dynamic);
    Section("agreement restores the cap", [&] {
      fleet.mOwners[second]->OnOwners(fleet.mView->mEntryHosts);
      fleet.mHolders[3]->SetHosts(kHosts, fleet.mView->mEntryHosts);
      fleet.mHolders[4]->SetHosts(kHosts, fleet.mView->mEntryHosts);
      fleet.AdvanceLifetime();
      fleet.ExchangeAll(kCap);
      CPPUNIT_ASSERT(fleet.AllowedSum() <= kCap);
    });
  }

  void TestReorderedAndForeignGrants()
  {
    Fleet fleet;
    auto& owner = *fleet.mOwners[fleet.OwnerIndex()];
    fleet.ExchangeAll(1);
    fleet.AdvanceLifetime();
    const auto large = fleet.CollectRequests(0, 20);
    const auto small = fleet.CollectRequests(0, 1);
    const auto largeGrant = owner.OnRequest(large.front());
    const auto smallGrant = owner.OnRequest(small.front());
    fleet.mHolders[0]->OnGrant(smallGrant);
    const auto allowed = fleet.Allowed(0);
    fleet.mHolders[0]->OnGrant(largeGrant);
    CPPUNIT_ASSERT_EQUAL(allowed, fleet.Allowed(0));
    auto foreign = smallGrant;
    foreign.mOwner = HostId("stranger");
    CPPUNIT_ASSERT(fleet.mHolders[0]->OnGrant(foreign).empty());
    // A duplicate of a request is not granted.
    CPPUNIT_ASSERT(owner.OnRequest(large.front()).mShares.empty());
  }

  void TestRestartedHost()
  {
    Fleet fleet;
    fleet.ExchangeAll(1);
    fleet.AdvanceLifetime();
    fleet.Exchange(0, fleet.OwnerIndex(), kCap);
    const auto held = fleet.Allowed(0);
    fleet.mHolders[0] =
      std::make_unique<CreditHolder>(Workload::HostAt(0), 2, fleet.mScheduler);
    fleet.mHolders[0]->SetHosts(kHosts, fleet.mView->mEntryHosts);
    fleet.mHolders[0]->SetCap(fleet.mHolders[0]->SlotOf(kStreams), kCap);
    CPPUNIT_ASSERT(fleet.Allowed(0) < held);
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      fleet.Exchange(i, fleet.OwnerIndex(), kCap);
    }
    // The grant to the earlier process counts until it expires.
    CPPUNIT_ASSERT(fleet.AllowedSum() - fleet.Allowed(0) + held <= kCap);
  }

  void TestMessagesRoundTrip()
  {
    Fleet fleet;
    const auto request = fleet.CollectRequests(0, 3).front();
    const auto grant = fleet.mOwners[fleet.OwnerIndex()]->OnRequest(request);
    std::stringstream buf;
    msgpack::pack(buf, request);
    const auto text = buf.str();
    CPPUNIT_ASSERT(
      request ==
      msgpack::unpack(text.data(), text.size()).get().as<CreditRequest>());
    std::stringstream out;
    msgpack::pack(out, grant);
    const auto answer = out.str();
    CPPUNIT_ASSERT(
      grant ==
      msgpack::unpack(answer.data(), answer.size()).get().as<CreditGrant>());
  }

  void TestCapOnUnreliableNetwork()
  {
    CPPUNIT_ASSERT(rc::check("cap holds under a bad network", [] {
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      RC_ASSERT(RunUnreliableNetwork(seed, false) <= kCap);
    }));
  }

  void TestCapWhenOwnerDies()
  {
    CPPUNIT_ASSERT(rc::check("cap holds when the owner dies", [] {
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      RC_ASSERT(RunUnreliableNetwork(seed, true) <= kCap);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditTest);

} // namespace ragwortdeck
