#include "Serving/DeparturePlanner.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

/// 163,840 bytes a token over 24 Gbit/s, as on the sites.
constexpr double kMsPerToken = 0.0546;
constexpr Milliseconds kNotice{ 1400 };
constexpr std::int64_t kFree = 20000;

DepartingRun
Run(const std::string& aEngine, std::uint64_t aRun, std::int64_t aTokens)
{
  DepartingRun run;
  run.mEngine = aEngine;
  run.mHost = "10.1.0.1";
  run.mRun = aRun;
  run.mTokens = aTokens;
  run.mNeededTokens = aTokens + 800;
  run.mRemainingMs = 9000;
  run.mValue = 900;
  return run;
}

const PlannedCopy*
Find(const std::vector<PlannedCopy>& aSlots, std::uint64_t aRun)
{
  const auto it =
    std::find_if(aSlots.begin(), aSlots.end(), [&](const PlannedCopy& aName) {
      return aName.mRun == aRun;
    });
  return it == aSlots.end() ? nullptr : &*it;
}

} // namespace

/// \brief Engines are taken away at a short notice.
class DeparturePlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeparturePlanTest);
  CPPUNIT_TEST(TestOneEngine);
  CPPUNIT_TEST(TestTwoEnginesTogether);
  CPPUNIT_TEST(TestRoom);
  CPPUNIT_TEST(TestUnknown);
  CPPUNIT_TEST(TestLateHosts);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestOneEngine()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice } };
    Section("copies follow each other on the engine's link", [&] {
      const auto slots = PlanDepartures(
        { Run("e1", 1, 3500), Run("e1", 2, 3500), Run("e1", 3, 3500) },
        engines,
        { { "d1", "a", kFree, 20 }, { "d2", "a", kFree, 20 } },
        kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), slots.size());
      const auto took = static_cast<std::int64_t>(3500 * kMsPerToken);
      for (std::size_t n = 1; n < slots.size(); ++n) {
        CPPUNIT_ASSERT(
          slots[n].mFirstCopyStartMs - slots[n - 1].mFirstCopyStartMs >= took);
      }
    });
    Section("no copy is planned that ends after the latest stop", [&] {
      std::vector<DepartingRun> runs;
      for (std::uint64_t n = 1; n <= 12; ++n) {
        runs.push_back(Run("e1", n, 3500));
      }
      const auto slots = PlanDepartures(
        runs, engines, { { "d1", "a", 100000, 24 } }, kMsPerToken);
      CPPUNIT_ASSERT(!slots.empty() && slots.size() < runs.size());
      for (const auto& slot : slots) {
        CPPUNIT_ASSERT(static_cast<double>(slot.mFirstCopyStartMs) +
                         3500 * kMsPerToken <=
                       static_cast<double>(slot.mLatestStopMs));
        CPPUNIT_ASSERT(slot.mLatestStopMs < kNotice.count());
      }
    });
    Section("runs that end by themselves come last", [&] {
      auto ends = Run("e1", 1, 3500);
      ends.mRemainingMs = 300;
      ends.mValue = 5000;
      const auto slots = PlanDepartures({ ends, Run("e1", 2, 3500) },
                                        engines,
                                        { { "d1", "a", kFree, 20 } },
                                        kMsPerToken);
      CPPUNIT_ASSERT(Find(slots, 2)->mFirstCopyStartMs <
                     Find(slots, 1)->mFirstCopyStartMs);
    });
    Section("the more valuable run comes first", [&] {
      auto valuable = Run("e1", 2, 3500);
      valuable.mValue = 2000;
      const auto slots = PlanDepartures({ Run("e1", 1, 3500), valuable },
                                        engines,
                                        { { "d1", "a", kFree, 20 } },
                                        kMsPerToken);
      CPPUNIT_ASSERT(Find(slots, 2)->mFirstCopyStartMs <
                     Find(slots, 1)->mFirstCopyStartMs);
    });
  }

  void TestTwoEnginesTogether()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice },
                                                { "e2", "a", kNotice } };
    Section("copies from two engines do not meet at a destination", [&] {
      const auto slots =
        PlanDepartures({ Run("e1", 1, 3500), Run("e2", 2, 3500) },
                       engines,
                       { { "d1", "a", kFree, 20 }, { "d2", "a", kFree, 20 } },
                       kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), slots.size());
      CPPUNIT_ASSERT(slots[0].mDestination != slots[1].mDestination);
      CPPUNIT_ASSERT_EQUAL(slots[0].mFirstCopyStartMs,
                           slots[1].mFirstCopyStartMs);
    });
    Section(
      "another failure domain is used when it is faster all the same", [&] {
        const auto slots = PlanDepartures(
          { Run("e1", 1, 3500),
            Run("e1", 2, 3500),
            Run("e2", 3, 3500),
            Run("e2", 4, 3500) },
          engines,
          { { "near", "a", kFree, 20 }, { "far", "b", kFree, 20 } },
          kMsPerToken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), slots.size());
        CPPUNIT_ASSERT(
          std::any_of(slots.begin(), slots.end(), [](const PlannedCopy& it) {
            return it.mDestination == "far";
          }));
      });
    Section("the order in which hosts tell their runs does not matter", [&] {
      std::vector<DepartingRun> runs{ Run("e1", 1, 3000),
                                      Run("e2", 2, 3600),
                                      Run("e1", 3, 3300) };
      const std::vector<Destination> to{ { "d1", "a", kFree, 20 },
                                         { "d2", "b", kFree, 20 } };
      const auto one = PlanDepartures(runs, engines, to, kMsPerToken);
      std::reverse(runs.begin(), runs.end());
      CPPUNIT_ASSERT(one == PlanDepartures(runs, engines, to, kMsPerToken));
    });
  }

  void TestRoom()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice } };
    Section("memory and slots of a destination bound its copies", [&] {
      const auto slots = PlanDepartures(
        { Run("e1", 1, 3500), Run("e1", 2, 3500), Run("e1", 3, 3500) },
        engines,
        { { "d1", "a", 5000, 20 }, { "d2", "a", kFree, 1 } },
        kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), slots.size());
    });
    Section("no destination, no copy", [&] {
      CPPUNIT_ASSERT(
        PlanDepartures({ Run("e1", 1, 3500) }, engines, {}, kMsPerToken)
          .empty());
    });
  }

  void TestUnknown()
  {
    Section("a run on an engine that does not leave is left alone", [&] {
      CPPUNIT_ASSERT(PlanDepartures({ Run("other", 1, 3500) },
                                    { { "e1", "a", kNotice } },
                                    { { "d1", "a", kFree, 20 } },
                                    kMsPerToken)
                       .empty());
    });
  }

  // Times of a calm day with 135 hosts: they learned of a notice over 127 ms,
  // and 4 of 35 streams were planned.
  void TestLateHosts()
  {
    const auto at = [](int aMs) { return MonotonicTime(Milliseconds(aMs)); };
    const std::map<std::string, std::string> domains{ { "e1", "a" } };
    const std::vector<Destination> to{ { "d1", "a", kFree, 20 },
                                       { "d2", "a", kFree, 20 } };
    const auto told = [&](std::uint64_t aRun, int aEndsMs) {
      auto run = Run("e1", aRun, 3500);
      run.mEngineEndsMs = aEndsMs;
      return run;
    };
    DeparturePlanner planner;
    planner.Learn({ told(1, 1400) }, at(0));
    const auto first = planner.Plan(domains, to, kMsPerToken, at(25));
    Section("streams that are told first are planned at once", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), first[0].mFirstCopyStartMs);
      CPPUNIT_ASSERT(!planner.HasUnplanned());
    });
    planner.Learn({ told(1, 1400), told(2, 1400) }, at(127));
    const auto second = planner.Plan(domains, to, kMsPerToken, at(152));
    Section("a stream that is told later is added behind them", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), second[0].mRun);
      CPPUNIT_ASSERT(152 + second[0].mFirstCopyStartMs >=
                     25 + first[0].mFirstCopyEndMs);
    });
    Section("the engine ends when the first host says, not the last",
            [&] { CPPUNIT_ASSERT(152 + second[0].mLatestStopMs < 1400); });
    Section("one that cannot be copied in time is told so", [&] {
      planner.Learn({ told(3, 1273) }, at(1150));
      const auto late = planner.Plan(domains, to, kMsPerToken, at(1175));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), late.size());
      CPPUNIT_ASSERT(late[0].mDestination.empty());
    });
    Section("room that a planned copy will take is not given twice", [&] {
      DeparturePlanner tight;
      const std::vector<Destination> one{ { "d1", "a", 5000, 20 } };
      tight.Learn({ told(1, 1400) }, at(0));
      CPPUNIT_ASSERT(
        !tight.Plan(domains, one, kMsPerToken, at(25))[0].mDestination.empty());
      tight.Learn({ told(2, 1400) }, at(30));
      CPPUNIT_ASSERT(
        tight.Plan(domains, one, kMsPerToken, at(55))[0].mDestination.empty());
    });
    Section("a stream that moved on is planned again on its next engine", [&] {
      auto again = Run("e2", 1, 3500);
      again.mEngineEndsMs = 1400;
      planner.Learn({ again }, at(3300));
      CPPUNIT_ASSERT(planner.HasUnplanned());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturePlanTest);

} // namespace ragwortdeck
