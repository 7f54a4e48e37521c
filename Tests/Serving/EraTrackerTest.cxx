#include "Serving/EraTracker.h"
#include "Serving/StoreVersion.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Tests the order of eras and versions of the store.
class EraTrackerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EraTrackerTest);
  CPPUNIT_TEST(TestEras);
  CPPUNIT_TEST(TestStoreWithoutEra);
  CPPUNIT_TEST(TestVersions);
  CPPUNIT_TEST_SUITE_END();

public:
  using Outcome = EraTracker::Outcome;

  void TestEras()
  {
    EraTracker tracker;
    Section("the first era that is known begins", [&] {
      CPPUNIT_ASSERT(tracker.Observe({ 0 }) == Outcome::kBegan);
      CPPUNIT_ASSERT(tracker.Observe({ 0 }) == Outcome::kCurrent);
    });
    Section("a host that was away may have missed some", [&] {
      CPPUNIT_ASSERT(tracker.Observe({ 3 }) == Outcome::kBegan);
      CPPUNIT_ASSERT(tracker.Observe({ 3 }) == Outcome::kCurrent);
    });
    Section("earlier and unknown ones are outdated and move nothing back", [&] {
      for (const auto era : { StoreEra{ 2 }, StoreEra{ 0 }, StoreEra{} }) {
        CPPUNIT_ASSERT(tracker.Observe(era) == Outcome::kOutdated);
        CPPUNIT_ASSERT(tracker.Latest() == StoreEra{ 3 });
      }
    });
  }

  void TestStoreWithoutEra()
  {
    EraTracker tracker;
    CPPUNIT_ASSERT(tracker.Observe({}) == Outcome::kCurrent);
    CPPUNIT_ASSERT(!tracker.Latest().IsKnown());
  }

  void TestVersions()
  {
    const StoreVersion none;
    const StoreVersion unknown{ {}, 500 };
    const StoreVersion early{ { 1 }, 500 };
    const StoreVersion late{ { 2 }, 100 };
    CPPUNIT_ASSERT(!none.IsKnown() && unknown.IsKnown());
    CPPUNIT_ASSERT(none < unknown && unknown < early && early < late);
    CPPUNIT_ASSERT((late < StoreVersion{ { 2 }, 101 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EraTrackerTest);

} // namespace ragwortdeck
