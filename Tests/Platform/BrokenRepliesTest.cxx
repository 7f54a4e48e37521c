#include "Core/QtScheduler.h"
#include "Core/RandomSource.h"
#include "Platform/HostListClient.h"
#include "Platform/HttpKeyValueStore.h"
#include "Support/EventLoop.h"
#include "Support/RawServer.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

namespace {

const QByteArray kRange = R"({"header":{"revision":"5"},"kvs":[]})";
const QByteArray kPut =
  R"({"header":{"revision":"5"},"succeeded":true,"responses":[{}]})";
const QByteArray kHosts =
  R"([{"targets":["127.0.0.1:7001"],"labels":{"host":"entry-1",)"
  R"("role":"router","failure_domain":"nadia"}}])";

/// Ends a call whose reply Qt goes on reading.
constexpr std::chrono::milliseconds kTimeout{ 1000 };

QByteArray
LengthOf(const QByteArray& aBody)
{
  return "Content-Length: " + QByteArray::number(aBody.size()) + "\r\n";
}

} // namespace

/// \brief Tests replies of the key-value service and of the host list that are
/// broken off by a reset, or whose heads are none.
class BrokenRepliesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrokenRepliesTest);
  CPPUNIT_TEST(TestResetUploads);
  CPPUNIT_TEST(TestMalformedReplies);
  CPPUNIT_TEST(TestMalformedHostLists);
  CPPUNIT_TEST_SUITE_END();

  static HttpKeyValueStore MakeStore(Scheduler& aScheduler,
                                     const RawServer& aServer)
  {
    KeyValueSettings settings;
    settings.mEndpoints = { { "127.0.0.1", aServer.Port() } };
    settings.mCallTimeout = kTimeout;
    return { aScheduler, settings };
  }

  /// The effect that a failed write had; empty if it counts as applied.
  static std::optional<KeyValueError::Effect> Put(const RawServer& aServer,
                                                  std::size_t aBytes)
  {
    QtScheduler scheduler;
    auto store = MakeStore(scheduler, aServer);
    std::optional<KeyValueError::Effect> effect;
    bool isOver = false;
    store.Commit(
      { {}, { KeyOperation::Put("k", std::string(aBytes, 'x')) }, {} },
      [&](const KeyValueResult<KeyTransactionReply>& aReply) {
        if (!aReply) {
          effect = aReply.error().mEffect;
        }
        isOver = true;
      });
    RunEventLoopUntil([&] { return isOver; });
    return effect;
  }

  static bool IsRead(const RawServer& aServer)
  {
    QtScheduler scheduler;
    auto store = MakeStore(scheduler, aServer);
    std::optional<bool> isRead;
    store.Range("k", false, [&](const KeyValueResult<KeyRangeReply>& aReply) {
      isRead = bool(aReply);
    });
    RunEventLoopUntil([&] { return isRead.has_value(); });
    return *isRead;
  }

public:
  /// Guards against a write that counts as applied, or as refused, though its
  /// reply was cut off.
  void TestResetUploads()
  {
    RawServer server("HTTP/1.1 200 OK\r\n\r\n" + kPut.chopped(1));
    for (const auto& reset : ResetCases()) {
      Section(reset.mName, [&] {
        server.SetEnding(reset.mEnding);
        CPPUNIT_ASSERT(Put(server, reset.mUploadBytes) ==
                       KeyValueError::Effect::kUnknown);
      });
    }
  }

  void TestMalformedReplies()
  {
    RawServer server("");
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      const QByteArray fields = "Connection: close\r\n";
      server.SetAnswer(answer.Bytes(fields, kRange));
      if (IsRead(server)) {
        taken += answer.mName + std::string(" as a range; ");
      }
      server.SetAnswer(answer.Bytes(fields, kPut));
      if (Put(server, 1) != KeyValueError::Effect::kUnknown) {
        taken += answer.mName + std::string(" as a write; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("a well-formed one is read", [&] {
      server.SetAnswer("HTTP/1.1 200 OK\r\nConnection: close\r\n" +
                       LengthOf(kRange) + "\r\n" + kRange);
      CPPUNIT_ASSERT(IsRead(server));
    });
  }

  void TestMalformedHostLists()
  {
    const auto isTaken = [](const QByteArray& aAnswer) {
      const RawServer server(aAnswer);
      QtScheduler scheduler;
      HostListSettings settings;
      settings.mUrl = QUrl(QString::fromStdString(server.Url()));
      settings.mTimeout = kTimeout;
      int lists = 0;
      const HostListClient client(scheduler,
                                  RandomSource(1),
                                  settings,
                                  [&](const HostList&) { ++lists; });
      RunEventLoopUntil([&] { return lists > 0 || client.FailedPolls() > 0; });
      return lists > 0;
    };
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      if (isTaken(answer.Bytes("Connection: close\r\n", kHosts))) {
        taken += answer.mName + std::string("; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("a well-formed one is read", [&] {
      CPPUNIT_ASSERT(isTaken("HTTP/1.1 200 OK\r\nConnection: close\r\n" +
                             LengthOf(kHosts) + "\r\n" + kHosts));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenRepliesTest);

} // namespace ragwortdeck
