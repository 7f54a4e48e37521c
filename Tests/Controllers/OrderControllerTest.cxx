#include "Controllers/OrderWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <set>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief Engines reach the wanted state, and no failure on the way unloads a
/// last replica or exceeds the weight rate.
class OrderControllerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderControllerTest);
  CPPUNIT_TEST(TestReachesWantedState);
  CPPUNIT_TEST(TestRollingVersion);
  CPPUNIT_TEST(TestVersionWithoutSpareMemory);
  CPPUNIT_TEST(TestUnloads);
  CPPUNIT_TEST(TestLeavingAndLostEngines);
  CPPUNIT_TEST(TestEngineDiesWhileLoading);
  CPPUNIT_TEST(TestOrderFaults);
  CPPUNIT_TEST(TestHolderKilledAtEachStep);
  CPPUNIT_TEST(TestTwoBelievers);
  CPPUNIT_TEST(TestWeightBudget);
  CPPUNIT_TEST(TestNoTableNoOrders);
  CPPUNIT_TEST_SUITE_END();

  static void AssertRate(const OrderWorld& aWorld)
  {
    CPPUNIT_ASSERT(aWorld.WorstWindow(aWorld.mSettings.mWeightWindow) <=
                   aWorld.mSettings.mWeightBytes);
  }

  static void AssertReplicas(const OrderWorld& aWorld,
                             const std::string& aVersion,
                             std::size_t aReplicas)
  {
    CPPUNIT_ASSERT_EQUAL(aReplicas, aWorld.Ready("m", aVersion).size());
    CPPUNIT_ASSERT_EQUAL(0, aWorld.mLastReplicaUnloads);
    AssertRate(aWorld);
  }

  static constexpr std::size_t kEngines = 4;
  // More than any of the walks reaches.
  static constexpr int kMaxSteps = 2000;

  /// A world in which the wanted version has just changed.
  static std::unique_ptr<OrderWorld> VersionChange(bool aChecksFencing,
                                                   std::size_t aHosts)
  {
    OrderedEngine::Options options;
    options.mChecksFencing = aChecksFencing;
    auto world = std::make_unique<OrderWorld>(aHosts, kEngines, options);
    world->SetModel("m", 2, "v1");
    world->mScheduler.Advance(4min);
    AssertReplicas(*world, "v1", 2);
    world->SetModel("m", 2, "v2");
    return world;
  }

  /// Lets the fault happen at one step of the holder. False when the version
  /// change is over before that step.
  static bool FaultAtStep(OrderWorld& aWorld, int aStep, ProcessFault aFault)
  {
    const auto holder = aWorld.Holder();
    int step = 0;
    bool reached = false;
    aWorld.mStepFault = [&](std::size_t aHost) {
      const bool hit = aHost == holder && step++ == aStep;
      reached = reached || hit;
      return hit ? aFault : ProcessFault{};
    };
    aWorld.mScheduler.Advance(75s);
    const bool during = reached;
    aWorld.mScheduler.Advance(12min);
    aWorld.mStepFault = nullptr;
    return during;
  }

public:
  void TestReachesWantedState()
  {
    OrderWorld world(3, 6, {});
    world.SetModel("m", 3, "v1", { "a", "b" });
    world.SetModel("n", 2, "v1");
    world.mScheduler.Advance(8min);
    AssertReplicas(world, "v1", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.Ready("n", "v1").size());
    Section("replicas are spread over the failure domains", [&world] {
      std::set<std::size_t> domains;
      for (const auto engine : world.Ready("m", "v1")) {
        domains.insert(engine % 3);
        const auto& models = world.Engine(engine).State().mModels;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), models.front().mAdapters.size());
        CPPUNIT_ASSERT_EQUAL(std::string("serving"),
                             world.Engine(engine).State().mRole);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), domains.size());
    });
    Section("engines with free memory are preferred", [&world] {
      for (std::size_t n = 0; n < 6; ++n) {
        CPPUNIT_ASSERT(world.Engine(n).State().mModels.size() <= 1);
      }
    });
    Section("nothing is ordered once the state is as wanted", [&world] {
      const auto holder = world.Holder();
      const auto sent = world.mHosts[holder]->mController->Counters().mSent;
      world.mScheduler.Advance(10min);
      CPPUNIT_ASSERT_EQUAL(sent,
                           world.mHosts[holder]->mController->Counters().mSent);
    });
  }

  void TestRollingVersion()
  {
    OrderWorld world(2, 3, {});
    world.SetModel("m", 2, "v1");
    world.mScheduler.Advance(5min);
    world.SetModel("m", 2, "v2");
    world.mScheduler.Advance(10min);
    AssertReplicas(world, "v2", 2);
    CPPUNIT_ASSERT(world.Ready("m", "v1").empty());
  }

  /// Each engine holds one model; the version can change only by unloading.
  void TestVersionWithoutSpareMemory()
  {
    OrderedEngine::Options small;
    small.mMemoryBytes = 50;
    OrderWorld world(2, 2, small);
    world.SetModel("m", 2, "v1");
    world.mScheduler.Advance(5min);
    AssertReplicas(world, "v1", 2);
    world.SetModel("m", 2, "v2");
    world.mScheduler.Advance(10min);
    AssertReplicas(world, "v2", 2);
    Section("the only replica stays", [&small] {
      OrderWorld single(1, 1, small);
      single.SetModel("m", 1, "v1");
      single.mScheduler.Advance(5min);
      single.SetModel("m", 1, "v2");
      single.mScheduler.Advance(10min);
      AssertReplicas(single, "v1", 1);
    });
  }

  void TestUnloads()
  {
    OrderWorld world(2, 4, {});
    world.SetModel("m", 3, "v1");
    world.SetModel("n", 2, "v1");
    world.mScheduler.Advance(8min);
    world.SetModel("m", 1, "v1");
    world.SetModel("n", 0, "v1");
    world.mScheduler.Advance(3min);
    AssertReplicas(world, "v1", 1);
    CPPUNIT_ASSERT(world.Ready("n", "v1").empty());
  }

  void TestLeavingAndLostEngines()
  {
    OrderWorld world(2, 4, {});
    world.SetModel("m", 2, "v1");
    world.mScheduler.Advance(5min);
    const auto first = world.Ready("m", "v1").front();
    world.Mark(first, TargetState::kLeaving);
    const auto marked = world.mScheduler.Now();
    world.mScheduler.Advance(5min);
    Section("a leaving engine gets no order and is replaced", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.Ready("m", "v1").size());
      CPPUNIT_ASSERT(world.mReceived[first].back() <= marked);
    });
    Section("a dead engine is replaced", [&] {
      world.Engine(first).Die();
      world.Engine(world.Ready("m", "v1").front()).Die();
      world.mScheduler.Advance(5min);
      AssertReplicas(world, "v1", 2);
    });
  }

  void TestEngineDiesWhileLoading()
  {
    for (const bool restarts : { false, true }) {
      OrderWorld world(2, 3, {});
      world.SetModel("m", 1, "v1");
      while (world.mLoads.empty()) {
        world.mScheduler.Advance(1s);
      }
      for (std::size_t n = 0; n < 3; ++n) {
        if (!world.Engine(n).State().mModels.empty()) {
          world.Engine(n).Die();
          if (restarts) {
            world.Engine(n).Restart();
          }
        }
      }
      world.mScheduler.Advance(5min);
      AssertReplicas(world, "v1", 1);
    }
  }

  /// Orders that are lost, delayed to the end of their lifetime or doubled
  /// must lead to the wanted state with no replica too many or too few.
  void TestOrderFaults()
  {
    for (const bool checks : { true, false }) {
      for (int kind = 1; kind <= 4; ++kind) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
          OrderedEngine::Options options;
          options.mChecksFencing = checks;
          OrderWorld world(2, 4, options, seed);
          RandomSource random(seed);
          world.mOrderFault = [&random, kind] {
            return random.Chance(0.4) ? OrderFault(kind) : OrderFault::kNone;
          };
          world.SetModel("m", 2, "v1");
          world.mScheduler.Advance(10min);
          AssertReplicas(world, "v1", 2);
          CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.mLoads.size());
          world.SetModel("m", 2, "v2");
          world.mScheduler.Advance(15min);
          AssertReplicas(world, "v2", 2);
          CPPUNIT_ASSERT(world.Ready("m", "v1").empty());
        }
      }
    }
  }

  /// The holder dies at each of its steps during a version change, and is
  /// replaced by another host.
  void TestHolderKilledAtEachStep()
  {
    int steps = 0;
    for (const bool checks : { true, false }) {
      for (int at = 0; at < kMaxSteps; ++at, ++steps) {
        auto world = VersionChange(checks, 2);
        if (!FaultAtStep(*world, at, { ProcessFault::Type::kKill, {} })) {
          break;
        }
        AssertReplicas(*world, "v2", 2);
      }
    }
    CPPUNIT_ASSERT(steps > 200);
    std::cerr << " (" << steps << " steps)";
  }

  /// A holder whose clock stood still during a pause still believes in its
  /// lease, also when it pauses between the look at the lease key and the
  /// sending. Engines that check tokens refuse it. The others execute at most
  /// the orders of that one cycle and are put right.
  void TestTwoBelievers()
  {
    int steps = 0;
    std::uint64_t refused = 0;
    int executed = 0;
    for (const bool checks : { true, false }) {
      for (int at = 0; at < kMaxSteps; ++at, ++steps) {
        auto world = VersionChange(checks, 3);
        for (const auto& host : world->mHosts) {
          host->mProcess.mClockStopsWhileFrozen = true;
        }
        const ProcessFault pause{ ProcessFault::Type::kFreezeRepliesFirst,
                                  90s };
        if (!FaultAtStep(*world, at, pause)) {
          break;
        }
        AssertReplicas(*world, "v2", 2);
        CPPUNIT_ASSERT(world->Ready("m", "v1").empty());
        for (std::size_t n = 0; n < kEngines; ++n) {
          refused += world->Engine(n).mStaleOrders;
        }
        for (const auto& [fencing, count] : world->mStaleExecuted) {
          CPPUNIT_ASSERT(count <= int(kEngines));
          executed += count;
          CPPUNIT_ASSERT(!checks);
        }
      }
    }
    // The pause must have fallen between look and sending in some runs.
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT(executed > 0);
    std::cerr << " (" << steps << " steps, " << refused
              << " stale orders refused, " << executed
              << " executed by engines that ignore tokens)";
  }

  void TestWeightBudget()
  {
    Section("two holders together stay within the rate", [] {
      OrderWorld world(4, 12, {});
      world.SetModel("m", 12, "v1");
      for (int n = 0; n < 3; ++n) {
        world.mScheduler.Advance(2min);
        const auto holder = world.Holder();
        CPPUNIT_ASSERT(holder < 4);
        world.mHosts[holder]->mProcess.Kill();
      }
      world.mScheduler.Advance(10min);
      AssertReplicas(world, "v1", 12);
    });
    Section("the budget is empty at first and never exceeded", [] {
      const MonotonicTime start{ 100s };
      WeightBudget budget(10, 60s, start);
      CPPUNIT_ASSERT(!budget.Spend(1, start + 60s));
      CPPUNIT_ASSERT(budget.Spend(6, start + 61s));
      CPPUNIT_ASSERT(!budget.Spend(5, start + 121s));
      CPPUNIT_ASSERT(budget.Spend(5, start + 122s));
      CPPUNIT_ASSERT(!budget.CanEverSpend(11));
    });
  }

  /// Guards against unloading everything because the table is not there yet.
  void TestNoTableNoOrders()
  {
    OrderWorld world(1, 1, {});
    EngineOrder load;
    load.mId = "by-hand";
    load.mAction = OrderAction::kLoadModel;
    load.mModel = ModelName("m");
    world.Engine(0).Receive(load);
    OrderHooks hooks;
    hooks.mView = [] { return std::make_shared<const SiteView>(); };
    int calls = 0;
    hooks.mReadState = [&calls](const auto&, const auto&) { ++calls; };
    OrderController controller(world.mHosts[0]->mProcess,
                               *world.mHosts[0]->mLease,
                               RandomSource(1),
                               world.mSettings,
                               hooks);
    world.mHosts[0]->mController->Stop();
    controller.Start();
    world.mScheduler.Advance(2min);
    CPPUNIT_ASSERT_EQUAL(0, calls);
    CPPUNIT_ASSERT(world.Engine(0).HasReady(ModelName("m")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderControllerTest);

} // namespace ragwortdeck
