#include "Controllers/LeaseWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief One holder at a time, whatever is lost, paused or down.
class LeaderLeaseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaderLeaseTest);
  CPPUNIT_TEST(TestOneHolder);
  CPPUNIT_TEST(TestEachCallFault);
  CPPUNIT_TEST(TestPausedHolder);
  CPPUNIT_TEST(TestStoppedClockMakesTwoBelievers);
  CPPUNIT_TEST(TestWallClockJumps);
  CPPUNIT_TEST(TestSlowRenewalDoesNotExtend);
  CPPUNIT_TEST(TestDeletedKey);
  CPPUNIT_TEST(TestGracefulStop);
  CPPUNIT_TEST(TestRandomFaults);
  CPPUNIT_TEST(TestOutageWithoutStampede);
  CPPUNIT_TEST(TestReadsDoNotGrowWithHosts);
  CPPUNIT_TEST(TestSurvivorsLookSoon);
  CPPUNIT_TEST_SUITE_END();

  static std::size_t HolderOf(const LeaseWorld& aWorld)
  {
    const auto believers = aWorld.Believers();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), believers.size());
    return believers.front();
  }

public:
  void TestOneHolder()
  {
    LeaseWorld world(5);
    CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(60s));
    const auto first = HolderOf(world);
    const auto token = world.mHosts[first]->mLease->Fencing();
    Section("the holder keeps it", [&] {
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(10min));
      CPPUNIT_ASSERT_EQUAL(first, HolderOf(world));
      CPPUNIT_ASSERT_EQUAL(token, world.mHosts[first]->mLease->Fencing());
    });
    Section("after its death another has it with a higher token", [&] {
      world.mHosts[first]->mProcess.Kill();
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(45s));
      const auto second = HolderOf(world);
      CPPUNIT_ASSERT(second != first);
      CPPUNIT_ASSERT(world.mHosts[second]->mLease->Fencing() > token);
    });
  }

  /// Lost grant, commit, renewal and verification replies, each kind at each
  /// of the first calls, must neither give two holders nor none for good.
  void TestEachCallFault()
  {
    for (int kind = 1; kind <= 5; ++kind) {
      for (int at = 0; at < 30; ++at) {
        LeaseWorld world(2);
        int call = 0;
        for (const auto& host : world.mHosts) {
          host->mStore->mFaultHook = [&call, kind, at] {
            // Twice in a row, so that the first repeat fails as well.
            const bool hit = call == at || call == at + 1;
            ++call;
            return hit ? ProcessCallFault(kind) : ProcessCallFault::kNone;
          };
        }
        CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(120s));
        HolderOf(world);
      }
    }
  }

  void TestPausedHolder()
  {
    for (const bool timersFirst : { true, false }) {
      LeaseWorld world(3);
      world.WrongMoments(60s);
      const auto paused = HolderOf(world);
      world.mHosts[paused]->mProcess.Freeze(40s, timersFirst);
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(120s));
      CPPUNIT_ASSERT(HolderOf(world) != paused);
    }
  }

  /// What the own deadline cannot cover, and the reason for fencing tokens: a
  /// process whose monotonic clock stands still during a pause. Also shows
  /// that the check for wrong moments is able to fail.
  void TestStoppedClockMakesTwoBelievers()
  {
    LeaseWorld world(3);
    for (const auto& host : world.mHosts) {
      host->mProcess.mClockStopsWhileFrozen = true;
    }
    world.WrongMoments(60s);
    world.mHosts[HolderOf(world)]->mProcess.Freeze(60s, false);
    CPPUNIT_ASSERT(world.WrongMoments(120s) > 0);
  }

  void TestWallClockJumps()
  {
    LeaseWorld world(3);
    world.WrongMoments(60s);
    const auto holder = HolderOf(world);
    for (const auto jump : { Duration(24h), Duration(-48h) }) {
      world.mScheduler.JumpWallClock(jump);
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(60s));
      CPPUNIT_ASSERT_EQUAL(holder, HolderOf(world));
    }
  }

  /// A renewal whose request takes long counts from before it was sent.
  void TestSlowRenewalDoesNotExtend()
  {
    LeaseWorld world(1);
    world.WrongMoments(30s);
    auto& inner = world.mHosts[0]->mStore->Inner();
    inner.mLatency = 6s;
    CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(120s));
  }

  void TestDeletedKey()
  {
    LeaseWorld world(2);
    world.WrongMoments(60s);
    const auto holder = HolderOf(world);
    const auto token = world.mHosts[holder]->mLease->Fencing();
    world.mService->mState
      .Commit({ {}, { KeyOperation::Delete("/ragwort/leases/orders") }, {} })
      .value();
    world.mScheduler.Advance(60s);
    CPPUNIT_ASSERT(world.mHosts[HolderOf(world)]->mLease->Fencing() > token);
  }

  void TestGracefulStop()
  {
    LeaseWorld world(2);
    world.WrongMoments(60s);
    const auto holder = HolderOf(world);
    world.mHosts[holder]->mLease->Stop();
    CPPUNIT_ASSERT(world.Believers().empty());
    CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(30s));
    CPPUNIT_ASSERT(HolderOf(world) != holder);
  }

  void TestRandomFaults()
  {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      LeaseWorld world(4, seed);
      RandomSource random(seed + 1000);
      for (const auto& host : world.mHosts) {
        host->mStore->mFaultHook = [&random] {
          return random.Chance(0.3) ? ProcessCallFault(1 + random.Below(5))
                                    : ProcessCallFault::kNone;
        };
        host->mProcess.mStepHook = [&random] {
          ProcessFault fault;
          if (random.Chance(0.02)) {
            fault.mType = random.Chance(0.5)
                            ? ProcessFault::Type::kFreezeTimersFirst
                            : ProcessFault::Type::kFreezeRepliesFirst;
            fault.mFreeze = Duration(random.Below(40'000'000));
          }
          return fault;
        };
      }
      Section("seed " + std::to_string(seed),
              [&world] { CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(5min)); });
    }
  }

  /// Guards against a stampede of 20 hosts on a service that has just come
  /// back, and against calls that keep it down.
  void TestOutageWithoutStampede()
  {
    constexpr std::size_t kHosts = 20;
    LeaseWorld world(kHosts);
    world.WrongMoments(60s);
    const auto steady = world.Calls();
    world.mScheduler.Advance(60s);
    const auto perMinute = world.Calls() - steady;
    world.mService->mDown = true;
    const auto before = world.Calls();
    world.mScheduler.Advance(1h);
    const auto during = world.Calls() - before;
    CPPUNIT_ASSERT(world.Believers().empty());
    world.mService->mDown = false;
    std::uint64_t worstSecond = 0;
    std::uint64_t firstMinute = 0;
    for (int second = 0; second < 120; ++second) {
      const auto start = world.Calls();
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(1s));
      worstSecond = std::max(worstSecond, world.Calls() - start);
      firstMinute += second < 60 ? world.Calls() - start : 0;
    }
    HolderOf(world);
    std::cerr << " (20 hosts: " << perMinute << " calls in a steady minute, "
              << during << " in the outage hour, " << firstMinute
              << " in the first minute after it, at most " << worstSecond
              << " in a second)";
    // At most one call per host and 30 s on average: half the longest pause.
    CPPUNIT_ASSERT(during <= kHosts * 120);
    CPPUNIT_ASSERT(worstSecond <= kHosts / 2);
  }

  /// Guards against a load on the key-value service that grows with the site:
  /// 1,100 hosts that each look every 15 s would make 73 reads/s.
  void TestReadsDoNotGrowWithHosts()
  {
    constexpr std::size_t kHosts = 400;
    LeaseWorld world(kHosts);
    for (const auto& host : world.mHosts) {
      host->mLease->OnLiveHosts(kHosts);
    }
    world.WrongMoments(10min);
    const auto before = world.Calls();
    world.WrongMoments(10min);
    const auto perSecond = double(world.Calls() - before) / 600;
    // 20 hosts per 15 s, and the holder's renewal and look every 5 s; the mean
    // of a jittered pause varies by less than a fifth over that many looks.
    CPPUNIT_ASSERT(perSecond < (20.0 / 15 + 2.0 / 5) * 1.2);
    Section("a lost holder is replaced as soon as on a small site", [&] {
      world.mHosts[HolderOf(world)]->mProcess.Kill();
      CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(45s));
      HolderOf(world);
    });
    Section("status names the holder", [&] {
      world.WrongMoments(10min);
      const auto holder = HolderOf(world);
      const auto name = HostId("entry-" + std::to_string(holder));
      for (const auto& host : world.mHosts) {
        if (!host->mProcess.IsKilled()) {
          CPPUNIT_ASSERT(host->mLease->Holder() == name);
        }
      }
    });
  }

  /// Guards against survivors that wait out the long pauses of a large site
  /// after most of it was lost: at 400 hosts the mean pause is 5 minutes.
  void TestSurvivorsLookSoon()
  {
    constexpr std::size_t kHosts = 400;
    constexpr std::size_t kSurvivors = 4;
    LeaseWorld world(kHosts);
    for (const auto& host : world.mHosts) {
      host->mLease->OnLiveHosts(kHosts);
    }
    world.WrongMoments(10min);
    for (std::size_t n = kSurvivors; n < kHosts; ++n) {
      world.mHosts[n]->mProcess.Kill();
    }
    for (std::size_t n = 0; n < kSurvivors; ++n) {
      world.mHosts[n]->mLease->OnLiveHosts(kSurvivors);
    }
    CPPUNIT_ASSERT_EQUAL(0, world.WrongMoments(45s));
    HolderOf(world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderLeaseTest);

} // namespace ragwortdeck
