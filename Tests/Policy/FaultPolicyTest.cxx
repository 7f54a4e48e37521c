#include "Policy/OutlierEjector.h"
#include "Policy/PhaseTimeouts.h"
#include "Policy/PrefixIndex.h"
#include "Policy/RetryBudget.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Reactions to faults. Retries must not multiply the load of an outage,
/// ejection must not remove most of the fleet, an engine must not be overloaded
/// after its return, and old cache events must not attract requests.
class FaultPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FaultPolicyTest);
  CPPUNIT_TEST(TestRetryBudget);
  CPPUNIT_TEST(TestEjectionKeepsTwoThirds);
  CPPUNIT_TEST(TestReturnAndSlowStart);
  CPPUNIT_TEST(TestPhaseTimeouts);
  CPPUNIT_TEST(TestPrefixesNeedFreshEvents);
  CPPUNIT_TEST_SUITE_END();

  VirtualScheduler mScheduler;

  static int SpendAll(RetryBudget& aBudget)
  {
    int n = 0;
    while (aBudget.TrySpend()) {
      ++n;
    }
    return n;
  }

public:
  void TestRetryBudget()
  {
    RetryBudget budget(mScheduler);
    SpendAll(budget);
    for (int i = 0; i < 100; ++i) {
      budget.OnRequest();
    }
    const auto earned = SpendAll(budget);
    CPPUNIT_ASSERT(earned >= 19 && earned <= 20);
    mScheduler.Advance(std::chrono::hours(1));
    CPPUNIT_ASSERT(SpendAll(budget) <= 30);
  }

  void TestEjectionKeepsTwoThirds()
  {
    for (const std::size_t live : { 1U, 2U, 3U, 12U, 14U }) {
      OutlierEjector ejector(mScheduler, 1);
      for (std::size_t i = 0; i < live; ++i) {
        ejector.Add();
      }
      ejector.SetLiveCount(live);
      for (std::uint32_t i = 0; i < live; ++i) {
        ejector.OnFailure(i);
        ejector.OnFailure(i);
      }
      CPPUNIT_ASSERT(ejector.Ejected() * 2 <= live);
      CPPUNIT_ASSERT_EQUAL(live * 34 / 100, ejector.Ejected());
    }
  }

  void TestReturnAndSlowStart()
  {
    OutlierEjector ejector(mScheduler, 1);
    for (int i = 0; i < 4; ++i) {
      ejector.Add();
    }
    ejector.SetLiveCount(4);
    ejector.OnFailure(0);
    ejector.OnSuccess(0);
    ejector.OnFailure(0);
    CPPUNIT_ASSERT(!ejector.IsEjected(0));
    ejector.OnFailure(0);
    CPPUNIT_ASSERT(ejector.IsEjected(0));
    mScheduler.Advance(std::chrono::seconds(7));
    ejector.Tick();
    CPPUNIT_ASSERT(!ejector.IsEjected(0));
    CPPUNIT_ASSERT(ejector.Weight(0) < 0.2);
    mScheduler.Advance(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(1.0, ejector.Weight(0));
    // The first failure after the return ejects at once, and for longer.
    ejector.OnFailure(0);
    mScheduler.Advance(std::chrono::seconds(7));
    ejector.Tick();
    CPPUNIT_ASSERT(ejector.IsEjected(0));
  }

  void TestPhaseTimeouts()
  {
    const auto now = mScheduler.Now();
    const auto late = now + std::chrono::hours(1);
    const auto idle = PhaseTimeouts::At(now, late, 0.0);
    const auto busy = PhaseTimeouts::At(now, late, 10'000.0);
    CPPUNIT_ASSERT(busy.mFirstToken > idle.mFirstToken);
    const auto huge = PhaseTimeouts::At(now, late, 1e9);
    CPPUNIT_ASSERT(huge.mFirstToken <= std::chrono::minutes(1));
    const auto soon = now + std::chrono::milliseconds(200);
    const auto tight = PhaseTimeouts::At(now, soon, 1e9);
    CPPUNIT_ASSERT(tight.mConnect <= soon - now);
    CPPUNIT_ASSERT(tight.mTotal == soon - now);
    const auto past = PhaseTimeouts::At(late, now, 0.0);
    CPPUNIT_ASSERT(past.mTotal == Duration::zero());
  }

  void TestPrefixesNeedFreshEvents()
  {
    PrefixIndex index;
    const std::vector<std::uint64_t> prompt = { 1, 2, 3 };
    index.OnEvents({ 1, { 1, 2, 9 }, {} }, mScheduler.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         index.Match(prompt, mScheduler.Now()));
    index.OnEvents({ 2, { 3 }, { 1 } }, mScheduler.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         index.Match(prompt, mScheduler.Now()));
    index.OnEvents({ 3, { 1 }, {} }, mScheduler.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 },
                         index.Match(prompt, mScheduler.Now()));
    // Batch 4 is missing, so blocks of earlier batches may have been removed.
    index.OnEvents({ 5, { 1 }, {} }, mScheduler.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         index.Match(prompt, mScheduler.Now()));
    mScheduler.Advance(std::chrono::seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         index.Match(prompt, mScheduler.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultPolicyTest);

} // namespace ragwortdeck
