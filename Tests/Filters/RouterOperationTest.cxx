#include "Filters/RouterSite.h"
#include "Support/Section.h"
#include "Support/TestCertificate.h"

#include <QSslSocket>
#include <QTemporaryDir>
#include <algorithm>
#include <atomic>

namespace ragwortdeck {

namespace {

/// Sum of the samples of a metric whose line contains aText.
double
MetricOf(const Router& aRouter, const std::string& aText)
{
  double sum = 0;
  std::istringstream lines(aRouter.MetricsText());
  for (std::string line; std::getline(lines, line);) {
    if (line.find(aText) != std::string::npos && line[0] != '#') {
      sum += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return sum;
}

/// \brief Sends the first request to engine-1 and keeps all others waiting.
class HoldingDispatcher : public Dispatcher
{
public:
  Ticket Submit(const RequestTraits& aTraits,
                DispatchCallback aCallback) override
  {
    static_cast<void>(aTraits);
    if (++mSubmitted == 1) {
      aCallback(TargetId("engine-1"));
    }
    return mSubmitted;
  }
  void OnTokens(Ticket, std::uint32_t) override {}
  void OnFinished(Ticket, DispatchOutcome) override {}
  void Cancel(Ticket) override {}
  void OnView(std::shared_ptr<const SiteView>) override {}
  void OnLoadReport(const TargetId&, const LoadReport&) override {}
  void Tick() override {}

  std::atomic<Ticket> mSubmitted = 0;
};

constexpr const char* kLongWhole =
  R"({"model":"drafts","input":"a","output_tokens":100000})";

/// Stops aRouter without a drain as soon as aIsDue.
std::unique_ptr<QTimer>
StopWhen(Router& aRouter, const std::function<bool()>& aIsDue)
{
  auto timer = std::make_unique<QTimer>();
  QObject::connect(
    timer.get(), &QTimer::timeout, [&aRouter, aIsDue, raw = timer.get()] {
      if (aIsDue()) {
        raw->stop();
        aRouter.Shutdown(nullptr);
        aRouter.Shutdown(nullptr);
      }
    });
  timer->start(1);
  return timer;
}

void
AssertStopped(const Answer& aAnswer, const std::string& aState)
{
  CPPUNIT_ASSERT(aAnswer.mEnd.mKind == TransferEndKind::kReplied);
  CPPUNIT_ASSERT_EQUAL(503, aAnswer.mEnd.mStatus);
  CPPUNIT_ASSERT_EQUAL(std::string("shutting_down"), aAnswer.Code());
  CPPUNIT_ASSERT_EQUAL(aState, aAnswer.State());
}

} // namespace

/// \brief What operators of a router rely on: events, metrics, TLS, a bounded
/// stop.
class RouterOperationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RouterOperationTest);
  CPPUNIT_TEST(TestEventsOfARequest);
  CPPUNIT_TEST(TestMetrics);
  CPPUNIT_TEST(TestShutdownDeadline);
  CPPUNIT_TEST(TestStopDeniesARun);
  CPPUNIT_TEST(TestStopWithoutWholeAnswer);
  CPPUNIT_TEST(TestStopBeforeAReadBegins);
  CPPUNIT_TEST(TestTls);
  CPPUNIT_TEST(TestHedgedLookUp);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mReader = std::make_unique<RcuReaderThread>(); }
  void tearDown() override { mReader.reset(); }

  /// Guards against a time line without the steps of a request, or with steps
  /// of another one.
  void TestEventsOfARequest()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    auto plan = site.Plan({ router.get() });
    plan.mStreams = plan.mRequests = 3;
    AssertAllWhole(RouterSite::Run(plan), 3);
    std::map<std::string, std::vector<EventType>> requests;
    for (const auto& event : router->Events().Snapshot().mEvents) {
      if (!event.mRequest.IsEmpty()) {
        requests[event.mRequest.Value()].push_back(event.mType);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), requests.size());
    const std::vector<EventType> expected{ EventType::kRequestReceived,
                                           EventType::kRequestQueued,
                                           EventType::kRequestDispatched,
                                           EventType::kFirstToken,
                                           EventType::kRequestFinished };
    for (const auto& [id, types] : requests) {
      CPPUNIT_ASSERT(types == expected);
    }
    Section("a refused request has its verdict", [&] {
      site.Post(*router, "/v1/responses", "{");
      const auto events = router->Events().Snapshot().mEvents;
      CPPUNIT_ASSERT(
        std::any_of(events.begin(), events.end(), [](const Event& aEvent) {
          return aEvent.mType == EventType::kRequestRefused &&
                 aEvent.mVerdict == "invalid_json";
        }));
    });
  }

  /// Guards against counters that miss requests or count them twice.
  void TestMetrics()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    AssertAllWhole(RouterSite::Run(site.Plan({ router.get() })), 20);
    site.Post(*router, "/v1/responses", "{");
    CPPUNIT_ASSERT_EQUAL(20.0, MetricOf(*router, "outcome=\"completed\""));
    CPPUNIT_ASSERT_EQUAL(1.0, MetricOf(*router, "outcome=\"invalid_json\""));
    CPPUNIT_ASSERT_EQUAL(
      20.0, MetricOf(*router, "ragwort_first_token_seconds_count"));
    // 40 tokens each, the first of which has no token before it.
    CPPUNIT_ASSERT_EQUAL(
      20.0 * 39, MetricOf(*router, "ragwort_inter_token_seconds_count"));
    RunEventLoopUntil(
      [&] { return MetricOf(*router, "ragwort_open_streams") == 0; });
  }

  /// Guards against a stop that waits for ever, and against one that ends a cut
  /// answer as if it were whole.
  void TestShutdownDeadline()
  {
    RouterSite site;
    auto settings = site.Settings();
    settings.mShutdownDeadline = std::chrono::milliseconds(200);
    auto router = site.MakeRouter(settings);
    auto plan = site.Plan({ router.get() });
    plan.mOutputTokens = 100'000;
    LoadRun run(plan);
    bool isStopped = false;
    bool isOver = false;
    run.Start([&] { isOver = true; });
    RunEventLoopUntil([&] { return run.Report().mFirstToken.size() == 20; });
    router->Shutdown([&] { isStopped = true; });
    RunEventLoopUntil([&] { return isStopped; });
    router.reset();
    RunEventLoopUntil([&] { return isOver; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), run.Report().mCompleted);
    CPPUNIT_ASSERT(run.Report().IsClean());
  }

  /// Guards against a stop that says "not run" of a request that waits for a
  /// second engine.
  void TestStopDeniesARun()
  {
    RouterSite site;
    site.mEngine.SetFaults([](const Generation&, std::int64_t, std::uint32_t) {
      return StreamFault::kDrop;
    });
    const auto stop = [&](Ticket aSubmitted) {
      auto holding = std::make_unique<HoldingDispatcher>();
      auto& dispatcher = *holding;
      if (aSubmitted == 1) {
        // The request waits for its first engine.
        dispatcher.mSubmitted = 1;
      }
      const auto router = std::move(
        Router::Start(site.Settings(), std::move(holding), nullptr).value());
      const auto timer =
        StopWhen(*router, [&] { return dispatcher.mSubmitted == 2; });
      return site.Post(*router, "/v1/responses", kLongWhole);
    };
    Section("no engine has had the request",
            [&] { AssertStopped(stop(1), "not-run"); });
    Section("the first engine broke the connection before its first event",
            [&] {
              AssertStopped(stop(0), "may-have-run");
              CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                                   site.mEngine.Model().CreatedCount());
            });
  }

  /// Guards against a stop that closes on a caller who waits for a whole
  /// answer.
  void TestStopWithoutWholeAnswer()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    const auto timer = StopWhen(*router, [&] {
      return MetricOf(*router, "ragwort_first_token_seconds_count") == 1;
    });
    AssertStopped(site.Post(*router, "/v1/responses", kLongWhole),
                  "may-have-run");
    RunEventLoopUntil(
      [&] { return site.mEngine.Model().CancelledCount() == 1; });
  }

  /// Guards against a stop that closes on a caller who reads a stream again and
  /// has got no event, or that cancels what the caller can read elsewhere.
  void TestStopBeforeAReadBegins()
  {
    RouterSite site;
    const auto router = site.MakeRouter();
    const auto whole =
      site.Post(*router,
                "/v1/responses",
                R"({"model":"drafts","input":"a","output_tokens":5})");
    const auto id = whole.Json()["id"].toString().toStdString();
    RunEventLoopUntil([&] { return router->OpenStreams() == 0; });
    site.mEngine.SetFaults([](const Generation&, std::int64_t, std::uint32_t) {
      return StreamFault::kStall;
    });
    const auto timer =
      StopWhen(*router, [&] { return router->OpenStreams() == 1; });
    AssertStopped(site.Get(*router, "/v1/responses/" + id + "?stream=true"),
                  "may-have-run");
    CPPUNIT_ASSERT_EQUAL(0.0, MetricOf(*router, "ragwort_cancels_total"));
  }

  /// Guards against TLS that is set and not used.
  void TestTls()
  {
    const QTemporaryDir folder;
    const auto certificate = folder.filePath("certificate.pem");
    const auto key = folder.filePath("key.pem");
    WriteTestCertificate(certificate, key, "localhost");
    RouterSite site;
    auto settings = site.Settings();
    settings.mTls.mCertificate = certificate.toStdString();
    settings.mTls.mKey = key.toStdString();
    const auto router = site.MakeRouter(settings);
    Section("an encrypted call is answered", [&] {
      QSslSocket socket;
      socket.setPeerVerifyMode(QSslSocket::VerifyNone);
      socket.connectToHostEncrypted("127.0.0.1", router->Port());
      QByteArray reply;
      QObject::connect(&socket, &QSslSocket::encrypted, &socket, [&socket] {
        socket.write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
      });
      QObject::connect(&socket, &QSslSocket::readyRead, &socket, [&] {
        reply += socket.readAll();
      });
      RunEventLoopUntil([&] { return reply.contains("ok\n"); });
      CPPUNIT_ASSERT(reply.startsWith("HTTP/1.1 200"));
    });
    Section("a plain call is not", [&] {
      const auto plain = site.Get(*router, "/healthz");
      CPPUNIT_ASSERT(plain.mEnd.mKind != TransferEndKind::kReplied);
    });
    Section("a missing key file is an error at the start", [&] {
      settings.mTls.mKey = folder.filePath("none.pem").toStdString();
      auto dispatcher = MakeRouterDispatcher(settings, site.mClock);
      CPPUNIT_ASSERT(!Router::Start(settings, std::move(dispatcher), nullptr));
    });
  }

  /// Guards against a hedge that never comes, or that answers twice.
  void TestHedgedLookUp()
  {
    RouterSite site;
    auto settings = site.Settings();
    settings.mLimits.mHedge = std::chrono::milliseconds(20);
    // A stand-in that answers after the hedge has been sent, however slow the
    // machine is: the first call is never answered.
    site.mService.SetIgnores(1);
    const auto router = site.MakeRouter(settings);
    const auto answer = site.Get(*router, "/v1/services/stock/kits");
    CPPUNIT_ASSERT_EQUAL(200, answer.mEnd.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), site.mService.LookUps());
  }

private:
  std::unique_ptr<RcuReaderThread> mReader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterOperationTest);

} // namespace ragwortdeck
