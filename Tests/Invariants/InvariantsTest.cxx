#include "Support/Invariants.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

HistoryRecord
Token(Duration aTime, std::uint64_t aNumber, const char* aGeneration = "g")
{
  return { aTime, HistoryType::kTokenDelivered, "", "r", aGeneration, aNumber,
           "" };
}

HistoryRecord
OfHost(Duration aTime,
       HistoryType aType,
       const char* aHost,
       std::uint64_t aNumber = 0)
{
  return { aTime, aType, aHost, "r", "", aNumber, "" };
}

HistoryRecord
OfRequest(Duration aTime,
          HistoryType aType,
          const char* aText,
          std::uint64_t aNumber = 0)
{
  return { aTime, aType, "", "r", "1", aNumber, aText };
}

std::size_t
CountViolations(const char* aName, const History& aHistory)
{
  return FindInvariant(aName)->mCheck(aHistory).size();
}

void
AssertValid(const char* aName, const History& aHistory)
{
  CPPUNIT_ASSERT_EQUAL(std::size_t(0), CountViolations(aName, aHistory));
}

void
AssertBroken(const char* aName, const History& aHistory)
{
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountViolations(aName, aHistory));
}

} // namespace

/// \brief Each invariant accepts a valid history and rejects a broken one.
class InvariantsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(InvariantsTest);
  CPPUNIT_TEST(TestTokenOnce);
  CPPUNIT_TEST(TestWholeAnswer);
  CPPUNIT_TEST(TestActions);
  CPPUNIT_TEST(TestLeaving);
  CPPUNIT_TEST(TestGracefulStop);
  CPPUNIT_TEST(TestTable);
  CPPUNIT_TEST(TestJsonLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTokenOnce()
  {
    AssertValid("token-once", { Token(1us, 0), Token(2us, 1) });
    Section("duplicate", [] {
      AssertBroken("token-once", { Token(1us, 0), Token(2us, 0) });
    });
    Section("gap", [] {
      AssertBroken("token-once", { Token(1us, 0), Token(2us, 2) });
    });
    Section("second generation", [] {
      AssertBroken("token-once", { Token(1us, 0), Token(2us, 1, "h") });
    });
  }

  void TestWholeAnswer()
  {
    const auto sent = OfRequest(0us, HistoryType::kRequestSent, "prompt");
    const auto end = OfRequest(3us, HistoryType::kAnswerCompleted, "prompt", 1);
    AssertValid("whole-answer", { sent, Token(1us, 0), end });
    Section("an explicit failure is allowed", [&] {
      AssertValid("whole-answer",
                  { sent,
                    Token(1us, 0),
                    OfRequest(2us, HistoryType::kAnswerFailed, "lost") });
    });
    Section("short answer told whole", [&] {
      AssertBroken("whole-answer", { sent, end });
    });
    Section("answer to another request", [&] {
      AssertBroken(
        "whole-answer",
        { sent,
          Token(1us, 0),
          OfRequest(3us, HistoryType::kAnswerCompleted, "other", 1) });
    });
    Section("no end at all", [&] {
      AssertBroken("whole-answer", { sent, Token(1us, 0) });
    });
  }

  void TestActions()
  {
    const auto ran = OfRequest(1us, HistoryType::kRan, "");
    const auto notRun = OfRequest(2us, HistoryType::kVerdict, "not-run");
    const auto mayHaveRun =
      OfRequest(2us, HistoryType::kVerdict, "may-have-run");
    AssertValid("not-run-is-true", { ran, mayHaveRun });
    AssertValid("not-run-is-true", { notRun });
    Section("a run before or after its verdict makes not-run false", [&] {
      AssertBroken("not-run-is-true", { ran, notRun });
      AssertBroken("not-run-is-true", { notRun, ran });
    });
    AssertValid("action-at-most-once", { ran });
    AssertBroken("action-at-most-once", { ran, ran });
  }

  void TestLeaving()
  {
    const auto mark = OfHost(1s, HistoryType::kMarkedLeaving, "a");
    AssertValid("leaving-gets-no-work",
                { mark, OfHost(4s, HistoryType::kWorkAccepted, "a") });
    AssertValid("leaving-gets-no-work",
                { mark, OfHost(9s, HistoryType::kWorkAccepted, "b") });
    AssertBroken("leaving-gets-no-work",
                 { mark, OfHost(4001ms, HistoryType::kWorkAccepted, "a") });
  }

  void TestGracefulStop()
  {
    const auto stop = OfHost(1s, HistoryType::kStopRequested, "a");
    AssertValid("graceful-stop",
                { stop, OfHost(2s, HistoryType::kCutOff, "b") });
    AssertBroken("graceful-stop",
                 { stop, OfHost(2s, HistoryType::kCutOff, "a") });
  }

  void TestTable()
  {
    const auto up = OfHost(0s, HistoryType::kHostUp, "a");
    const auto accepted = OfHost(1s, HistoryType::kTableAccepted, "", 2);
    const auto end = OfHost(20s, HistoryType::kWorkAccepted, "b");
    AssertValid(
      "table-in-force",
      { up, accepted, OfHost(6s, HistoryType::kTableInForce, "a", 2), end });
    Section("too late", [&] {
      AssertBroken(
        "table-in-force",
        { up, accepted, OfHost(7s, HistoryType::kTableInForce, "a", 2), end });
    });
    Section("a host that was down is not judged", [&] {
      AssertValid(
        "table-in-force",
        { up, accepted, OfHost(2s, HistoryType::kHostDown, "a"), end });
    });
    Section("a revert across a restart", [&] {
      AssertBroken("table-in-force",
                   { up,
                     OfHost(2s, HistoryType::kTableInForce, "a", 5),
                     OfHost(3s, HistoryType::kHostDown, "a"),
                     OfHost(4s, HistoryType::kHostUp, "a"),
                     OfHost(5s, HistoryType::kTableInForce, "a", 4) });
    });
  }

  void TestJsonLines()
  {
    const auto record = OfHost(7us, HistoryType::kTableInForce, "a", 3);
    const auto later = Token(9us, 1);
    const auto text = ToJsonLine(later) + "\n" + ToJsonLine(record) + "\n";
    CPPUNIT_ASSERT((History{ record, later }) == ParseHistory(text).value());
    Section("errors name the line", [] {
      const auto broken = ParseHistory("\n{\"t_us\":1,\"type\":\"x\"}");
      CPPUNIT_ASSERT(broken.error().mMessage.find("line 2") !=
                     std::string::npos);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvariantsTest);

} // namespace ragwortdeck
