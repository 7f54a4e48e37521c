#include "Controllers/ActionWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief Single behaviours of at-most-once actions; the fault walk covers
/// their combinations.
class ActionExecutorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ActionExecutorTest);
  CPPUNIT_TEST(TestCallsPerAction);
  CPPUNIT_TEST(TestRepeats);
  CPPUNIT_TEST(TestRefusedKeys);
  CPPUNIT_TEST(TestDuplicates);
  CPPUNIT_TEST(TestUnreachableServiceCanBeRepeated);
  CPPUNIT_TEST(TestAbandonedAfterOutage);
  CPPUNIT_TEST(TestQueryByKey);
  CPPUNIT_TEST(TestLongAnswer);
  CPPUNIT_TEST(TestRetention);
  CPPUNIT_TEST(TestWakeAfterRetention);
  CPPUNIT_TEST(TestLeaseLost);
  CPPUNIT_TEST(TestRepairMemory);
  CPPUNIT_TEST(TestRecordKeysAreDistinct);
  CPPUNIT_TEST_SUITE_END();

  using World = ActionWorld;

  static std::vector<ActionResult>& Collect(World& aWorld,
                                            std::size_t aHost,
                                            const ActionCall& aCall,
                                            std::vector<ActionResult>& aResults)
  {
    aWorld.Call(
      aHost, aCall, aCall.mBody, [&aResults](const ActionResult& aResult) {
        aResults.push_back(aResult);
      });
    return aResults;
  }

  static ActionResult Run(World& aWorld,
                          std::size_t aHost,
                          const ActionCall& aCall)
  {
    std::vector<ActionResult> results;
    Collect(aWorld, aHost, aCall, results);
    aWorld.mScheduler.Advance(11s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), results.size());
    return results.front();
  }

  static std::string StateOf(const ActionResult& aResult)
  {
    return ToText(aResult.mVerdict.mState);
  }

public:
  /// Guards the stated cost: two key-value calls per action, and one lease
  /// per host and time bucket.
  void TestCallsPerAction()
  {
    constexpr int kActions = 100;
    World world(1, {});
    for (int n = 0; n < kActions; ++n) {
      const auto id = "a" + std::to_string(n);
      CPPUNIT_ASSERT_EQUAL(std::string("ran"),
                           StateOf(Run(world, 0, World::MakeCall(id, id))));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.mService->mReads);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2 * kActions + 1),
                         world.mService->mWrites);
    CPPUNIT_ASSERT(world.Violations().empty());
  }

  void TestRepeats()
  {
    World world(2, {});
    const auto call = World::MakeCall("deposit", "k");
    const auto first = Run(world, 0, call);
    for (std::size_t host = 0; host < 2; ++host) {
      const auto again = Run(world, host, call);
      CPPUNIT_ASSERT_EQUAL(std::string("ran"), StateOf(again));
      CPPUNIT_ASSERT(again.mRepeated);
      CPPUNIT_ASSERT(again.mOutcome == first.mOutcome);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.History().mRuns.size());
  }

  void TestRefusedKeys()
  {
    World world(1, {});
    Section("a missing key is refused before any call", [&] {
      const auto result = Run(world, 0, World::MakeCall("deposit", ""));
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), StateOf(result));
      CPPUNIT_ASSERT_EQUAL(400, result.mVerdict.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), world.mService->mWrites);
    });
    Section("a key is refused for another body, also while in flight", [&] {
      std::vector<ActionResult> results;
      Collect(world, 0, World::MakeCall("deposit", "k"), results);
      const auto other = Run(world, 0, World::MakeCall("other", "k"));
      CPPUNIT_ASSERT_EQUAL(409, other.mVerdict.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), StateOf(other));
      const auto later = Run(world, 0, World::MakeCall("other", "k"));
      CPPUNIT_ASSERT_EQUAL(409, later.mVerdict.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("ran"), StateOf(results.at(0)));
    });
  }

  void TestDuplicates()
  {
    Section("on one host, they share one attempt", [] {
      World world(1, {});
      std::vector<ActionResult> results;
      for (int n = 0; n < 3; ++n) {
        Collect(world, 0, World::MakeCall("deposit", "k"), results);
      }
      world.mScheduler.Advance(1s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), results.size());
      for (const auto& result : results) {
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), StateOf(result));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.History().mRuns.size());
    });
    Section("on two hosts, one runs and one may have run", [] {
      World world(2, {});
      std::vector<ActionResult> results;
      Collect(world, 0, World::MakeCall("deposit", "k"), results);
      Collect(world, 1, World::MakeCall("deposit", "k"), results);
      world.mScheduler.Advance(1s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), results.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.History().mRuns.size());
      CPPUNIT_ASSERT(world.Violations().empty());
    });
  }

  void TestUnreachableServiceCanBeRepeated()
  {
    World world(2, {});
    world.mDispatchFault = [] { return DispatchFault::kNotSent; };
    std::vector<ActionResult> results;
    Collect(world, 0, World::MakeCall("deposit", "k"), results);
    world.mScheduler.Advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), StateOf(results.at(0)));
    world.mDispatchFault = nullptr;
    CPPUNIT_ASSERT_EQUAL(
      std::string("ran"),
      StateOf(Run(world, 1, World::MakeCall("deposit", "k"))));
    CPPUNIT_ASSERT(world.Violations().empty());
  }

  /// Guards against records that stay "may-have-run" for 7 days although
  /// their attempt was answered "not-run" when the service went down.
  void TestAbandonedAfterOutage()
  {
    World world(2, {});
    Run(world, 0, World::MakeCall("warm-up", "w"));
    bool lose = true;
    world.mKeyFault = [&lose] {
      return lose ? ProcessCallFault::kReplyLost : ProcessCallFault::kNone;
    };
    std::vector<ActionResult> results;
    Collect(world, 0, World::MakeCall("deposit", "k"), results);
    world.mScheduler.Advance(2500ms);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), StateOf(results.at(0)));
    lose = false;
    world.mScheduler.Advance(15s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.Executor(0).Repair().Pending());
    CPPUNIT_ASSERT_EQUAL(
      std::string("ran"),
      StateOf(Run(world, 1, World::MakeCall("deposit", "k"))));
    CPPUNIT_ASSERT(world.Violations().empty());
  }

  void TestQueryByKey()
  {
    for (const bool queries : { false, true }) {
      World world(2, {});
      world.mQueries = queries;
      // The first call learns nothing before its answer limit.
      world.mDispatchTimeout = 15s;
      world.mDispatchFault = [] { return DispatchFault::kReplyLost; };
      std::vector<ActionResult> results;
      Collect(world, 0, World::MakeCall("deposit", "k"), results);
      world.mScheduler.Advance(10100ms);
      CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), StateOf(results.at(0)));
      const auto repeat = Run(world, 1, World::MakeCall("deposit", "k"));
      CPPUNIT_ASSERT_EQUAL(std::string(queries ? "ran" : "may-have-run"),
                           StateOf(repeat));
      CPPUNIT_ASSERT(world.Violations().empty());
    }
  }

  /// A partial answer is never presented as whole.
  void TestLongAnswer()
  {
    ActionSettings settings;
    settings.mMaxKeptBody = 4;
    World world(1, settings);
    const auto call = World::MakeCall("deposit", "k");
    CPPUNIT_ASSERT_EQUAL(std::string("receipt 0"),
                         Run(world, 0, call).mOutcome.mBody);
    const auto repeat = Run(world, 0, call);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), StateOf(repeat));
    CPPUNIT_ASSERT(!repeat.mOutcome.mBodyKept);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_body_not_kept"),
                         repeat.mVerdict.mCode);
    CPPUNIT_ASSERT_EQUAL(ActionDigest("receipt 0"),
                         repeat.mOutcome.mBodyDigest);
  }

  void TestRetention()
  {
    World world(1, {});
    // At the end of a bucket, where the lease is oldest.
    Run(world, 0, World::MakeCall("warm-up", "w"));
    world.mScheduler.Advance(6h - 15s);
    Run(world, 0, World::MakeCall("deposit", "k"));
    const auto kept = [&world] {
      world.mService->mState.ExpireLeases(world.mScheduler.Now());
      return world.mService->mState.Range(
        ActionRecordKey(TeamName("taa"), "deposit/capture", "k"), false);
    };
    world.mScheduler.Advance(24h * 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), kept().mKeys.size());
    world.mScheduler.Advance(6h + 10min);
    CPPUNIT_ASSERT(kept().mKeys.empty());
  }

  /// A host that was paused before its dispatch wakes when its record is gone
  /// and another host has run the action. Only the dispatch window on a clock
  /// that counts the pause keeps it from a second run.
  void TestWakeAfterRetention()
  {
    for (const bool clockStops : { false, true }) {
      World world(2, {});
      world.Process(0).mClockStopsWhileFrozen = clockStops;
      int step = 0;
      world.mStepFault = [&step](std::size_t aHost) {
        // Steps 0 to 2: the call, the lease, the reply to the create.
        const bool hit = aHost == 0 && step++ == 2;
        return hit ? ProcessFault{ ProcessFault::Type::kFreezeRepliesFirst,
                                   24h * 8 }
                   : ProcessFault{};
      };
      const auto call = World::MakeCall("deposit", "k");
      std::vector<ActionResult> results;
      Collect(world, 0, call, results);
      world.mScheduler.Advance(24h * 7 + 7h);
      CPPUNIT_ASSERT_EQUAL(std::string("ran"), StateOf(Run(world, 1, call)));
      world.mScheduler.Advance(24h * 2);
      CPPUNIT_ASSERT_EQUAL(std::size_t(clockStops ? 2 : 1),
                           world.History().mRuns.size());
      CPPUNIT_ASSERT_EQUAL(clockStops, !world.Violations().empty());
    }
  }

  /// A restored key-value service has forgotten the bucket's lease.
  void TestLeaseLost()
  {
    World world(1, {});
    Run(world, 0, World::MakeCall("warm-up", "w"));
    world.mService->mState.RevokeLease(1);
    CPPUNIT_ASSERT_EQUAL(
      std::string("ran"),
      StateOf(Run(world, 0, World::MakeCall("deposit", "k"))));
  }

  /// Background writes stay within their bound while the service is down.
  void TestRepairMemory()
  {
    ActionSettings settings;
    settings.mRepair.mMaxItems = 10;
    World world(1, settings);
    Run(world, 0, World::MakeCall("warm-up", "w"));
    std::vector<ActionResult> results;
    for (int n = 0; n < 50; ++n) {
      const auto id = "a" + std::to_string(n);
      Collect(world, 0, World::MakeCall(id, id), results);
    }
    world.mService->mDown = true;
    world.mScheduler.Advance(1min);
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), results.size());
    const auto& repair = world.Executor(0).Repair();
    CPPUNIT_ASSERT(repair.Pending() <= 10);
    CPPUNIT_ASSERT(repair.Dropped() >= 40);
    world.mService->mDown = false;
    world.mScheduler.Advance(1min);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), repair.Pending());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), repair.Bytes());
    CPPUNIT_ASSERT(world.Violations().empty());
  }

  /// Guards against two actions that share a record because of a "/" in a
  /// name.
  void TestRecordKeysAreDistinct()
  {
    CPPUNIT_ASSERT(ActionRecordKey(TeamName("a/b"), "c", "d") !=
                   ActionRecordKey(TeamName("a"), "b/c", "d"));
    CPPUNIT_ASSERT(!DecodeActionRecord("{}"));
    CPPUNIT_ASSERT(!DecodeActionRecord(R"({"state":"outcome","attempt":"a"})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActionExecutorTest);

} // namespace ragwortdeck
