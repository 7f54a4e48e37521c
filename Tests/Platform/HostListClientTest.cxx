#include "Platform/HostListClient.h"
#include "Core/RandomSource.h"
#include "StandIns/HostListService.h"
#include "StandIns/WeightService.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <QNetworkReply>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

constexpr const char* kTwoHosts =
  R"([{"targets":["127.0.0.1:7001"],"labels":{"host":"entry-1","role":"router",)"
  R"("failure_domain":"nadia"}},{"targets":["127.0.0.1:9001"],"labels":{)"
  R"("host":"engine-1","role":"engine","failure_domain":"hooghly",)"
  R"("state":"leaving","checks_fencing":"true","model":"drafts, checks"}}])";

} // namespace

/// \brief The host list client keeps the last good list through every kind of
/// bad answer.
class HostListClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostListClientTest);
  CPPUNIT_TEST(TestParse);
  CPPUNIT_TEST(TestKeepsLastGoodList);
  CPPUNIT_TEST(TestFuzzedLists);
  CPPUNIT_TEST(TestWeightStandInLimitsItsRate);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestParse()
  {
    const auto list = ParseHostList(kTwoHosts).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.mHosts.size());
    const ListedHost engine{ "engine-1",
                             ListedRole::kEngine,
                             "127.0.0.1:9001",
                             FailureDomain("hooghly"),
                             true,
                             true,
                             { ModelName("drafts"), ModelName("checks") } };
    CPPUNIT_ASSERT(list.mHosts[1] == engine);
    const auto refuses = [](const char* aLabels) {
      const auto json =
        std::string(R"([{"targets":["127.0.0.1:1"],"labels":)") + aLabels +
        "}]";
      return !ParseHostList(QByteArray::fromStdString(json));
    };
    for (const auto* labels :
         { R"({"role":"engine"})",
           R"({"failure_domain":"nadia"})",
           R"({"role":"engine","failure_domain":"n","state":"gone"})",
           R"({"role":"engine","failure_domain":"n","host":""})",
           R"({"role":"engine","failure_domain":7})" }) {
      Section(labels, [&] { CPPUNIT_ASSERT(refuses(labels)); });
    }
    Section("entries of other roles are skipped", [] {
      CPPUNIT_ASSERT(
        ParseHostList(R"([{"targets":["x"],"labels":{"role":"printer"}}])")
          .value()
          .mHosts.empty());
    });
    Section("an id that repeats is refused", [] {
      CPPUNIT_ASSERT(!ParseHostList(
        R"([{"targets":["127.0.0.1:1","127.0.0.1:1"],"labels":{"role":"engine",)"
        R"("failure_domain":"n"}}])"));
    });
  }

  void TestKeepsLastGoodList()
  {
    VirtualScheduler scheduler;
    HostListService service(scheduler);
    service.SetList(kTwoHosts);
    scheduler.Advance(0s);
    HostListSettings settings;
    settings.mUrl = QUrl(QString("http://127.0.0.1:%1/hosts")
                           .arg(service.listen(QHostAddress::LocalHost)));
    int changes = 0;
    HostListClient client(scheduler,
                          RandomSource(1),
                          settings,
                          [&](const HostList&) { ++changes; });
    RunEventLoopUntil([&] { return changes == 1; });
    std::uint64_t failed = 0;
    const auto expectKept = [&] {
      scheduler.Advance(2500ms);
      ++failed;
      RunEventLoopUntil([&] { return client.FailedPolls() == failed; });
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), client.Last()->mHosts.size());
    };
    Section("while the service is down", [&] {
      service.mDown = true;
      expectKept();
      service.mDown = false;
    });
    for (const auto* bad : { "[]", "{", R"([{"targets":["x"]}])" }) {
      Section(bad, [&] {
        service.SetList(bad);
        expectKept();
      });
    }
    Section("its age is that of the last good answer",
            [&] { CPPUNIT_ASSERT(client.Age() == Duration(4 * 2500ms)); });
    Section("a change shows after the lag of the list", [&] {
      service.mLag = 3s;
      service.SetList(
        R"([{"targets":["127.0.0.1:1"],"labels":{"role":"engine",)"
        R"("failure_domain":"n"}}])");
      expectKept();
      scheduler.Advance(2500ms);
      RunEventLoopUntil([&] { return changes == 2; });
      CPPUNIT_ASSERT(client.Age() == Duration::zero());
    });
  }

  void TestFuzzedLists()
  {
    RandomSource random(77);
    int accepted = 0;
    for (int n = 0; n < 10'000; ++n) {
      QByteArray bytes(kTwoHosts);
      for (auto edits = random.Below(4); edits > 0; --edits) {
        bytes[static_cast<qsizetype>(
          random.Below(static_cast<std::uint64_t>(bytes.size())))] =
          static_cast<char>(random.Below(256));
      }
      const auto list = ParseHostList(bytes);
      for (const auto& host :
           list ? list.value().mHosts : std::vector<ListedHost>{}) {
        CPPUNIT_ASSERT(!host.mId.empty() && !host.mFailureDomain.IsEmpty());
      }
      accepted += list.has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT(accepted > 1000);
  }

  void TestWeightStandInLimitsItsRate()
  {
    VirtualScheduler scheduler;
    WeightService service(scheduler);
    service.mRate = 1;
    service.mWeights["m"] = 10;
    QNetworkAccessManager manager;
    const QUrl url(QString("http://127.0.0.1:%1/weights/m")
                     .arg(service.listen(QHostAddress::LocalHost)));
    const auto get = [&] {
      const std::unique_ptr<QNetworkReply> reply(
        manager.get(QNetworkRequest(url)));
      RunEventLoopUntil([&] { return reply->isFinished(); });
      return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    };
    CPPUNIT_ASSERT_EQUAL(200, get());
    CPPUNIT_ASSERT_EQUAL(429, get());
    scheduler.Advance(1s);
    CPPUNIT_ASSERT_EQUAL(200, get());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), service.mLimited);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostListClientTest);

} // namespace ragwortdeck
