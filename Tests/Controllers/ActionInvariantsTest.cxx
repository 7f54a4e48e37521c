#include "Support/ActionInvariants.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief The checker accepts a sound history and rejects each kind of broken
/// one; without this, a walk that finds nothing would prove nothing.
class ActionInvariantsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ActionInvariantsTest);
  CPPUNIT_TEST(TestSoundHistory);
  CPPUNIT_TEST(TestBrokenHistories);
  CPPUNIT_TEST(TestDisturbedHostOwesNoAnswer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr ActionBounds kBounds{ 10s, 2s };

  static MonotonicTime At(Duration aTime) { return MonotonicTime(aTime); }

  static ActionHistory Sound()
  {
    ActionHistory history;
    history.mCalls = {
      { "a", At(0s), false, RunState::kNotRun, At(2s), "attempt-1", "", 0 },
      { "a", At(3s), false, RunState::kRan, At(4s), "attempt-2", "r", 0 },
    };
    history.mDispatches = { { "attempt-2", At(3500ms), At(3s) } };
    history.mRuns = { { "a", "attempt-2", At(3600ms), "r" } };
    return history;
  }

  static void AssertRejected(const ActionHistory& aHistory,
                             const std::string& aInvariant)
  {
    const auto found = CheckActions(aHistory, kBounds);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
    CPPUNIT_ASSERT_EQUAL(aInvariant,
                         found.front().substr(0, found.front().find(':')));
  }

public:
  void TestSoundHistory()
  {
    CPPUNIT_ASSERT(CheckActions(Sound(), kBounds).empty());
  }

  void TestBrokenHistories()
  {
    auto twice = Sound();
    twice.mRuns.push_back({ "a", "attempt-3", At(9s), "r2" });
    AssertRejected(twice, "action-at-most-once");

    auto notRun = Sound();
    notRun.mRuns.front().mAttempt = "attempt-1";
    AssertRejected(notRun, "not-run-is-true");

    auto lateRun = Sound();
    lateRun.mRuns.front().mTime = At(5s);
    AssertRejected(lateRun, "ran-is-true");

    auto otherAnswer = Sound();
    otherAnswer.mCalls[1].mBody = "other";
    AssertRejected(otherAnswer, "ran-is-true");

    auto silent = Sound();
    silent.mCalls[0].mAnswer.reset();
    AssertRejected(silent, "answered-in-time");

    auto late = Sound();
    late.mCalls[0].mAnswered = At(11s);
    AssertRejected(late, "answered-in-time");

    auto again = Sound();
    again.mCalls[1].mExtraAnswers = 1;
    AssertRejected(again, "answered-once");

    auto dispatchedTwice = Sound();
    dispatchedTwice.mDispatches.push_back(dispatchedTwice.mDispatches[0]);
    AssertRejected(dispatchedTwice, "dispatched-once");

    auto afterWindow = Sound();
    afterWindow.mDispatches[0].mTime = At(5s);
    AssertRejected(afterWindow, "dispatched-in-window");
  }

  void TestDisturbedHostOwesNoAnswer()
  {
    auto silent = Sound();
    silent.mCalls[0].mAnswer.reset();
    silent.mCalls[0].mHostDisturbed = true;
    CPPUNIT_ASSERT(CheckActions(silent, kBounds).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActionInvariantsTest);

} // namespace ragwortdeck
