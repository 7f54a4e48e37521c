#include "Serving/TargetPauses.h"
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

Target
MakeTarget(std::int64_t aBorn)
{
  Target target;
  target.mId = std::string("t");
  target.mBorn = aBorn;
  return target;
}

} // namespace

/// \brief Tests the pauses of targets that want no requests for some time.
class TargetPausesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPausesTest);
  CPPUNIT_TEST(TestPause);
  CPPUNIT_TEST(TestRestartedTarget);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestPause()
  {
    const auto target = MakeTarget(0);
    TargetPauses pauses;
    CPPUNIT_ASSERT(!pauses.EndOf(target, At(0)));
    Section("it lasts as long as the target wishes", [&] {
      CPPUNIT_ASSERT(pauses.Start(target, milliseconds(1500), At(0)));
      CPPUNIT_ASSERT(pauses.EndOf(target, At(1499)) == At(1500));
      CPPUNIT_ASSERT(!pauses.EndOf(target, At(1500)));
    });
    Section("a shorter wish does not shorten it", [&] {
      CPPUNIT_ASSERT(!pauses.Start(target, milliseconds(100), At(200)));
      CPPUNIT_ASSERT(pauses.EndOf(target, At(400)) == At(1500));
    });
    Section("a longer one lengthens it", [&] {
      CPPUNIT_ASSERT(pauses.Start(target, std::chrono::minutes(5), At(500)));
      CPPUNIT_ASSERT(pauses.EndOf(target, At(300499)).has_value());
      CPPUNIT_ASSERT(!pauses.EndOf(target, At(300500)));
    });
    Section("no time and less are no wish", [&] {
      CPPUNIT_ASSERT(!pauses.Start(target, milliseconds(0), At(400000)));
      CPPUNIT_ASSERT(!pauses.Start(target, milliseconds(-5), At(400000)));
      CPPUNIT_ASSERT(!pauses.EndOf(target, At(400000)));
    });
    Section("an absurd wish is limited", [&] {
      CPPUNIT_ASSERT(pauses.Start(target, std::chrono::years(30), At(400000)));
      CPPUNIT_ASSERT(pauses.EndOf(target, At(400000)) ==
                     At(400000) + TargetPauses::kLongest);
    });
  }

  void TestRestartedTarget()
  {
    TargetPauses pauses;
    pauses.Start(MakeTarget(1000), milliseconds(5000), At(0));
    Section("a target that started again is not paused", [&] {
      CPPUNIT_ASSERT(pauses.EndOf(MakeTarget(1000), At(100)).has_value());
      CPPUNIT_ASSERT(!pauses.EndOf(MakeTarget(2000), At(100)));
    });
    Section("it is when its start is not known", [&] {
      CPPUNIT_ASSERT(pauses.EndOf(MakeTarget(0), At(100)).has_value());
    });
    Section("its own, shorter wish replaces the earlier one", [&] {
      CPPUNIT_ASSERT(
        pauses.Start(MakeTarget(2000), milliseconds(1000), At(200)));
      CPPUNIT_ASSERT(pauses.EndOf(MakeTarget(2000), At(300)) == At(1200));
      CPPUNIT_ASSERT(!pauses.EndOf(MakeTarget(2000), At(1300)));
    });
    Section("a late wish of the earlier start does not count", [&] {
      pauses.Start(MakeTarget(2000), milliseconds(1000), At(2000));
      CPPUNIT_ASSERT(
        !pauses.Start(MakeTarget(1000), milliseconds(9000), At(2100)));
      CPPUNIT_ASSERT(!pauses.EndOf(MakeTarget(2000), At(3100)));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPausesTest);

} // namespace ragwortdeck
