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
            PlanFanOut("a", fleet, MessageClass::kRoutine, random);
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
             PlanFanOut("a", fleet, MessageClass::kRoutine, random).mRelays) {
          CPPUNIT_ASSERT(hosts.at(it).mSilentFor < milliseconds(1300));
        }
      }
    });
    Section("all hosts of a domain were silent: one is tried all the same",
            [&] {
              auto fleet = MakeFleet(300);
              for (auto& it : fleet) {
                it.mSilentFor = milliseconds(2000);
              }
              RandomSource random(3);
              CPPUNIT_ASSERT_EQUAL(
                std::size_t(4),
                PlanFanOut("a", fleet, MessageClass::kRoutine, random)
                  .mRelays.size());
            });
    Section("a message that is not repeated takes two relays in each domain",
            [&] {
              const auto fleet = MakeFleet(300);
              RandomSource random(3);
              for (int i = 0; i < 100; ++i) {
                const auto plan =
                  PlanFanOut("a", fleet, MessageClass::kImportant, random);
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
             PlanFanOut("a", fleet, MessageClass::kLarge, random).mRelays) {
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
      const auto plan = PlanFanOut("a", hosts, MessageClass::kRoutine, random);
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
        PlanFanOut("a", fleet, MessageClass::kRoutine, random).mDirect.size());
    });
    Section("a host without a domain of its own sends to all", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(30),
        PlanFanOut("", MakeFleet(30), MessageClass::kRoutine, random)
          .mDirect.size());
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
