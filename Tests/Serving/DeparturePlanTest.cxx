#include "Serving/DeparturePlanner.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

/// 163,840 bytes per token over 24 Gbit/s, the values of the sites.
constexpr double kMsPerToken = 0.0546;
constexpr Milliseconds kNotice{ 1400 };
constexpr std::int64_t kFreeTokens = 20000;

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
Find(const std::vector<PlannedCopy>& aCopies, std::uint64_t aRun)
{
  const auto it =
    std::find_if(aCopies.begin(), aCopies.end(), [&](const PlannedCopy& aCopy) {
      return aCopy.mRun == aRun;
    });
  return it == aCopies.end() ? nullptr : &*it;
}

} // namespace

/// \brief Tests the plans for engines that are taken away at short notice.
class DeparturePlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DeparturePlanTest);
  CPPUNIT_TEST(TestOneEngine);
  CPPUNIT_TEST(TestTwoEnginesTogether);
  CPPUNIT_TEST(TestCapacity);
  CPPUNIT_TEST(TestStayingEngine);
  CPPUNIT_TEST(TestLateReports);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestOneEngine()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice } };
    Section("copies on one engine's link do not overlap", [&] {
      const auto copies = PlanDepartures(
        { Run("e1", 1, 3500), Run("e1", 2, 3500), Run("e1", 3, 3500) },
        engines,
        { { "d1", "a", kFreeTokens, 20 }, { "d2", "a", kFreeTokens, 20 } },
        kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), copies.size());
      const auto copyMs = static_cast<std::int64_t>(3500 * kMsPerToken);
      for (std::size_t n = 1; n < copies.size(); ++n) {
        CPPUNIT_ASSERT(copies[n].mFirstCopyStartMs -
                         copies[n - 1].mFirstCopyStartMs >=
                       copyMs);
      }
    });
    Section("every planned copy ends before the latest stop", [&] {
      std::vector<DepartingRun> runs;
      for (std::uint64_t n = 1; n <= 12; ++n) {
        runs.push_back(Run("e1", n, 3500));
      }
      const auto copies = PlanDepartures(
        runs, engines, { { "d1", "a", 100000, 24 } }, kMsPerToken);
      CPPUNIT_ASSERT(!copies.empty() && copies.size() < runs.size());
      for (const auto& copy : copies) {
        CPPUNIT_ASSERT(static_cast<double>(copy.mFirstCopyStartMs) +
                         3500 * kMsPerToken <=
                       static_cast<double>(copy.mLatestStopMs));
        CPPUNIT_ASSERT(copy.mLatestStopMs < kNotice.count());
      }
    });
    Section("runs that complete within the notice come last", [&] {
      auto shortRun = Run("e1", 1, 3500);
      shortRun.mRemainingMs = 300;
      shortRun.mValue = 5000;
      const auto copies = PlanDepartures({ shortRun, Run("e1", 2, 3500) },
                                         engines,
                                         { { "d1", "a", kFreeTokens, 20 } },
                                         kMsPerToken);
      CPPUNIT_ASSERT(Find(copies, 2)->mFirstCopyStartMs <
                     Find(copies, 1)->mFirstCopyStartMs);
    });
    Section("the more valuable run comes first", [&] {
      auto valuable = Run("e1", 2, 3500);
      valuable.mValue = 2000;
      const auto copies = PlanDepartures({ Run("e1", 1, 3500), valuable },
                                         engines,
                                         { { "d1", "a", kFreeTokens, 20 } },
                                         kMsPerToken);
      CPPUNIT_ASSERT(Find(copies, 2)->mFirstCopyStartMs <
                     Find(copies, 1)->mFirstCopyStartMs);
    });
  }

  void TestTwoEnginesTogether()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice },
                                                { "e2", "a", kNotice } };
    Section("copies from two engines go to different destinations", [&] {
      const auto copies = PlanDepartures(
        { Run("e1", 1, 3500), Run("e2", 2, 3500) },
        engines,
        { { "d1", "a", kFreeTokens, 20 }, { "d2", "a", kFreeTokens, 20 } },
        kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), copies.size());
      CPPUNIT_ASSERT(copies[0].mDestination != copies[1].mDestination);
      CPPUNIT_ASSERT_EQUAL(copies[0].mFirstCopyStartMs,
                           copies[1].mFirstCopyStartMs);
    });
    Section(
      "another failure domain is used if its copy still ends earlier", [&] {
        const auto copies = PlanDepartures(
          { Run("e1", 1, 3500),
            Run("e1", 2, 3500),
            Run("e2", 3, 3500),
            Run("e2", 4, 3500) },
          engines,
          { { "near", "a", kFreeTokens, 20 }, { "far", "b", kFreeTokens, 20 } },
          kMsPerToken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), copies.size());
        CPPUNIT_ASSERT(
          std::any_of(copies.begin(), copies.end(), [](const PlannedCopy& it) {
            return it.mDestination == "far";
          }));
      });
    Section("the plan does not depend on the order of the runs", [&] {
      std::vector<DepartingRun> runs{ Run("e1", 1, 3000),
                                      Run("e2", 2, 3600),
                                      Run("e1", 3, 3300) };
      const std::vector<Destination> to{ { "d1", "a", kFreeTokens, 20 },
                                         { "d2", "b", kFreeTokens, 20 } };
      const auto one = PlanDepartures(runs, engines, to, kMsPerToken);
      std::reverse(runs.begin(), runs.end());
      CPPUNIT_ASSERT(one == PlanDepartures(runs, engines, to, kMsPerToken));
    });
  }

  void TestCapacity()
  {
    const std::vector<DepartingEngine> engines{ { "e1", "a", kNotice } };
    Section("memory and slots of a destination limit its copies", [&] {
      const auto copies = PlanDepartures(
        { Run("e1", 1, 3500), Run("e1", 2, 3500), Run("e1", 3, 3500) },
        engines,
        { { "d1", "a", 5000, 20 }, { "d2", "a", kFreeTokens, 1 } },
        kMsPerToken);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), copies.size());
    });
    Section("without a destination nothing is planned", [&] {
      CPPUNIT_ASSERT(
        PlanDepartures({ Run("e1", 1, 3500) }, engines, {}, kMsPerToken)
          .empty());
    });
  }

  void TestStayingEngine()
  {
    Section("a run on an engine that stays is not planned", [&] {
      CPPUNIT_ASSERT(PlanDepartures({ Run("other", 1, 3500) },
                                    { { "e1", "a", kNotice } },
                                    { { "d1", "a", kFreeTokens, 20 } },
                                    kMsPerToken)
                       .empty());
    });
  }

  // Guards against planning only the runs that are reported first: with 135
  // hosts, notice of an engine reached them over 127 ms, and 4 of 35 streams
  // were planned.
  void TestLateReports()
  {
    const auto at = [](int aMs) { return MonotonicTime(Milliseconds(aMs)); };
    const std::map<std::string, std::string> domains{ { "e1", "a" } };
    const std::vector<Destination> to{ { "d1", "a", kFreeTokens, 20 },
                                       { "d2", "a", kFreeTokens, 20 } };
    const auto reported = [&](std::uint64_t aRun, int aEndsMs) {
      auto run = Run("e1", aRun, 3500);
      run.mEngineEndsMs = aEndsMs;
      return run;
    };
    DeparturePlanner planner;
    planner.AddRuns({ reported(1, 1400) }, at(0));
    const auto first = planner.Plan(domains, to, kMsPerToken, at(25));
    Section("runs that are reported first are planned immediately", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), first[0].mFirstCopyStartMs);
      CPPUNIT_ASSERT(!planner.HasUnplanned());
    });
    planner.AddRuns({ reported(1, 1400), reported(2, 1400) }, at(127));
    const auto second = planner.Plan(domains, to, kMsPerToken, at(152));
    Section("a run that is reported later is queued behind them", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), second[0].mRun);
      CPPUNIT_ASSERT(152 + second[0].mFirstCopyStartMs >=
                     25 + first[0].mFirstCopyEndMs);
    });
    Section("the earliest reported end of the engine applies",
            [&] { CPPUNIT_ASSERT(152 + second[0].mLatestStopMs < 1400); });
    Section("a run that cannot be copied in time gets no destination", [&] {
      planner.AddRuns({ reported(3, 1273) }, at(1150));
      const auto late = planner.Plan(domains, to, kMsPerToken, at(1175));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), late.size());
      CPPUNIT_ASSERT(late[0].mDestination.empty());
    });
    Section("capacity that a planned copy will use is not assigned twice", [&] {
      DeparturePlanner fullPlanner;
      const std::vector<Destination> one{ { "d1", "a", 5000, 20 } };
      fullPlanner.AddRuns({ reported(1, 1400) }, at(0));
      CPPUNIT_ASSERT(!fullPlanner.Plan(domains, one, kMsPerToken, at(25))[0]
                        .mDestination.empty());
      fullPlanner.AddRuns({ reported(2, 1400) }, at(30));
      CPPUNIT_ASSERT(fullPlanner.Plan(domains, one, kMsPerToken, at(55))[0]
                       .mDestination.empty());
    });
    Section("a run that moved is planned again when its next engine leaves",
            [&] {
              auto again = Run("e2", 1, 3500);
              again.mEngineEndsMs = 1400;
              planner.AddRuns({ again }, at(3300));
              CPPUNIT_ASSERT(planner.HasUnplanned());
            });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturePlanTest);

} // namespace ragwortdeck
