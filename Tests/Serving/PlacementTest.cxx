#include "Serving/EngineChoice.h"
#include "Serving/EventSplitter.h"
#include "Serving/FleetRetryAllowance.h"
#include "Serving/ServerChoice.h"
#include "Serving/SharedReads.h"
#include "Serving/ShutdownRule.h"
#include "Serving/SilenceWatch.h"
#include "Serving/TargetHealth.h"
#include "Serving/WaitingLine.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

MonotonicTime
At(int aMs)
{
  return MonotonicTime(milliseconds(aMs));
}

EngineLimits
Limits()
{
  EngineLimits limits;
  limits.mSlots = 24;
  limits.mMemoryTokens = 34000;
  return limits;
}

EngineCandidate
Engine(const std::string& aId, int aRuns, std::int64_t aReserved)
{
  EngineCandidate engine;
  engine.mTarget = aId;
  engine.mLoad = { aId, aRuns, aReserved, 0 };
  return engine;
}

ServerCandidate
Server(const std::string& aId, int aOwn)
{
  ServerCandidate server;
  server.mTarget = aId;
  server.mSlots = 6;
  server.mOwnInFlight = aOwn;
  return server;
}

/// Number of reads that a host tries while the store is unavailable for 8 s.
int
CountAttempts(const SharedReads::Timing& aTiming, std::size_t aRank)
{
  SharedReads reads(std::to_string(aRank), aTiming);
  int attempts = 0;
  while (reads.DueAt(aRank) < At(8000)) {
    ++attempts;
    reads.Failed(std::max(At(0), reads.DueAt(aRank)));
  }
  return attempts;
}

} // namespace

/// \brief Tests where requests go, how they wait, and which are rejected.
class PlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(TestFleetLoad);
  CPPUNIT_TEST(TestEngineChoice);
  CPPUNIT_TEST(TestBurstSpreads);
  CPPUNIT_TEST(TestSimultaneousChoices);
  CPPUNIT_TEST(TestFirstTokenTimeout);
  CPPUNIT_TEST(TestSilence);
  CPPUNIT_TEST(TestLongestSilence);
  CPPUNIT_TEST(TestWaitingLine);
  CPPUNIT_TEST(TestRetryAfter);
  CPPUNIT_TEST(TestServerChoice);
  CPPUNIT_TEST(TestHealth);
  CPPUNIT_TEST(TestRetryAllowance);
  CPPUNIT_TEST(TestSharedReads);
  CPPUNIT_TEST(TestFirstReads);
  CPPUNIT_TEST(TestReadersOfLargeFleet);
  CPPUNIT_TEST(TestShutdown);
  CPPUNIT_TEST(TestWaitAtStart);
  CPPUNIT_TEST(TestEvents);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestFleetLoad()
  {
    FleetLoad load;
    int changes = 0;
    int added = 0;
    load.mOnChange = [&](bool aRunAdded) {
      ++changes;
      added += aRunAdded ? 1 : 0;
    };
    load.Start(1, { "e", 3000, 900, false });
    Section("own runs count immediately", [&] {
      CPPUNIT_ASSERT(load.TotalOn("e") == (EngineLoad{ "e", 1, 3900, 3000 }));
      CPPUNIT_ASSERT_EQUAL(1, changes);
    });
    Section("a prompt whose prefill is done is no longer pending", [&] {
      load.OnPrefillDone(1);
      load.OnPrefillDone(1);
      CPPUNIT_ASSERT(load.TotalOn("e") == (EngineLoad{ "e", 1, 3900, 0 }));
      CPPUNIT_ASSERT_EQUAL(2, changes);
      CPPUNIT_ASSERT_EQUAL(1, added);
    });
    Section("the reservation grows with a response that exceeds it", [&] {
      load.OnTokensGenerated(1, 900);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(3900),
                           load.TotalOn("e").mReservedTokens);
      load.OnTokensGenerated(1, 1000);
      CPPUNIT_ASSERT(load.TotalOn("e").mReservedTokens >= 4000);
    });
    Section("the newest report of a peer replaces the one before", [&] {
      load.SetPeer("p", { { "e", 2, 7000, 0 } }, At(0));
      load.SetPeer("p", { { "e", 1, 3500, 100 } }, At(10));
      CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(100),
                           load.TotalOn("e").mPendingPrefillTokens);
    });
    Section("a silent peer may only be suspended: its load falls as its runs "
            "end",
            [&] {
              const auto ownTokens = load.TotalOn("e").mReservedTokens - 3500;
              load.Expire(At(4000));
              CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
              CPPUNIT_ASSERT_EQUAL(std::int64_t(100),
                                   load.TotalOn("e").mPendingPrefillTokens);
              load.Expire(At(4011));
              CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
              CPPUNIT_ASSERT(load.TotalOn("e").mReservedTokens >
                             ownTokens + 3490);
              load.Expire(At(7010));
              CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
              CPPUNIT_ASSERT_EQUAL(ownTokens + 1750,
                                   load.TotalOn("e").mReservedTokens);
              CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                                   load.TotalOn("e").mPendingPrefillTokens);
            });
    Section("when it reports again, its report counts in full", [&] {
      load.SetPeer("p", { { "e", 1, 3500, 0 } }, At(7100));
      CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
    });
    Section("the load of a peer that stays silent is dropped", [&] {
      load.Expire(At(17000));
      CPPUNIT_ASSERT_EQUAL(2, load.TotalOn("e").mRuns);
      load.Expire(At(17111));
      CPPUNIT_ASSERT_EQUAL(1, load.TotalOn("e").mRuns);
    });
    Section("the end of a run releases all of its load", [&] {
      load.End(1);
      load.End(1);
      CPPUNIT_ASSERT(load.TotalOn("e") == (EngineLoad{ "e", 0, 0, 0 }));
      CPPUNIT_ASSERT(load.OwnLoads().empty());
    });
  }

  void TestEngineChoice()
  {
    RandomSource random(1);
    const GenerationNeed need{ 3000, 900 };
    const auto choose = [&](const std::vector<EngineCandidate>& aEngines) {
      const auto pick = ChooseEngine(aEngines, Limits(), need, random);
      return pick.value_or(std::string());
    };
    Section("memory for the whole response is required", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::string("free"),
        choose({ Engine("full", 8, 31000), Engine("free", 6, 20000) }));
      CPPUNIT_ASSERT(choose({ Engine("full", 8, 31000) }).empty());
    });
    Section("slots limit the number of runs",
            [&] { CPPUNIT_ASSERT(choose({ Engine("e", 24, 1000) }).empty()); });
    Section("pending prefill counts", [&] {
      auto busy = Engine("busy", 3, 9000);
      busy.mLoad.mPendingPrefillTokens = 6000;
      CPPUNIT_ASSERT_EQUAL(std::string("idle"),
                           choose({ busy, Engine("idle", 4, 12000) }));
    });
    Section("extra delay decides only between similar loads", [&] {
      auto far = Engine("far", 0, 0);
      far.mExtraDelayMs = 60;
      CPPUNIT_ASSERT_EQUAL(std::string("near"),
                           choose({ far, Engine("near", 1, 4000) }));
      CPPUNIT_ASSERT_EQUAL(std::string("far"),
                           choose({ far, Engine("near", 22, 27000) }));
    });
    Section("the reserved output is limited to the bound", [&] {
      CPPUNIT_ASSERT_EQUAL(std::int64_t(500), ReservedOutput(0, 500));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(500), ReservedOutput(450, 500));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(115), ReservedOutput(100, 500));
    });
  }

  // Guards against hosts that choose the same engine at the same moment, since
  // prompts at one engine within 30 ms delay each other. The load is 50 prompts
  // a second on 39 engines; other hosts learn of each choice 8 ms later.
  void TestSimultaneousChoices()
  {
    constexpr int kEngines = 39;
    constexpr int kPrompts = 2000;
    constexpr int kReportDelayMs = 8;
    constexpr int kPrefillMs = 350;
    RandomSource random(11);
    const GenerationNeed need{ 2600, 600 };
    std::vector<std::pair<int, std::string>> placed;
    int now = 0;
    int collisions = 0;
    for (int n = 0; n < kPrompts; ++n) {
      now += static_cast<int>(random.Below(41));
      std::vector<EngineCandidate> engines;
      for (int e = 0; e < kEngines; ++e) {
        auto engine = Engine("e" + std::to_string(e), 3, 12000);
        for (const auto& [at, id] : placed) {
          if (id == engine.mTarget && now - at >= kReportDelayMs &&
              now - at < kPrefillMs) {
            engine.mLoad.mPendingPrefillTokens += need.mPromptTokens;
          }
        }
        engines.push_back(engine);
      }
      const auto chosen = ChooseEngine(engines, Limits(), need, random);
      CPPUNIT_ASSERT(chosen);
      collisions += static_cast<int>(std::count_if(
        placed.begin(), placed.end(), [&, id = *chosen](const auto& aItem) {
          return aItem.second == id && now - aItem.first < 30;
        }));
      placed.emplace_back(now, *chosen);
    }
    // Expected collisions of independent, uniform choices among all engines.
    const double expectedByChance = kPrompts * 30.0 / 20.5 / kEngines;
    CPPUNIT_ASSERT(collisions < expectedByChance);
  }

  void TestFirstTokenTimeout()
  {
    const Milliseconds goal(1500);
    const auto after = [&](int aExpected) {
      return FirstTokenTimeout(Milliseconds(aExpected), goal);
    };
    Section("an idle engine is given up while another can still be in time",
            [&] { CPPUNIT_ASSERT(after(200) <= goal * 6 / 10); });
    // Guards against useless retries: 44 prompts were sent again after 1.1 s to
    // engines that had other prefills pending; 9 failed at both engines.
    Section("a prompt that is queued is not sent again before its goal", [&] {
      CPPUNIT_ASSERT(after(700) > goal);
      CPPUNIT_ASSERT(after(5000) == goal * 5 / 4);
    });
    Section("pending prefill delays the expected first token", [&] {
      const GenerationNeed need{ 2250, 500 };
      CPPUNIT_ASSERT(ExpectedFirstToken({ "e", 3, 9000, 4500 }, need) >
                     2 * ExpectedFirstToken({ "e", 3, 9000, 0 }, need));
    });
  }

  void TestSilence()
  {
    SilenceWatch watch;
    const std::vector<RunningStream> streams{ { "silent", At(1000) },
                                              { "active", At(1550) } };
    Section("a pause for the prefill of a long prompt is not silence", [&] {
      CPPUNIT_ASSERT(watch.FindSilentEngines(streams, At(1590)).empty());
    });
    Section("an engine that stopped sending is reported within 0.7 s", [&] {
      CPPUNIT_ASSERT(watch.FindSilentEngines(streams, At(1650)) ==
                     std::vector<std::string>{ "silent" });
      CPPUNIT_ASSERT(watch.FindSilentEngines(streams, At(1660)).empty());
    });
    Section("it is reported again while it stays silent", [&] {
      CPPUNIT_ASSERT(
        !watch
           .FindSilentEngines(
             { { "silent", At(1000) }, { "active", At(2300) } }, At(2400))
           .empty());
    });
    Section(
      "a host without recent events reports none: it may be cut off itself",
      [&] {
        CPPUNIT_ASSERT(watch.FindSilentEngines(streams, At(9000)).empty());
      });
    Section("an engine with one active stream is not silent", [&] {
      SilenceWatch fresh;
      CPPUNIT_ASSERT(
        fresh
          .FindSilentEngines({ { "e", At(1000) }, { "e", At(2000) } }, At(2010))
          .empty());
    });
  }

  void TestBurstSpreads()
  {
    // 40 simultaneous prompts on 14 engines: if the load of all hosts is known,
    // no engine gets more than 3, its share rounded up.
    FleetLoad load;
    RandomSource random(7);
    const GenerationNeed need{ 3000, 900 };
    std::map<std::string, int> runs;
    for (std::uint64_t n = 0; n < 40; ++n) {
      std::vector<EngineCandidate> engines;
      for (int e = 0; e < 14; ++e) {
        const auto id = "e" + std::to_string(e);
        EngineCandidate engine;
        engine.mTarget = id;
        engine.mLoad = load.TotalOn(id);
        engines.push_back(engine);
      }
      const auto pick = ChooseEngine(engines, Limits(), need, random);
      CPPUNIT_ASSERT(pick);
      load.Start(n, { *pick, need.mPromptTokens, need.mOutputTokens, false });
      ++runs[*pick];
    }
    for (const auto& [engine, count] : runs) {
      CPPUNIT_ASSERT(count <= 3);
    }
  }

  void TestWaitingLine()
  {
    WaitingLine line;
    const auto low = line.Enter({ 1, At(0), At(900) });
    const auto urgent = line.Enter({ 0, At(10), At(500) });
    const auto later = line.Enter({ 1, At(20), At(900) });
    Section("the most urgent goes first, then the oldest", [&] {
      std::vector<std::uint64_t> order;
      line.Offer([&](std::uint64_t aId) {
        order.push_back(aId);
        return false;
      });
      CPPUNIT_ASSERT(order ==
                     (std::vector<std::uint64_t>{ urgent, low, later }));
    });
    Section("a request that does not fit does not block others", [&] {
      line.Offer([&](std::uint64_t aId) { return aId == later; });
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), line.Size());
    });
    Section("the wait is bounded in time", [&] {
      CPPUNIT_ASSERT(line.TakeExpired(At(500)) ==
                     std::vector<std::uint64_t>{ urgent });
      line.Leave(low);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), line.Size());
    });
    Section(
      "the longest wait leaves time for the prefill before the goal", [&] {
        CPPUNIT_ASSERT(LongestWait(Milliseconds(1800)) <= Milliseconds(900));
      });
  }

  void TestRetryAfter()
  {
    RandomSource random(3);
    Section("retries are spread", [&] {
      std::set<int> tenths;
      for (int n = 0; n < 200; ++n) {
        const double after = RetryAfterSeconds(Milliseconds(39000), random);
        CPPUNIT_ASSERT(after >= 0.8 && after <= 2.8);
        tenths.insert(static_cast<int>(after * 10));
      }
      CPPUNIT_ASSERT(tenths.size() > 15);
    });
    Section("the delay stays within the time that the caller has left", [&] {
      CPPUNIT_ASSERT(RetryAfterSeconds(Milliseconds(900), random) <= 0.3);
    });
  }

  void TestServerChoice()
  {
    RandomSource random(1);
    Section("without candidates nothing is chosen",
            [&] { CPPUNIT_ASSERT(!ChooseServer({}, random)); });
    Section("the server with the least load per slot is chosen", [&] {
      auto large = Server("large", 3);
      large.mSlots = 12;
      CPPUNIT_ASSERT_EQUAL(
        std::string("large"),
        *ChooseServer({ Server("small", 2), large }, random));
    });
    Section("an avoided server is chosen only if all are avoided", [&] {
      auto avoided = Server("avoided", 0);
      avoided.mAvoided = true;
      CPPUNIT_ASSERT_EQUAL(
        std::string("busy"),
        *ChooseServer({ avoided, Server("busy", 6) }, random));
      CPPUNIT_ASSERT_EQUAL(std::string("avoided"),
                           *ChooseServer({ avoided }, random));
    });
    Section("a server that answers slowly counts as loaded", [&] {
      auto slow = Server("slow", 0);
      slow.mLatency = milliseconds(300);
      auto fast = Server("fast", 2);
      fast.mLatency = milliseconds(30);
      CPPUNIT_ASSERT_EQUAL(std::string("fast"),
                           *ChooseServer({ slow, fast }, random));
    });
  }

  void TestHealth()
  {
    TargetHealth health;
    Section("a target is avoided after two failures in a row, not after one",
            [&] {
              health.Failed("t", At(0));
              CPPUNIT_ASSERT(!health.IsAvoided("t", At(1)));
              health.Failed("t", At(10));
              CPPUNIT_ASSERT(health.IsAvoided("t", At(700)));
              CPPUNIT_ASSERT(!health.IsAvoided("t", At(711)));
            });
    Section("the avoidance time grows up to a limit", [&] {
      for (int n = 0; n < 10; ++n) {
        health.Unreachable("t", At(1000));
      }
      CPPUNIT_ASSERT(health.IsAvoided("t", At(4900)));
      CPPUNIT_ASSERT(!health.IsAvoided("t", At(5001)));
    });
    Section("a success ends the avoidance", [&] {
      health.Unreachable("t", At(6000));
      health.Succeeded("t", milliseconds(40));
      CPPUNIT_ASSERT(!health.IsAvoided("t", At(6001)));
      CPPUNIT_ASSERT(health.Latency("t") == milliseconds(40));
    });
  }

  void TestRetryAllowance()
  {
    const FleetRetryAllowance::Bounds bounds{ 0.2,
                                              129,
                                              std::chrono::seconds(10) };
    constexpr int kHosts = 20;
    constexpr int kRequests = 22;
    Section("all hosts together stay within the bound if every request fails",
            [&] {
              int spent = 0;
              for (int host = 0; host < kHosts; ++host) {
                FleetRetryAllowance allowance(bounds);
                for (int n = 0; n < kRequests; ++n) {
                  allowance.OnRequest(At(n * 10));
                  spent += allowance.TrySpend(At(n * 10), kHosts) ? 1 : 0;
                  spent += allowance.TrySpend(At(n * 10), kHosts) ? 1 : 0;
                }
              }
              CPPUNIT_ASSERT(spent > 0);
              CPPUNIT_ASSERT(spent <= bounds.mRatio * kHosts * kRequests +
                                        bounds.mFixedAllowance);
            });
    Section("the window slides", [&] {
      FleetRetryAllowance allowance({ 0, 5, std::chrono::seconds(10) });
      int first = 0;
      while (allowance.TrySpend(At(0), 1)) {
        ++first;
      }
      CPPUNIT_ASSERT_EQUAL(3, first);
      CPPUNIT_ASSERT(!allowance.TrySpend(At(10000), 1));
      CPPUNIT_ASSERT(allowance.TrySpend(At(10001), 1));
    });
  }

  void TestSharedReads()
  {
    const SharedReads::Timing timing{
      milliseconds(150), milliseconds(90), milliseconds(150), milliseconds(800)
    };
    const std::vector<FleetHost> hosts{
      { "a", 10 }, { "b", 10 }, { "c", 200 }, { "d", 10 }
    };
    const auto without = [&](const FleetHost& aHost) {
      auto others = hosts;
      std::erase(others, aHost);
      return others;
    };
    Section(
      "ranks are unique, and the host with the fastest link is first", [&] {
        std::set<std::size_t> ranks;
        for (const auto& host : hosts) {
          ranks.insert(SharedReads::RankOf(host, without(host)));
        }
        CPPUNIT_ASSERT_EQUAL(hosts.size(), ranks.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             SharedReads::RankOf(hosts[2], without(hosts[2])));
      });
    Section("each item has one owner", [&] {
      for (const auto* item : { "x", "y", "z" }) {
        CPPUNIT_ASSERT_EQUAL(
          std::ptrdiff_t(1),
          std::count_if(hosts.begin(), hosts.end(), [&](const auto& it) {
            return SharedReads::IsOwner(it.mName, without(it), item);
          }));
        for (const auto& host : hosts) {
          CPPUNIT_ASSERT_EQUAL(
            std::string("c"),
            SharedReads::FastOwnerOf(host, without(host), item));
        }
      }
    });
    Section("a host of later rank waits for the reads of earlier ranks", [&] {
      SharedReads reads("self", timing);
      reads.Started(At(1000));
      CPPUNIT_ASSERT(reads.DueAt(0) == At(1150));
      CPPUNIT_ASSERT(reads.DueAt(2) == At(1330));
      reads.Started(At(1200));
      CPPUNIT_ASSERT(reads.DueAt(2) == At(1530));
    });
    Section("an unavailable store is read less often, down to a limit", [&] {
      SharedReads reads("self", timing);
      for (int n = 0; n < 8; ++n) {
        reads.Failed(At(2000));
      }
      CPPUNIT_ASSERT(reads.DueAt(0) == At(2800));
      reads.ResultArrived("self", At(2900));
      CPPUNIT_ASSERT(reads.DueAt(0) == At(3050));
    });
  }

  void TestFirstReads()
  {
    Section("hosts with fast links have read before slow ones begin", [&] {
      const auto fast = SharedReads::FirstReadOf(200, milliseconds(0));
      const auto slow = SharedReads::FirstReadOf(20, milliseconds(0));
      CPPUNIT_ASSERT(fast.mLatest < slow.mEarliest);
    });
    Section("no link delays the start of a host for long", [&] {
      for (const int link : { 0, 1, 10, 100, 1000 }) {
        const auto bounds = SharedReads::FirstReadOf(link, milliseconds(0));
        CPPUNIT_ASSERT(bounds.mEarliest >= milliseconds(40));
        CPPUNIT_ASSERT(bounds.mLatest >= bounds.mEarliest + milliseconds(60));
        CPPUNIT_ASSERT(bounds.mLatest <= milliseconds(400));
      }
    });
    Section("at the first start of a fleet, the hosts know each other before "
            "they read",
            [&] {
              const auto bounds =
                SharedReads::FirstReadOf(200, milliseconds(3000));
              CPPUNIT_ASSERT(bounds.mEarliest > milliseconds(3000));
            });
  }

  void TestReadersOfLargeFleet()
  {
    const SharedReads::Timing timing{
      milliseconds(150), milliseconds(90), milliseconds(150), milliseconds(800)
    };
    Section("135 hosts read a store that is unavailable for 8 s less than half "
            "as often as if each had rank 0",
            [&] {
              const auto readsOf = [&](std::size_t aRank) {
                return CountAttempts(timing, aRank);
              };
              int all = 0;
              for (std::size_t rank = 0; rank < 135; ++rank) {
                all += readsOf(rank);
              }
              CPPUNIT_ASSERT(readsOf(0) > 8);
              CPPUNIT_ASSERT(all * 2 < readsOf(0) * 135);
            });
    Section("295 hosts read it at most twice each: of those that tell the "
            "others of its return, each still reads once a second",
            [&] {
              int all = 0;
              for (std::size_t rank = 0; rank < 295; ++rank) {
                all += CountAttempts(timing, rank);
              }
              CPPUNIT_ASSERT(all <= 2 * 295);
              for (std::size_t rank = 0; rank < 3; ++rank) {
                CPPUNIT_ASSERT(CountAttempts(timing, rank) >= 8);
              }
            });
    Section("a host of a late rank that has lost all others after a failed "
            "read does not wait any longer than the first one",
            [&] {
              SharedReads reads("alone", timing);
              reads.Failed(At(1000));
              CPPUNIT_ASSERT(reads.DueAt(200) > At(6000));
              CPPUNIT_ASSERT(reads.DueAt(0) <= At(1150));
            });
    Section("hosts that the store rejects do not delay the reads of the others",
            [&] {
              SharedReads reads("fourth", timing);
              reads.Started(At(0));
              CPPUNIT_ASSERT(reads.DueAt(3) == At(420));
              reads.ResultArrived("fourth", At(420));
              CPPUNIT_ASSERT(reads.DueAt(3) == At(570));
              Section("the order of ranks applies again after a while", [&] {
                reads.ResultArrived("fourth", At(4500));
                CPPUNIT_ASSERT(reads.DueAt(3) == At(4650));
                reads.Started(At(8600));
                CPPUNIT_ASSERT(reads.DueAt(3) == At(9020));
              });
            });
    Section("a host that gets no shared reads reads within 1.2 s", [&] {
      SharedReads reads("alone", timing);
      reads.ResultArrived("other", At(0));
      CPPUNIT_ASSERT(reads.DueAt(134) <= At(1200));
    });
  }

  void TestShutdown()
  {
    constexpr auto kGrace = std::chrono::seconds(8);
    const auto takes = [&](RouteKind aKind, int aMs) {
      return AcceptsDuringShutdown(aKind, milliseconds(aMs), kGrace);
    };
    Section("callers that arrive before the platform has noticed are served",
            [&] {
              CPPUNIT_ASSERT(takes(RouteKind::kStream, 2000));
              CPPUNIT_ASSERT(takes(RouteKind::kUnsafe, 2000));
            });
    Section("a stream that arrives 5.1 s after the signal is not accepted: it "
            "would be cut off",
            [&] { CPPUNIT_ASSERT(!takes(RouteKind::kStream, 5100)); });
    Section("a plain request is accepted while it can complete", [&] {
      CPPUNIT_ASSERT(takes(RouteKind::kSafe, 5100));
      CPPUNIT_ASSERT(!takes(RouteKind::kSafe, 7300));
    });
  }

  void TestWaitAtStart()
  {
    Section("a third of the caller's time, within the first second", [&] {
      CPPUNIT_ASSERT(LongestWaitAtStart(milliseconds(50), milliseconds(900)) ==
                     milliseconds(300));
      CPPUNIT_ASSERT(
        LongestWaitAtStart(milliseconds(900), milliseconds(39000)) ==
        milliseconds(100));
    });
    Section("a host that runs for longer refuses at once", [&] {
      CPPUNIT_ASSERT(
        LongestWaitAtStart(milliseconds(1500), milliseconds(39000)) ==
        milliseconds(0));
    });
  }

  void TestEvents()
  {
    EventSplitter events;
    Section("an event is complete at its blank line", [&] {
      events.Append("id: 1\ndata: a\n");
      CPPUNIT_ASSERT(!events.Next());
      events.Append("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
      CPPUNIT_ASSERT(*events.Next() ==
                     (StreamEvent{ "id: 1\ndata: a\n\n", "1", true }));
      CPPUNIT_ASSERT(*events.Next() ==
                     (StreamEvent{ "id: 2\r\ndata: b\r\n\r\n", "2", true }));
      CPPUNIT_ASSERT(!events.Next());
      CPPUNIT_ASSERT(events.HasPartial());
    });
    Section("an event that arrives in parts keeps its bytes", [&] {
      events.Append("ta: c\n\n");
      CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n\n"),
                           events.Next()->mBytes);
      CPPUNIT_ASSERT(!events.HasPartial());
    });
    Section("returned events leave memory, though part of one is always left",
            [&] {
              EventSplitter always;
              for (int n = 0; n < 10000; ++n) {
                always.Append("a: b\n\nid: 1\ndata: c\n\nid: 2\nda");
                while (always.Next()) {
                }
                always.Append("ta: d\n\n");
              }
              CPPUNIT_ASSERT(always.HeldBytes() < 1000);
            });
    Section("a large event leaves memory with the next ones", [&] {
      EventSplitter large;
      large.Append("data: " + std::string(1000000, 'x') + "\n\nda");
      CPPUNIT_ASSERT(large.Next());
      CPPUNIT_ASSERT(!large.Next());
      CPPUNIT_ASSERT(large.HeldBytes() < 1000);
    });
    Section("a comment has no content", [&] {
      events.Append(": wait\n\ndata: d\n\n");
      CPPUNIT_ASSERT(*events.Next() ==
                     (StreamEvent{ ": wait\n\n", "", false }));
      CPPUNIT_ASSERT(*events.Next() ==
                     (StreamEvent{ "data: d\n\n", "", true }));
    });
  }

  void TestLongestSilence()
  {
    Section("a stuck engine is given up after some times the goal", [&] {
      CPPUNIT_ASSERT(LongestSilence(milliseconds(400), milliseconds(40)) ==
                     milliseconds(2400));
    });
    Section("a sound engine that pauses for a second is not", [&] {
      CPPUNIT_ASSERT(LongestSilence(milliseconds(180), milliseconds(40)) ==
                     milliseconds(1500));
      CPPUNIT_ASSERT(LongestSilence(milliseconds(20), milliseconds(0)) ==
                     milliseconds(1500));
    });
    Section("an engine that has shown longer gaps keeps its stream", [&] {
      CPPUNIT_ASSERT(LongestSilence(milliseconds(180), milliseconds(700)) ==
                     milliseconds(2100));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace ragwortdeck
