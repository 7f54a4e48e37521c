#include "Filters/RouterSite.h"
#include "Support/Section.h"

namespace ragwortdeck {

/// \brief The request path over loopback sockets, against the stand-ins.
class RouterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(TestManyStreamsToOneEngine);
  CPPUNIT_TEST(TestEngineStreamFaults);
  CPPUNIT_TEST(TestEngineRestart);
  CPPUNIT_TEST(TestResumeOnAnotherRouter);
  CPPUNIT_TEST(TestCallerLeaves);
  CPPUNIT_TEST(TestErrors);
  CPPUNIT_TEST(TestLimits);
  CPPUNIT_TEST(TestWholeResponseAndCancel);
  CPPUNIT_TEST(TestServices);
  CPPUNIT_TEST(TestShutdown);
  CPPUNIT_TEST(TestAddressInUse);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mReader = std::make_unique<RcuReaderThread>(); }
  void tearDown() override { mReader.reset(); }

  /// Guards against a client that queues streams beyond 6 per host, and
  /// against answers that reach another caller.
  void TestManyStreamsToOneEngine()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    std::size_t most = 0;
    site.mEngine.SetFaults([&](const Generation&, std::int64_t, std::uint32_t) {
      most = std::max(most, site.mEngine.Model().RunningCount());
      return StreamFault::kNone;
    });
    AssertAllWhole(RouterSite::Run(site.Plan({ router.get() })), 20);
    CPPUNIT_ASSERT(most > 6);
  }

  /// Guards against each fault of an engine's stream that reaches the caller.
  void TestEngineStreamFaults()
  {
    for (const auto fault : { StreamFault::kDuplicate,
                              StreamFault::kSkip,
                              StreamFault::kSwap,
                              StreamFault::kDrop,
                              StreamFault::kStall }) {
      Section("fault " + std::to_string(int(fault)), [&] {
        RouterSite site;
        const auto router = site.MakeRouter();
        site.mEngine.SetFaults([&](const Generation&,
                                   std::int64_t aSequence,
                                   std::uint32_t aConnection) {
          return aSequence == 20 && aConnection == 1 ? fault
                                                     : StreamFault::kNone;
        });
        AssertAllWhole(RouterSite::Run(site.Plan({ router.get() })), 20);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20),
                             site.mEngine.Model().CreatedCount());
      });
    }
  }

  /// Guards against a partial answer that looks whole after an engine restart.
  void TestEngineRestart()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    auto plan = site.Plan({ router.get() });
    plan.mOutputTokens = 100'000;
    LoadRun run(plan);
    bool isOver = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return run.Report().mTokens > 100; });
    site.mEngine.Model().Restart();
    RunEventLoopUntil([&] { return isOver; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), run.Report().mFailed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), run.Report().mBroken);
    CPPUNIT_ASSERT(run.Report().IsClean());
    CPPUNIT_ASSERT(run.Report().mFirstError.find("generation_lost") !=
                   std::string::npos);
  }

  /// Guards against answers that end with the entry host that relayed them.
  void TestResumeOnAnotherRouter()
  {
    RouterSite site;
    auto first = site.MakeRouter();
    const auto second = site.MakeRouter();
    auto plan = site.Plan({ first.get(), second.get() });
    plan.mOutputTokens = 200;
    plan.mResumes = 5;
    LoadRun run(plan);
    bool isOver = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return run.Report().mTokens > 200; });
    first->Shutdown(nullptr);
    first->Shutdown(nullptr);
    first.reset();
    RunEventLoopUntil([&] { return isOver; });
    AssertAllWhole(run.Report(), 20);
    CPPUNIT_ASSERT(run.Report().mResumed > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(20),
                         site.mEngine.Model().CreatedCount());
  }

  /// Guards against generations that run on for callers that have left.
  void TestCallerLeaves()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    auto plan = site.Plan({ router.get() });
    plan.mOutputTokens = 100'000;
    {
      LoadRun run(plan);
      run.Start([] {});
      RunEventLoopUntil([&] { return run.Report().mFirstToken.size() == 20; });
    }
    RunEventLoopUntil(
      [&] { return site.mEngine.Model().CancelledCount() == 20; });
    RunEventLoopUntil([&] { return router->OpenStreams() == 0; });
  }

  /// Guards against wrong statuses, and against "not run" left out of an
  /// error.
  void TestErrors()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    const auto expect =
      [](int aStatus, const std::string& aCode, const Answer& aAnswer) {
        CPPUNIT_ASSERT_EQUAL(aCode, aAnswer.Code());
        CPPUNIT_ASSERT_EQUAL(aStatus, aAnswer.mEnd.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), aAnswer.State());
      };
    const std::string path = "/v1/responses";
    HttpCall anonymous;
    anonymous.mUrl = "/v1/models";
    expect(401, "missing_team", site.Call(*router, anonymous));
    anonymous.mHeaders = { "Authorization: Bearer nakuru.k1.AAAA" };
    expect(401, "invalid_team_token", site.Call(*router, anonymous));
    expect(403, "unknown_team", site.Get(*router, "/v1/models", "thika"));
    expect(400, "invalid_json", site.Post(*router, path, "{"));
    expect(400, "invalid_model", site.Post(*router, path, "{}"));
    expect(
      400, "invalid_input", site.Post(*router, path, R"({"model":"drafts"})"));
    expect(404,
           "model_not_found",
           site.Post(*router, path, R"({"model":"x","input":"a"})"));
    expect(
      400,
      "unknown_kind",
      site.Post(*router,
                path,
                R"({"model":"drafts","input":"a","metadata":{"kind":"x"}})"));
    expect(404, "path_not_found", site.Get(*router, "/v2"));
    expect(405, "wrong_method", site.Get(*router, path));
    expect(404,
           "response_not_found",
           site.Get(*router, path + "/resp_AAAA?stream=true"));
    Section("a target that refuses", [&] {
      site.mEngine.SetRefusal(503);
      expect(503,
             "no_target",
             site.Post(*router, path, R"({"model":"drafts","input":"a"})"));
    });
  }

  /// Guards against callers that make the router buffer without bound.
  void TestLimits()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    const auto body =
      site.Post(*router, "/v1/responses", std::string(20'000, 'x'));
    CPPUNIT_ASSERT_EQUAL(413, body.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), body.State());
    const auto header = site.Post(
      *router, "/v1/responses", "{}", { "X: " + std::string(8'000, 'x') });
    CPPUNIT_ASSERT_EQUAL(431, header.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("header_too_large"), header.Code());
  }

  /// Guards against ids of the engine that leak to callers, and against one
  /// team that reads the answer of another.
  void TestWholeResponseAndCancel()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    const auto whole =
      site.Post(*router,
                "/v1/responses",
                R"({"model":"drafts","input":"a","output_tokens":5})");
    CPPUNIT_ASSERT_EQUAL(200, whole.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(
      5, whole.Json()["usage"].toObject()["output_tokens"].toInt());
    const auto id = whole.Json()["id"].toString().toStdString();
    const auto path = "/v1/responses/" + id;
    CPPUNIT_ASSERT_EQUAL(200, site.Get(*router, path).mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(404, site.Get(*router, path, "kisumu").mEnd.mStatus);
    const auto cancelled = site.Post(*router, path + "/cancel", "");
    CPPUNIT_ASSERT_EQUAL(200, cancelled.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(id, cancelled.Json()["id"].toString().toStdString());
  }

  /// Guards against look-ups that fail with one lost connection, and against
  /// actions that run without a guard.
  void TestServices()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    site.mService.SetDrops(1);
    const auto lookUp = site.Get(*router, "/v1/services/stock/kits?size=m");
    CPPUNIT_ASSERT_EQUAL(200, lookUp.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("size=m"),
                         lookUp.Json()["query"].toString().toStdString());
    const std::string path = "/v1/services/stock/reserve";
    CPPUNIT_ASSERT_EQUAL(std::string("idempotency_key_required"),
                         site.Post(*router, path, "{}").Code());
    const auto action =
      site.Post(*router, path, "{}", { "Idempotency-Key: a1" });
    CPPUNIT_ASSERT_EQUAL(503, action.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), action.State());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), site.mService.Runs("a1"));
  }

  /// Guards against a planned stop that interrupts a stream or accepts work
  /// that it then drops.
  void TestShutdown()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    LoadRun run(site.Plan({ router.get() }));
    bool isOver = false;
    bool isStopped = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return run.Report().mTokens > 20; });
    router->Shutdown([&] { isStopped = true; });
    CPPUNIT_ASSERT_EQUAL(503, site.Get(*router, "/readyz").mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(200, site.Get(*router, "/healthz").mEnd.mStatus);
    RunEventLoopUntil(
      [&] { return site.Get(*router, "/v1/models").mEnd.mStatus == 503; });
    CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"),
                         site.Get(*router, "/v1/models").Code());
    RunEventLoopUntil([&] { return isOver && isStopped; });
    AssertAllWhole(run.Report(), 20);
  }

  /// Guards against two routers that share a port unnoticed by SO_REUSEPORT.
  void TestAddressInUse()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    auto settings = site.Settings();
    settings.mListen.mPort = router->Port();
    auto dispatcher = MakeRouterDispatcher(settings, site.mClock);
    const auto second = Router::Start(settings, std::move(dispatcher), nullptr);
    CPPUNIT_ASSERT(!second);
    CPPUNIT_ASSERT(ErrorCode::kAddressInUse == second.error().mCode);
  }

private:
  std::unique_ptr<RcuReaderThread> mReader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace ragwortdeck
