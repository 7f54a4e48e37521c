#include "Serving/FanOut.h"
#include "Core/RandomSource.h"
#include "Serving/FleetLoad.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <set>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// Hosts of five failure domains; three in each have a fast link.
std::vector<Receiver>
MakeFleet(int aHosts)
{
  std::vector<Receiver> hosts;
  hosts.reserve(static_cast<std::size_t>(aHosts));
  for (int i = 0; i < aHosts; ++i) {
    hosts.push_back({ "h" + std::to_string(i),
                      std::string(1, static_cast<char>('a' + i % 5)),
                      i < 15 ? 200 : 20,
                      milliseconds(100) });
  }
  return hosts;
}

/// The same, of a version that merges messages.
std::vector<Receiver>
MakeMergingFleet(int aHosts)
{
  auto hosts = MakeFleet(aHosts);
  for (auto& it : hosts) {
    it.mAcceptsMerged = true;
  }
  return hosts;
}

std::vector<Receiver>
Without(std::vector<Receiver> aHosts, std::size_t aIndex)
{
  aHosts.erase(aHosts.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return aHosts;
}

/// The sender; its link is one of the slow ones.
Receiver
SelfIn(const std::string& aDomain)
{
  return { "self", aDomain, 20, milliseconds(0) };
}

/// Load reports per second of a fleet of aHosts, in which aStarts runs start a
/// second: half of them end some 40 ms after their prefill, half after seconds.
double
ReportsPerSecond(int aHosts, double aStarts, Duration aDecreaseDelay)
{
  constexpr int kSeconds = 60;
  constexpr milliseconds kPrefill{ 400 };
  RandomSource random(11);
  double reports = 0;
  for (int host = 0; host < aHosts; ++host) {
    // Times of changes, and whether each is an increase.
    std::vector<std::pair<Duration, bool>> changes;
    const auto runs = static_cast<int>(aStarts * kSeconds / aHosts);
    for (int i = 0; i < runs; ++i) {
      const auto at = std::chrono::duration_cast<Duration>(
        std::chrono::seconds(kSeconds) * random.Unit());
      const milliseconds output(i % 2 == 0 ? 40 + random.Below(100)
                                           : 3000 + random.Below(3000));
      changes.emplace_back(at, true);
      changes.emplace_back(at + kPrefill, false);
      changes.emplace_back(at + kPrefill + output, false);
    }
    std::sort(changes.begin(), changes.end());
    std::optional<Duration> due;
    for (const auto& [at, grew] : changes) {
      if (due && *due <= at) {
        ++reports;
        due.reset();
      }
      const auto next = at + (grew ? LoadReportDelay(true, 1) : aDecreaseDelay);
      due = due ? std::min(*due, next) : next;
    }
    reports += due ? 1 : 0;
  }
  return reports / kSeconds;
}

std::map<std::string, Receiver>
ByName(const std::vector<Receiver>& aHosts)
{
  std::map<std::string, Receiver> hosts;
  for (const auto& it : aHosts) {
    hosts.emplace(it.mName, it);
  }
  return hosts;
}

} // namespace

/// \brief Tests to whom a host sends the messages that are meant for all.
class FanOutTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FanOutTest);
  CPPUNIT_TEST(TestCopiesBetweenDomains);
  CPPUNIT_TEST(TestLostRelays);
  CPPUNIT_TEST(TestLargeMessages);
  CPPUNIT_TEST(TestDirectReceivers);
  CPPUNIT_TEST(TestCollectors);
  CPPUNIT_TEST(TestLostCollector);
  CPPUNIT_TEST(TestLoadReports);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestCopiesBetweenDomains()
  {
    Section("every generation starts at another of 30, 100 or 300 hosts", [&] {
      for (const int n : { 30, 100, 300 }) {
        RandomSource random(7);
        const auto fleet = MakeFleet(n);
        const auto hosts = ByName(fleet);
        std::map<std::string, int> relayed;
        const int messages = 3000;
        for (int i = 0; i < messages; ++i) {
          const auto plan =
            PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random);
          Section("one copy leaves for each other domain", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), plan.mRelays.size());
            std::set<std::string> domains;
            for (const auto& it : plan.mRelays) {
              domains.insert(hosts.at(it).mFailureDomain);
              ++relayed[it];
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), domains.size());
          });
          Section("hosts of the own domain need no relay", [&] {
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(n / 5),
                                 plan.mDirect.size());
          });
        }
        Section("no host passes on much more than its share", [&] {
          const int share = messages * 4 / (n * 4 / 5);
          for (const auto& [host, count] : relayed) {
            CPPUNIT_ASSERT(count < 2 * share);
          }
        });
      }
    });
  }

  void TestLostRelays()
  {
    Section("a third of a domain is cut off", [&] {
      auto fleet = MakeFleet(300);
      for (auto& it : fleet) {
        if (it.mFailureDomain == "b" && it.mName.back() < '5') {
          it.mSilentFor = milliseconds(1500);
        }
      }
      const auto hosts = ByName(fleet);
      RandomSource random(3);
      for (int i = 0; i < 500; ++i) {
        for (const auto& it :
             PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random)
               .mRelays) {
          CPPUNIT_ASSERT(hosts.at(it).mSilentFor < milliseconds(1300));
        }
      }
    });
    Section(
      "all hosts of a domain were silent: one is tried all the same", [&] {
        auto fleet = MakeFleet(300);
        for (auto& it : fleet) {
          it.mSilentFor = milliseconds(2000);
        }
        RandomSource random(3);
        CPPUNIT_ASSERT_EQUAL(
          std::size_t(4),
          PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random)
            .mRelays.size());
      });
    Section(
      "a message that is not repeated takes two relays in each domain", [&] {
        const auto fleet = MakeFleet(300);
        RandomSource random(3);
        for (int i = 0; i < 100; ++i) {
          const auto plan =
            PlanFanOut(SelfIn("a"), fleet, MessageClass::kImportant, 0, random);
          CPPUNIT_ASSERT_EQUAL(
            std::size_t(8),
            std::set(plan.mRelays.begin(), plan.mRelays.end()).size());
        }
      });
  }

  void TestLargeMessages()
  {
    Section("a table passes through the fastest links only", [&] {
      const auto fleet = MakeFleet(300);
      const auto hosts = ByName(fleet);
      RandomSource random(5);
      for (int i = 0; i < 100; ++i) {
        for (const auto& it :
             PlanFanOut(SelfIn("a"), fleet, MessageClass::kLarge, 0, random)
               .mRelays) {
          CPPUNIT_ASSERT_EQUAL(200, hosts.at(it).mLinkMbps);
        }
      }
    });
  }

  void TestDirectReceivers()
  {
    RandomSource random(5);
    Section("a domain of two hosts gets the message directly", [&] {
      const std::vector<Receiver> hosts = { { "x", "b", 20, milliseconds(0) },
                                            { "y", "b", 20, milliseconds(0) } };
      const auto plan =
        PlanFanOut(SelfIn("a"), hosts, MessageClass::kRoutine, 0, random);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.mDirect.size());
      CPPUNIT_ASSERT(plan.mRelays.empty());
    });
    Section("hosts of an older version, whose domain is unknown, too", [&] {
      auto fleet = MakeFleet(30);
      for (auto& it : fleet) {
        it.mFailureDomain.clear();
      }
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(30),
        PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random)
          .mDirect.size());
    });
    Section("a host without a domain of its own sends to all", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(30),
        PlanFanOut(SelfIn(""), MakeFleet(30), MessageClass::kRoutine, 0, random)
          .mDirect.size());
    });
  }

  void TestCollectors()
  {
    RandomSource random(5);
    Section("295 hosts report their loads in turn", [&] {
      const auto fleet = MakeMergingFleet(295);
      std::map<std::string, std::set<std::string>> collectors;
      for (std::size_t sender = 0; sender < fleet.size(); ++sender) {
        for (std::uint64_t turn = 0; turn < 6; ++turn) {
          const auto plan = PlanFanOut(fleet[sender],
                                       Without(fleet, sender),
                                       MessageClass::kRoutine,
                                       turn,
                                       random);
          Section("each domain gets one copy, also the sender's own", [&] {
            CPPUNIT_ASSERT(plan.mDirect.empty());
            CPPUNIT_ASSERT(plan.mRelays.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                                 plan.mCollectors.size() +
                                   (plan.mCollectsOwn ? 1 : 0));
          });
          const auto hosts = ByName(fleet);
          for (const auto& it : plan.mCollectors) {
            collectors[hosts.at(it).mFailureDomain].insert(it);
          }
        }
      }
      Section("three hosts with fast links collect for each domain", [&] {
        const auto hosts = ByName(fleet);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), collectors.size());
        for (const auto& [domain, names] : collectors) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(3), names.size());
          for (const auto& it : names) {
            CPPUNIT_ASSERT_EQUAL(200, hosts.at(it).mLinkMbps);
          }
        }
      });
    });
    Section("only important and large messages are passed on at once", [&] {
      const auto fleet = MakeMergingFleet(295);
      for (const auto type :
           { MessageClass::kImportant, MessageClass::kLarge }) {
        const auto plan =
          PlanFanOut(fleet[20], Without(fleet, 20), type, 0, random);
        CPPUNIT_ASSERT(plan.mCollectors.empty());
        CPPUNIT_ASSERT(!plan.mCollectsOwn);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), plan.mRelays.size());
      }
    });
    Section("where all links are slow, more hosts share the work", [&] {
      auto fleet = MakeMergingFleet(295);
      for (auto& it : fleet) {
        it.mLinkMbps = 10;
      }
      std::set<std::string> collectors;
      for (std::uint64_t turn = 0; turn < 100; ++turn) {
        const auto plan =
          PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, turn, random);
        collectors.insert(plan.mCollectors.begin(), plan.mCollectors.end());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(5) * 11, collectors.size());
    });
    Section("hosts of an older version receive the messages themselves", [&] {
      auto fleet = MakeMergingFleet(295);
      std::set<std::string> old;
      for (std::size_t i = 0; i < 40; ++i) {
        fleet[i].mAcceptsMerged = false;
        old.insert(fleet[i].mName);
      }
      const auto plan =
        PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random);
      CPPUNIT_ASSERT(old == std::set(plan.mDirect.begin(), plan.mDirect.end()));
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), plan.mCollectors.size());
    });
    Section("domains of 37 hosts do not merge", [&] {
      const auto fleet = MakeMergingFleet(185);
      const auto plan =
        PlanFanOut(SelfIn("a"), fleet, MessageClass::kRoutine, 0, random);
      CPPUNIT_ASSERT(plan.mCollectors.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(37), plan.mDirect.size());
    });
  }

  void TestLostCollector()
  {
    RandomSource random(5);
    const auto collectorOf = [&](const std::vector<Receiver>& aFleet,
                                 std::uint64_t aTurn) {
      const auto hosts = ByName(aFleet);
      const auto plan =
        PlanFanOut(SelfIn("a"), aFleet, MessageClass::kRoutine, aTurn, random);
      return *std::find_if(plan.mCollectors.begin(),
                           plan.mCollectors.end(),
                           [&](const std::string& aName) {
                             return hosts.at(aName).mFailureDomain == "b";
                           });
    };
    const auto fleet = MakeMergingFleet(295);
    Section("a collector that is lost, or that a sender cannot reach, never "
            "costs two successive messages",
            [&] {
              for (std::uint64_t turn = 0; turn < 30; ++turn) {
                CPPUNIT_ASSERT(collectorOf(fleet, turn) !=
                               collectorOf(fleet, turn + 1));
              }
            });
    Section("one that was silent is not chosen", [&] {
      auto changed = fleet;
      const auto lost = collectorOf(fleet, 0);
      for (auto& it : changed) {
        if (it.mName == lost) {
          it.mSilentFor = milliseconds(1500);
        }
      }
      for (std::uint64_t turn = 0; turn < 30; ++turn) {
        CPPUNIT_ASSERT(collectorOf(changed, turn) != lost);
      }
    });
    Section("if all were silent, they are tried all the same", [&] {
      auto changed = fleet;
      for (auto& it : changed) {
        it.mSilentFor = milliseconds(2000);
      }
      CPPUNIT_ASSERT(!collectorOf(changed, 0).empty());
    });
  }

  void TestLoadReports()
  {
    const auto delayOf = [](int aHosts) {
      return LoadReportDelay(false, static_cast<std::size_t>(aHosts));
    };
    Section(
      "a new run is reported at once, whatever the size of the fleet",
      [&] { CPPUNIT_ASSERT(LoadReportDelay(true, 1100) < milliseconds(1)); });
    Section("295 hosts on which 160 runs start a second: reports of decreases "
            "wait, so that a fifth fewer reports reach each host",
            [&] {
              const auto before = ReportsPerSecond(295, 160, delayOf(18));
              const auto now = ReportsPerSecond(295, 160, delayOf(295));
              CPPUNIT_ASSERT(now < 0.8 * before);
            });
    Section("a small fleet reports decreases soon",
            [&] { CPPUNIT_ASSERT(delayOf(18) <= milliseconds(60)); });
    Section("no fleet keeps memory back for longer than a tenth of the time of "
            "a long response",
            [&] { CPPUNIT_ASSERT(delayOf(4000) <= milliseconds(400)); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FanOutTest);

} // namespace ragwortdeck
