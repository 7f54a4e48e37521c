#include "Control/TargetPoller.h"
#include "Support/EventLoop.h"
#include "Support/RawServer.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

namespace {

const QByteArray kReport = R"({"named_metrics":{"running":3}})";

} // namespace

/// \brief Tests load reports of targets in trouble.
class TargetPollerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPollerTest);
  CPPUNIT_TEST(TestAnswersThatAreNoReports);
  CPPUNIT_TEST_SUITE_END();

  static bool IsTaken(const QByteArray& aAnswer)
  {
    const RawServer server(aAnswer);
    TargetPoller poller(std::chrono::seconds(30));
    Target target;
    target.mAddress = server.Address();
    std::optional<bool> isTaken;
    poller.Poll(target, [&](const Result<LoadReport>& aReport) {
      isTaken = bool(aReport);
    });
    RunEventLoopUntil([&] { return isTaken.has_value(); });
    return *isTaken;
  }

public:
  void TestAnswersThatAreNoReports()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      if (IsTaken(answer.Bytes("X-First: field\r\n", kReport))) {
        taken += answer.mName + std::string("; ");
      }
    }
    for (const auto* status : { "204 No Content", "302 Found", "500 Error" }) {
      if (IsTaken("HTTP/1.1 " + QByteArray(status) + "\r\n\r\n" + kReport)) {
        taken += status + std::string("; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("a report is taken", [] {
      CPPUNIT_ASSERT(IsTaken("HTTP/1.1 200 OK\r\n\r\n" + kReport));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPollerTest);

} // namespace ragwortdeck
