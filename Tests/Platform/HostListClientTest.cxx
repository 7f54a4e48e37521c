#include "Platform/HostListClient.h"
#include "Core/RandomSource.h"
#include "StandIns/HostListService.h"
#include "StandIns/WeightService.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <QNetworkReply>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

constexpr const char* kTwoHosts =
  R"([{"targets":["127.0.0.1:7001"],"labels":{"host":"entry-1","role":"router",)"
  R"("failure_domain":"nadia"}},{"targets":["127.0.0.1:9001"],"labels":{)"
  R"("host":"engine-1","role":"engine","failure_domain":"hooghly",)"
  R"("state":"leaving","checks_fencing":"true","model":"drafts, checks"}}])";

/// \brief A client that has read a list of two hosts.
struct PolledList
{
  VirtualScheduler mScheduler;
  HostListService mService{ mScheduler };
  int mChanges = 0;
  std::optional<HostListClient> mClient;

  PolledList()
  {
    mService.SetList(kTwoHosts);
    mScheduler.Advance(0s);
    HostListSettings settings;
    settings.mUrl = QUrl(QString("http://127.0.0.1:%1/hosts")
                           .arg(mService.listen(QHostAddress::LocalHost)));
    mClient.emplace(mScheduler,
                    RandomSource(1),
                    settings,
                    [this](const HostList&) { ++mChanges; });
    RunEventLoopUntil([this] { return mChanges == 1; });
  }
};

} // namespace

/// \brief The host list client keeps the last good list through every kind of
/// bad answer.
class HostListClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostListClientTest);
  CPPUNIT_TEST(TestParse);
  CPPUNIT_TEST(TestOddEntryOfAnotherWriter);
  CPPUNIT_TEST(TestKeepsLastGoodList);
  CPPUNIT_TEST(TestFollowsListBesideOddEntry);
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
    Section("entries of other roles are skipped", [] {
      CPPUNIT_ASSERT(
        ParseHostList(R"([{"targets":["x"],"labels":{"role":"printer"}}])")
          .value()
          .mHosts.empty());
    });
    Section("what is no array is refused as a whole", [] {
      for (const auto* text :
           { "", "{}", "[", "[{]", R"(["])", "[}{]", "[]]", "7" }) {
        Section(text, [&] { CPPUNIT_ASSERT(!ParseHostList(text)); });
      }
    });
    Section("an array may be empty", [] {
      CPPUNIT_ASSERT(ParseHostList(" [ ] ").value() == HostList{});
    });
  }

  void TestOddEntryOfAnotherWriter()
  {
    const auto expected = ParseHostList(kTwoHosts).value().mHosts;
    const auto beside = [](const std::string& aEntry) {
      return QByteArray(kTwoHosts).chopped(1) + "," +
             QByteArray::fromStdString(aEntry) + "]";
    };
    const auto labelled = [](const std::string& aLabels) {
      return R"({"targets":["127.0.0.1:1"],"labels":)" + aLabels + "}";
    };
    const auto addressed = [](const std::string& aAddress) {
      return R"({"targets":[)" + aAddress +
             R"(],"labels":{"role":"engine","failure_domain":"n"}})";
    };
    const std::string opening(100'000, '[');
    const auto deep = opening + std::string(opening.size(), ']');
    const std::vector<std::pair<const char*, std::string>> entries{
      { "no failure domain", labelled(R"({"role":"engine"})") },
      { "no role", labelled(R"({"failure_domain":"nadia"})") },
      { "an unknown state",
        labelled(R"({"role":"engine","failure_domain":"n","state":"gone"})") },
      { "an empty id",
        labelled(R"({"role":"engine","failure_domain":"n","host":""})") },
      { "a number for a text",
        labelled(R"({"role":"engine","failure_domain":7})") },
      { "no address", addressed(R"("x")") },
      { "a port out of range", addressed(R"("127.0.0.1:65536")") },
      { "port 0", addressed(R"("127.0.0.1:0")") },
      { "a negative port", addressed(R"("127.0.0.1:-1")") },
      { "a name instead of an address", addressed(R"("engine-9:80")") },
      { "one address twice", addressed(R"("127.0.0.1:1","127.0.0.1:1")") },
      { "a number too large", R"({"targets":1e999999,"labels":{}})" },
      { "very deeply nested", deep },
      { "very deeply nested labels", R"({"labels":)" + deep + "}" },
      { "no JSON", "{targets}" },
      { "nothing", "" },
    };
    for (const auto& entry : entries) {
      Section(entry.first, [&] {
        const auto list = ParseHostList(beside(entry.second));
        CPPUNIT_ASSERT(list.has_value());
        CPPUNIT_ASSERT(list.value().mHosts == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.value().mOddEntries.size());
      });
    }
    Section("an id of which two entries differ names no host", [&] {
      const auto list = ParseHostList(beside(labelled(
        R"({"role":"engine","failure_domain":"n","host":"engine-1"})")));
      CPPUNIT_ASSERT(list.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.value().mHosts.size());
      CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), list.value().mHosts[0].mId);
      CPPUNIT_ASSERT(list.value().mOddEntries[0].mNames ==
                     std::vector<std::string>{ "engine-1" });
    });
  }

  void TestKeepsLastGoodList()
  {
    PolledList list;
    std::uint64_t failed = 0;
    const auto expectKept = [&] {
      list.mScheduler.Advance(2500ms);
      ++failed;
      RunEventLoopUntil([&] { return list.mClient->FailedPolls() == failed; });
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.mClient->Last()->mHosts.size());
    };
    Section("while the service is down", [&] {
      list.mService.mDown = true;
      expectKept();
      list.mService.mDown = false;
    });
    for (const auto* bad : { "[]", "{", R"([{"targets":["x"]}])" }) {
      Section(bad, [&] {
        list.mService.SetList(bad);
        expectKept();
      });
    }
    Section("its age is that of the last good answer", [&] {
      CPPUNIT_ASSERT(list.mClient->Age() == Duration(4 * 2500ms));
    });
    Section("a change shows after the lag of the list", [&] {
      list.mService.mLag = 3s;
      list.mService.SetList(
        R"([{"targets":["127.0.0.1:1"],"labels":{"role":"engine",)"
        R"("failure_domain":"n"}}])");
      expectKept();
      list.mScheduler.Advance(2500ms);
      RunEventLoopUntil([&] { return list.mChanges == 2; });
      CPPUNIT_ASSERT(list.mClient->Age() == Duration::zero());
    });
  }

  void TestFollowsListBesideOddEntry()
  {
    PolledList list;
    const auto engine = list.mClient->Last()->mHosts[1];
    const std::string newcomer =
      R"({"targets":["127.0.0.1:7002"],"labels":{"host":"entry-2",)"
      R"("role":"router","failure_domain":"nadia"}})";
    // Waits for the poll that reads aEntry beside the newcomer's.
    const auto listBesideNewcomer = [&](const std::string& aEntry) {
      list.mService.SetList(
        QByteArray::fromStdString("[" + newcomer + "," + aEntry + "]"));
      list.mScheduler.Advance(2500ms);
      RunEventLoopUntil(
        [&] { return list.mClient->Age() == Duration::zero(); });
    };
    Section("a newcomer is found, and the host of the odd entry stays", [&] {
      list.mService.SetList(QByteArray::fromStdString(
        "[" + newcomer +
        R"(,{"targets":["127.0.0.1:99999"],"labels":{"host":"engine-1",)"
        R"("role":"engine","failure_domain":"hooghly"}}])"));
      list.mScheduler.Advance(2500ms);
      RunEventLoopUntil(
        [&] { return list.mChanges == 2 || list.mClient->FailedPolls() > 0; });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), list.mClient->FailedPolls());
      const auto& hosts = list.mClient->Last()->mHosts;
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), hosts.size());
      CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), hosts[0].mId);
      CPPUNIT_ASSERT(hosts[1] == engine);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.mClient->OddEntries());
    });
    const auto expectKept = [&](const std::string& aOdd) {
      Section(aOdd, [&] {
        listBesideNewcomer(aOdd);
        CPPUNIT_ASSERT(list.mClient->Last()->mHosts[1] == engine);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.mClient->OddEntries());
      });
    };
    const std::string prefix = R"({"targets":["127.0.0.1:9001"],"labels":{)";
    expectKept(prefix + R"("host":"","role":"engine","failure_domain":"n"}})");
    expectKept(prefix + R"("role":7}})");
    expectKept(R"({"targets":["127.0.0.1:9001","127.0.0.1:9002"],"labels":{)"
               R"("host":"engines","role":"engine","failure_domain":"n"}})");
    Section("a host whose address another one has is not kept", [&] {
      listBesideNewcomer(
        R"({"targets":["127.0.0.1:9001"],"labels":{"host":"engine-2",)"
        R"("role":"engine","failure_domain":"n"}},{"labels":{)"
        R"("host":"engine-1"}})");
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.mClient->Last()->mHosts.size());
      CPPUNIT_ASSERT_EQUAL(std::string("engine-2"),
                           list.mClient->Last()->mHosts[1].mId);
    });
    Section("a host goes when no entry names it any more", [&] {
      const int changes = list.mChanges;
      list.mService.SetList(
        QByteArray::fromStdString("[" + newcomer + ",{broken}]"));
      list.mScheduler.Advance(2500ms);
      RunEventLoopUntil([&] { return list.mChanges > changes; });
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.mClient->Last()->mHosts.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.mClient->OddEntries());
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
      accepted += list && list.value().mHosts.size() == 2 &&
                      list.value().mOddEntries.empty()
                    ? 1
                    : 0;
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
