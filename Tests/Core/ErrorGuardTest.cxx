#include "Core/ErrorGuard.h"
#include "Core/QtScheduler.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <vector>

namespace ragwortdeck {

/// \brief One message, timer or reply whose handling fails must not end the
/// process.
class ErrorGuardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ErrorGuardTest);
  CPPUNIT_TEST(TestTask);
  CPPUNIT_TEST(TestTimers);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTask()
  {
    const Log log("test");
    Section("an exception ends the task and is counted", [&] {
      const auto before = CaughtErrors();
      CPPUNIT_ASSERT(
        !RunGuarded(log, "a test", [] { std::vector<int>().at(0) = 1; }));
      CPPUNIT_ASSERT_EQUAL(before + 1, CaughtErrors());
    });
    Section("a task that completes is not", [&] {
      const auto before = CaughtErrors();
      CPPUNIT_ASSERT(RunGuarded(log, "a test", [] {}));
      CPPUNIT_ASSERT_EQUAL(before, CaughtErrors());
    });
  }

  void TestTimers()
  {
    QtScheduler scheduler;
    bool isLater = false;
    const auto fails = [] { throw std::runtime_error("unexpected"); };
    const auto first = scheduler.After(Duration(0), fails);
    scheduler.Post(Duration(0), fails);
    const auto second =
      scheduler.After(std::chrono::milliseconds(2), [&] { isLater = true; });
    const auto before = CaughtErrors();
    RunEventLoopUntil([&] { return isLater; });
    CPPUNIT_ASSERT_EQUAL(before + 2, CaughtErrors());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorGuardTest);

} // namespace ragwortdeck
