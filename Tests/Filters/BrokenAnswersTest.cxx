#include "Filters/LoadPoller.h"
#include "Filters/RouterSite.h"
#include "Support/RawServer.h"
#include "Support/Section.h"

namespace ragwortdeck {

namespace {

using Ending = RawServer::Ending;

const QByteArray kEvents =
  "data: {\"type\":\"response.created\",\"sequence_number\":0,"
  "\"response\":{\"id\":\"r1\"}}\n\n"
  "data: {\"type\":\"response.output_text.delta\",\"sequence_number\":1,"
  "\"delta\":\"odd\"}\n\n"
  "data: {\"type\":\"response.completed\",\"sequence_number\":2,"
  "\"response\":{\"id\":\"r1\"}}\n\n";

/// \brief A router whose targets all are one server.
struct OddSite
{
  explicit OddSite(const QByteArray& aAnswer, Ending aEnding = Ending::kClose)
    : mServer(aAnswer, aEnding)
  {
    auto settings = mSite.Settings();
    auto view = *settings.mBootstrapView;
    for (auto& [id, target] : view.mTargets) {
      target.mAddress = mServer.Address();
    }
    KindRow kind;
    kind.mKind = KindName("quick");
    kind.mDeadlineSeconds = 1;
    view.mTable.mKinds.emplace(kind.mKind, kind);
    settings.mBootstrapView = std::make_shared<const SiteView>(view);
    settings.mLimits.mRelay.mStall = std::chrono::milliseconds(50);
    mRouter = mSite.MakeRouter(std::move(settings));
  }

  Answer LookUp() { return mSite.Get(*mRouter, "/v1/services/stock/kits"); }
  Answer Generate()
  {
    return mSite.Post(*mRouter,
                      "/v1/responses",
                      R"({"model":"drafts","input":"x","stream":true,)"
                      R"("metadata":{"kind":"quick"}})");
  }

  RouterSite mSite;
  RawServer mServer;
  std::unique_ptr<Router> mRouter;
};

} // namespace

/// \brief Tests answers of services and engines that are broken off by a reset,
/// or whose heads are none, as a caller of the router sees them.
class BrokenAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrokenAnswersTest);
  CPPUNIT_TEST(TestMalformedLookUps);
  CPPUNIT_TEST(TestMalformedStreams);
  CPPUNIT_TEST(TestResetLookUps);
  CPPUNIT_TEST(TestLoadOfAFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mReader = std::make_unique<RcuReaderThread>(); }
  void tearDown() override { mReader.reset(); }

  void TestMalformedLookUps()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      OddSite site(answer.Bytes("X-First: field\r\n", "odd"));
      const auto reply = site.LookUp();
      if (reply.mEnd.mStatus != 502 || reply.State() != "may-have-run" ||
          reply.mBody.find("odd") != std::string::npos) {
        taken += answer.mName + std::string(" gave ") +
                 std::to_string(reply.mEnd.mStatus) + "; ";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
  }

  void TestMalformedStreams()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      OddSite site(
        answer.Bytes("Content-Type: text/event-stream\r\n", kEvents));
      const auto reply = site.Generate();
      if (reply.mBody.find("odd") != std::string::npos ||
          reply.mBody.find("response.completed") != std::string::npos) {
        taken += answer.mName + std::string("; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("a well-formed one is relayed", [&] {
      OddSite site(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + kEvents);
      CPPUNIT_ASSERT(site.Generate().mBody.find("odd") != std::string::npos);
    });
  }

  void TestResetLookUps()
  {
    for (const auto ending : { Ending::kResetAtOnce, Ending::kResetLater }) {
      OddSite site("HTTP/1.1 200 OK\r\n\r\npart of the body", ending);
      const auto reply = site.LookUp();
      CPPUNIT_ASSERT_EQUAL(502, reply.mEnd.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), reply.State());
    }
  }

  /// Guards against a load that is read from the body of a failure.
  void TestLoadOfAFailure()
  {
    const QByteArray report = R"({"named_metrics":{"running":3}})";
    RawServer server("HTTP/1.1 500 Error\r\n\r\n" + report);
    SiteView view;
    Target engine;
    engine.mId = TargetId("engine-1");
    engine.mRole = TargetRole::kEngine;
    engine.mAddress = server.Address();
    view.mTargets.emplace(engine.mId, engine);
    auto shared = std::make_shared<const SiteView>(view);
    int reports = 0;
    const LoadPoller poller(
      std::chrono::milliseconds(50),
      [&] { return shared; },
      [&](const TargetId&, const LoadReport&) { ++reports; });
    RunEventLoopUntil([&] { return server.Requests() >= 3; });
    CPPUNIT_ASSERT_EQUAL(0, reports);
    server.SetAnswer("HTTP/1.1 200 OK\r\n\r\n" + report);
    RunEventLoopUntil([&] { return reports > 0; });
  }

private:
  std::unique_ptr<RcuReaderThread> mReader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);

} // namespace ragwortdeck
