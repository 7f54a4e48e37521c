#include "Filters/Router.h"
#include "Filters/DispatcherFactory.h"
#include "StandIns/EngineServer.h"
#include "StandIns/ServiceServer.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"
#include "Targets/LoadRun.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace ragwortdeck {

namespace {

const std::vector<SharedKey> kKeys = { { "k1", "0123456789abcdef" } };
std::string
TokenOf(const std::string& aTeam)
{
  return KeyRing::Create(kKeys).value().IssueTeamToken(aTeam);
}

struct Answer
{
  TransferEnd mEnd;
  std::string mBody;

  std::string Code() const { return Error()["code"].toString().toStdString(); }
  std::string State() const
  {
    return Error()["verdict"].toString().toStdString();
  }
  QJsonObject Json() const
  {
    return QJsonDocument::fromJson(QByteArray::fromStdString(mBody)).object();
  }
  QJsonObject Error() const { return Json()["error"].toObject(); }
};

/// \brief Two engines, a service and any number of routers in this process.
class Site
{
public:
  Site()
    : mEngine(Options())
    , mService({})
  {
    mEnginePort = mEngine.Listen({ "127.0.0.1", 0 });
    mServicePort = mService.Listen({ "127.0.0.1", 0 });
  }

  static EngineOptions Options()
  {
    EngineOptions options;
    options.mTokenInterval = Duration(2'000);
    options.mMaxBatch = 1000;
    return options;
  }

  RouterSettings Settings() const
  {
    SiteView view;
    view.mTable.mVersion = 1;
    for (const auto* name : { "nakuru", "kisumu" }) {
      TeamRow team;
      team.mTeam = TeamName(name);
      view.mTable.mTeams.emplace(team.mTeam, team);
    }
    view.mTable.mModels[ModelName("drafts")].mModel = ModelName("drafts");
    AddTarget(view, "engine-1", TargetRole::kEngine, mEnginePort, "drafts");
    AddTarget(view, "stock-1", TargetRole::kService, mServicePort, "stock");
    AddTarget(view, "stock-2", TargetRole::kService, mServicePort, "stock");
    RouterSettings settings;
    settings.mHost = HostId("entry-01");
    settings.mListen = { "127.0.0.1", 0 };
    settings.mKeys = kKeys;
    settings.mDispatcher = "least-outstanding";
    settings.mShutdownGrace = std::chrono::milliseconds(0);
    settings.mLimits.mRelay.mStall = std::chrono::milliseconds(300);
    settings.mConnections.mMaxBodyBytes = 10'000;
    settings.mConnections.mMaxHeaderBytes = 4'000;
    settings.mBootstrapView = std::make_shared<const SiteView>(view);
    return settings;
  }

  std::unique_ptr<Router> MakeRouter(RouterSettings aSettings) const
  {
    auto dispatcher = MakeRouterDispatcher(aSettings, mClock);
    return std::move(
      Router::Start(std::move(aSettings), std::move(dispatcher), nullptr)
        .value());
  }
  std::unique_ptr<Router> MakeRouter() const { return MakeRouter(Settings()); }

  Answer Call(const Router& aRouter, HttpCall aCall)
  {
    aCall.mUrl =
      "http://127.0.0.1:" + std::to_string(aRouter.Port()) + aCall.mUrl;
    Answer answer;
    bool isOver = false;
    const auto transfer = mCurl.Start(
      aCall,
      [&](std::string_view aBytes) { answer.mBody += aBytes; },
      [&](const TransferEnd& aEnd) {
        answer.mEnd = aEnd;
        isOver = true;
      });
    RunEventLoopUntil([&] { return isOver; });
    return answer;
  }
  Answer Get(const Router& aRouter,
             const std::string& aPath,
             const std::string& aTeam = "nakuru")
  {
    HttpCall call;
    call.mUrl = aPath;
    call.mHeaders = { "Authorization: Bearer " + TokenOf(aTeam) };
    return Call(aRouter, call);
  }
  Answer Post(const Router& aRouter,
              const std::string& aPath,
              const std::string& aBody,
              std::vector<std::string> aHeaders = {})
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = aPath;
    call.mBody = aBody;
    call.mHeaders = std::move(aHeaders);
    call.mHeaders.push_back("Authorization: Bearer " + TokenOf("nakuru"));
    return Call(aRouter, call);
  }

  LoadPlan Plan(const std::vector<const Router*>& aRouters) const
  {
    LoadPlan plan;
    for (const auto* router : aRouters) {
      plan.mAddresses.push_back("127.0.0.1:" + std::to_string(router->Port()));
    }
    plan.mToken = TokenOf("nakuru");
    plan.mOutputTokens = 40;
    plan.mStreams = 20;
    plan.mRequests = 20;
    return plan;
  }
  static LoadReportSheet Run(const LoadPlan& aPlan)
  {
    LoadRun run(aPlan);
    bool isOver = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return isOver; });
    return std::move(run.Report());
  }

  QtScheduler mClock;
  CurlMulti mCurl;
  EngineServer mEngine;
  ServiceServer mService;
  std::uint16_t mEnginePort = 0;
  std::uint16_t mServicePort = 0;

private:
  static void AddTarget(SiteView& aView,
                        const std::string& aId,
                        TargetRole aRole,
                        std::uint16_t aPort,
                        const std::string& aModel)
  {
    Target target;
    target.mId = TargetId(aId);
    target.mRole = aRole;
    target.mAddress = "127.0.0.1:" + std::to_string(aPort);
    target.mModels = { ModelName(aModel) };
    aView.mTargets.emplace(target.mId, target);
  }
};

void
AssertAllWhole(const LoadReportSheet& aReport, std::uint64_t aCount)
{
  CPPUNIT_ASSERT_EQUAL(std::string(), aReport.mFirstError);
  CPPUNIT_ASSERT_EQUAL(aCount, aReport.mCompleted);
  CPPUNIT_ASSERT(aReport.IsClean());
}

} // namespace

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
    Site site;
    const auto router = site.MakeRouter();
    std::size_t most = 0;
    site.mEngine.SetFaults([&](const Generation&, std::int64_t, std::uint32_t) {
      most = std::max(most, site.mEngine.Model().RunningCount());
      return StreamFault::kNone;
    });
    AssertAllWhole(Site::Run(site.Plan({ router.get() })), 20);
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
        Site site;
        const auto router = site.MakeRouter();
        site.mEngine.SetFaults([&](const Generation&,
                                   std::int64_t aSequence,
                                   std::uint32_t aConnection) {
          return aSequence == 20 && aConnection == 1 ? fault
                                                     : StreamFault::kNone;
        });
        AssertAllWhole(Site::Run(site.Plan({ router.get() })), 20);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20),
                             site.mEngine.Model().CreatedCount());
      });
    }
  }

  /// Guards against a partial answer that looks whole after an engine restart.
  void TestEngineRestart()
  {
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
    Site site;
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
