#include "Serving/CopyBarrier.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

MonotonicTime
At(int aMs)
{
  return MonotonicTime(milliseconds(aMs));
}

PlannedCopy
Copy(const std::string& aHost, std::uint64_t aRun, int aLatestStopMs = 1000)
{
  PlannedCopy copy;
  copy.mEngine = "leaving";
  copy.mHost = aHost;
  copy.mRun = aRun;
  copy.mDestination = "other";
  copy.mLatestStopMs = aLatestStopMs;
  return copy;
}

DepartingRun
Run(const PlannedCopy& aCopy)
{
  DepartingRun run;
  run.mEngine = aCopy.mEngine;
  run.mHost = aCopy.mHost;
  run.mRun = aCopy.mRun;
  return run;
}

using Hosts = std::set<std::string>;

} // namespace

/// \brief Tests when runs on leaving engines may stop for their last copies.
class CopyBarrierTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CopyBarrierTest);
  CPPUNIT_TEST(TestLastCopies);
  CPPUNIT_TEST(TestLostReports);
  CPPUNIT_TEST(TestLargeFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestLastCopies()
  {
    CopyBarrier barrier;
    Section("while a first copy is awaited, nobody may stop", [&] {
      barrier.Await({ Copy("a", 1), Copy("b", 1) }, At(0));
      CPPUNIT_ASSERT(barrier.OnCopied({ Run(Copy("a", 1)) }, At(100)).empty());
    });
    Section("a host that reported later is planned, and awaited as well", [&] {
      barrier.Await({ Copy("c", 1) }, At(110));
      CPPUNIT_ASSERT(barrier.OnCopied({ Run(Copy("b", 1)) }, At(200)).empty());
    });
    Section("the last report frees all hosts", [&] {
      CPPUNIT_ASSERT(barrier.OnCopied({ Run(Copy("c", 1)) }, At(300)) ==
                     Hosts({ "a", "b", "c" }));
    });
    Section("a run for which there was no time is not awaited", [&] {
      auto late = Copy("d", 1);
      late.mDestination.clear();
      barrier.Await({ Copy("a", 2), late }, At(2000));
      CPPUNIT_ASSERT(barrier.OnCopied({ Run(Copy("a", 2)) }, At(2100)) ==
                     Hosts({ "a" }));
    });
  }

  void TestLostReports()
  {
    CopyBarrier barrier;
    barrier.Await({ Copy("a", 1), Copy("b", 1) }, At(0));
    barrier.OnCopied({ Run(Copy("a", 1)), Run(Copy("b", 1)) }, At(100));
    Section("a host that reports again has not heard that it may stop", [&] {
      CPPUNIT_ASSERT(barrier.OnCopied({ Run(Copy("b", 1)) }, At(160)) ==
                     Hosts({ "b" }));
    });
    Section(
      "a host that is lost is awaited until its runs must have stopped", [&] {
        barrier.Await({ Copy("a", 2, 2000), Copy("lost", 1, 500) }, At(1000));
        CPPUNIT_ASSERT(
          barrier.OnCopied({ Run(Copy("a", 2)) }, At(1400)).empty());
        CPPUNIT_ASSERT(
          barrier.OnCopied({ Run(Copy("a", 2)) }, At(1501)).contains("a"));
      });
  }

  void TestLargeFleet()
  {
    Section("500 streams on 300 hosts leave together: one message for each "
            "stream and one for each host",
            [&] {
              CopyBarrier barrier;
              std::vector<PlannedCopy> plan;
              for (std::uint64_t i = 0; i < 500; ++i) {
                plan.push_back(Copy("h" + std::to_string(i % 300), i));
              }
              barrier.Await(plan, At(0));
              std::size_t told = 0;
              for (const auto& copy : plan) {
                told += barrier.OnCopied({ Run(copy) }, At(500)).size();
              }
              CPPUNIT_ASSERT_EQUAL(std::size_t(300), told);
            });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyBarrierTest);

} // namespace ragwortdeck
