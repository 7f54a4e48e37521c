#include "Platform/HttpKeyValueStore.h"
#include "Core/RandomSource.h"
#include "Platform/EtcdJson.h"
#include "StandIns/KeyValueGateway.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <QTcpServer>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

/// \brief Accepts connections, reads requests and closes without a reply.
class ClosingServer : public QTcpServer
{
public:
  ClosingServer()
  {
    CPPUNIT_ASSERT(listen(QHostAddress::LocalHost));
    QObject::connect(this, &QTcpServer::newConnection, this, [this] {
      auto* socket = nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        const auto bytes = socket->readAll();
        mRequests += static_cast<int>(bytes.count("POST "));
        if (bytes.contains("compare") || bytes.contains("\"key\"")) {
          ++mBodies;
          socket->disconnectFromHost();
        }
      });
      QObject::connect(
        socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    });
  }

  int mRequests = 0;
  int mBodies = 0;
};

/// \brief Answers every request with the same body.
class FixedServer : public QTcpServer
{
public:
  explicit FixedServer(const QByteArray& aBody)
  {
    CPPUNIT_ASSERT(listen(QHostAddress::LocalHost));
    QObject::connect(this, &QTcpServer::newConnection, this, [this, aBody] {
      auto* socket = nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, aBody] {
        socket->readAll();
        socket->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Connection: close\r\nContent-Length: " +
                      QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody);
        socket->disconnectFromHost();
      });
      QObject::connect(
        socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    });
  }
};

} // namespace

/// \brief The HTTP adapter against the stand-in gateway: every failure is
/// reported with its true effect.
class HttpKeyValueStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpKeyValueStoreTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestLeases);
  CPPUNIT_TEST(TestLostReplyIsUnknownAndNotRepeated);
  CPPUNIT_TEST(TestClosedConnectionIsNotRepeated);
  CPPUNIT_TEST(TestRefusedIsNotApplied);
  CPPUNIT_TEST(TestStalledServiceTimesOut);
  CPPUNIT_TEST(TestRejectedIsNotApplied);
  CPPUNIT_TEST(TestFailover);
  CPPUNIT_TEST(TestWatch);
  CPPUNIT_TEST(TestStalledWatchIsRenewed);
  CPPUNIT_TEST(TestWatchErrors);
  CPPUNIT_TEST(TestReplyToAnotherTransaction);
  CPPUNIT_TEST(TestFuzzedReplies);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mScheduler = std::make_unique<VirtualScheduler>();
    mGateway = std::make_unique<KeyValueGateway>(*mScheduler);
    const auto port = mGateway->listen(QHostAddress::LocalHost);
    mStore = MakeStore({ { "127.0.0.1", port } });
  }

  void tearDown() override
  {
    mWatch.reset();
    mStore.reset();
    mGateway.reset();
    mScheduler.reset();
  }

  void TestRoundTrip()
  {
    const std::string binary("a\0\xff\n", 4);
    const KeyTransaction create{
      { { "k", KeyCompare::Field::kCreateRevision, 0 } },
      { KeyOperation::Put("k", binary), KeyOperation::Range("k") },
      { KeyOperation::RangePrefix("k") }
    };
    const auto first = Commit(create).value();
    CPPUNIT_ASSERT(first.mSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.mRanges.size());
    CPPUNIT_ASSERT(first.mRanges[1].at(0).mValue == binary);
    const auto second = Commit(create).value();
    CPPUNIT_ASSERT(!second.mSucceeded);
    CPPUNIT_ASSERT(second.mRanges[0].at(0) == first.mRanges[1].at(0));
    Commit({ {}, { KeyOperation::Put("k/2", "") }, {} }).value();
    const auto range = Range("k", true).value();
    CPPUNIT_ASSERT_EQUAL(mGateway->mState.Revision(), range.mRevision);
    CPPUNIT_ASSERT(range.mKeys == mGateway->mState.Range("k", true).mKeys);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), mGateway->mCounts["txn"]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mGateway->mCounts["range"]);
  }

  void TestLeases()
  {
    std::int64_t lease = 0;
    mStore->GrantLease(
      5s, [&](KeyValueResult<std::int64_t> aReply) { lease = aReply.value(); });
    RunEventLoopUntil([&] { return lease != 0; });
    Commit({ {}, { KeyOperation::Put("k", "1", lease) }, {} }).value();
    CPPUNIT_ASSERT(KeepAlive(lease) == 5s);
    std::optional<bool> revoked;
    mStore->RevokeLease(
      lease, [&](KeyValueResult<bool> aReply) { revoked = aReply.value(); });
    RunEventLoopUntil([&] { return revoked.has_value(); });
    CPPUNIT_ASSERT(Range("k", false).value().mKeys.empty());
    Section("an expired lease has no time left",
            [&] { CPPUNIT_ASSERT(KeepAlive(lease) == 0s); });
  }

  void TestLostReplyIsUnknownAndNotRepeated()
  {
    mGateway->mFaults.mDropReplies = 1;
    const auto reply =
      Commit({ {}, { KeyOperation::Put("k", "1") }, {} }).error();
    CPPUNIT_ASSERT(reply.mEffect == KeyValueError::Effect::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mGateway->mCounts["txn"]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1),
                         Range("k", false).value().mKeys.at(0).mVersion);
  }

  void TestClosedConnectionIsNotRepeated()
  {
    // Guards against the automatic repetition of QNetworkAccessManager, which
    // sends a request again when the connection closes without a reply.
    ClosingServer server;
    mStore = MakeStore({ { "127.0.0.1", server.serverPort() } });
    const auto reply =
      Commit({ {}, { KeyOperation::Put("k", "1") }, {} }).error();
    CPPUNIT_ASSERT(reply.mEffect == KeyValueError::Effect::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1, server.mBodies);
  }

  void TestRefusedIsNotApplied()
  {
    mStore = MakeStore({ { "127.0.0.1", RefusedPort() } });
    const auto reply =
      Commit({ {}, { KeyOperation::Put("k", "1") }, {} }).error();
    CPPUNIT_ASSERT(reply.mEffect == KeyValueError::Effect::kNotApplied);
  }

  void TestStalledServiceTimesOut()
  {
    mGateway->mFaults.mStalled = true;
    std::optional<KeyValueError> error;
    int calls = 0;
    mStore->Commit({ {}, { KeyOperation::Put("k", "1") }, {} },
                   [&](const KeyValueResult<KeyTransactionReply>& aReply) {
                     error = aReply.error();
                     ++calls;
                   });
    RunEventLoopUntil([&] { return mGateway->mArrived == 1; });
    CPPUNIT_ASSERT(!error);
    mScheduler->Advance(3s);
    CPPUNIT_ASSERT(error.has_value());
    CPPUNIT_ASSERT(error->mEffect == KeyValueError::Effect::kUnknown);
    mGateway->mFaults.mStalled = false;
    mScheduler->Advance(10s);
    CPPUNIT_ASSERT_EQUAL(1, calls);
  }

  void TestRejectedIsNotApplied()
  {
    const auto unknownLease =
      Commit({ {}, { KeyOperation::Put("k", "1", 99) }, {} }).error();
    CPPUNIT_ASSERT(unknownLease.mEffect == KeyValueError::Effect::kNotApplied);
    KeyTransaction large;
    for (std::size_t n = 0; n <= KeyValueGateway::kMaxOperations; ++n) {
      large.mThen.push_back(KeyOperation::Put("k" + std::to_string(n), ""));
    }
    CPPUNIT_ASSERT(Commit(large).error().mEffect ==
                   KeyValueError::Effect::kNotApplied);
    CPPUNIT_ASSERT(Range("k", true).value().mKeys.empty());
  }

  void TestFailover()
  {
    const auto live = mGateway->serverPorts().at(0);
    Section("a refusing endpoint does not end reads or writes", [&] {
      mStore =
        MakeStore({ { "127.0.0.1", RefusedPort() }, { "127.0.0.1", live } });
      Commit({ {}, { KeyOperation::Put("k", "1") }, {} }).value();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           Range("k", false).value().mKeys.size());
    });
    Section("an endpoint that closes the connection ends writes only", [&] {
      ClosingServer server;
      const std::vector<Endpoint> endpoints = {
        { "127.0.0.1", server.serverPort() }, { "127.0.0.1", live }
      };
      mStore = MakeStore(endpoints);
      CPPUNIT_ASSERT(
        Commit({ {}, { KeyOperation::Put("k", "2") }, {} }).error().mEffect ==
        KeyValueError::Effect::kUnknown);
      mStore = MakeStore(endpoints);
      CPPUNIT_ASSERT(Range("k", false).value().mKeys.at(0).mValue == "1");
    });
    Section("a stalled endpoint does not end reads", [&] {
      KeyValueGateway stalled(*mScheduler);
      stalled.mFaults.mStalled = true;
      mStore =
        MakeStore({ { "127.0.0.1", stalled.listen(QHostAddress::LocalHost) },
                    { "127.0.0.1", live } });
      std::optional<KeyRangeReply> reply;
      mStore->Range("k", false, [&](KeyValueResult<KeyRangeReply> aReply) {
        reply = aReply.value();
      });
      mScheduler->Advance(1001ms);
      RunEventLoopUntil([&] { return reply.has_value(); });
    });
  }

  void TestWatch()
  {
    Put("t/0");
    StartWatch(0);
    RunEventLoopUntil([&] { return mRevisions.size() == 1; });
    Put("t/1");
    Put("u/1");
    mGateway->mState
      .Commit({ {},
                { KeyOperation::Put("t/2", ""), KeyOperation::Delete("t/1") },
                {} })
      .value();
    mGateway->PumpWatches();
    RunEventLoopUntil([&] { return mRevisions.size() == 3; });
    CPPUNIT_ASSERT(mRevisions == (std::vector<std::int64_t>{ 2, 3, 5 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), mLastBatch.mEvents.size());
    CPPUNIT_ASSERT(mLastBatch.mEvents[1].mDeleted);
    CPPUNIT_ASSERT(!mWatchError);
  }

  void TestStalledWatchIsRenewed()
  {
    StartWatch(1);
    RunEventLoopUntil([&] { return mGateway->mCounts["watch"] == 1; });
    Put("t/1");
    RunEventLoopUntil([&] { return mRevisions.size() == 1; });
    mGateway->mFaults.mStallWatches = true;
    Put("t/2");
    Section(
      "after the idle limit the watch opens again and loses nothing", [&] {
        mScheduler->Advance(11s);
        RunEventLoopUntil([&] { return mGateway->mCounts["watch"] == 2; });
        mGateway->mFaults.mStallWatches = false;
        mGateway->PumpWatches();
        RunEventLoopUntil([&] { return mRevisions.size() == 2; });
        CPPUNIT_ASSERT(mRevisions == (std::vector<std::int64_t>{ 2, 3 }));
        CPPUNIT_ASSERT(!mWatchError);
      });
    Section("a service that no longer accepts it ends the watch", [&] {
      mGateway->mFaults.mStalled = true;
      mScheduler->Advance(11s);
      mScheduler->Advance(3s);
      CPPUNIT_ASSERT(mWatchError.has_value());
    });
  }

  void TestWatchErrors()
  {
    Section("a compacted start revision is reported as such", [&] {
      mGateway->mState = KeyValueState(1);
      Put("t/1");
      Put("t/2");
      StartWatch(1);
      RunEventLoopUntil([&] { return mWatchError.has_value(); });
      CPPUNIT_ASSERT(mWatchError->mCompacted);
    });
    Section("a refused connection ends the watch", [&] {
      mWatchError.reset();
      mStore = MakeStore({ { "127.0.0.1", RefusedPort() } });
      StartWatch(1);
      RunEventLoopUntil([&] { return mWatchError.has_value(); });
      CPPUNIT_ASSERT(!mWatchError->mCompacted);
    });
    Section("a watch dropped inside its own callback is safe", [&] {
      mStore = MakeStore({ { "127.0.0.1", mGateway->serverPorts().at(0) } });
      mGateway->mState = KeyValueState();
      Put("t/1");
      Put("t/2");
      int batches = 0;
      mWatch = mStore->Watch(
        "t/",
        1,
        [&](const KeyEventBatch&) {
          ++batches;
          mWatch.reset();
        },
        [](const KeyValueError&) {});
      RunEventLoopUntil([&] { return batches > 0; });
      CPPUNIT_ASSERT_EQUAL(1, batches);
    });
  }

  void TestReplyToAnotherTransaction()
  {
    // Guards against a process that ends because a reply lacks the ranges that
    // its transaction asked for: the controllers read them by their place.
    const KeyTransaction create{
      { { "k", KeyCompare::Field::kCreateRevision, 0 } },
      { KeyOperation::Put("k", "v") },
      { KeyOperation::Range("k") }
    };
    for (const auto* body :
         { R"({"header":{"revision":"9"},"succeeded":false})",
           R"({"header":{"revision":"9"},"succeeded":false,"responses":[]})",
           R"({"header":{"revision":"9"},"succeeded":true,"responses":[]})",
           R"({"header":{"revision":"9"},"succeeded":false,"responses":[)"
           R"({"response_range":{}},{"response_range":{}}]})" }) {
      FixedServer server(body);
      mStore = MakeStore({ { "127.0.0.1", server.serverPort() } });
      const auto reply = Commit(create);
      CPPUNIT_ASSERT(!reply);
      CPPUNIT_ASSERT(reply.error().mEffect == KeyValueError::Effect::kUnknown);
    }
    Section("a reply of the right shape is taken", [&] {
      FixedServer server(R"({"header":{"revision":"9"},"responses":[)"
                         R"({"response_range":{}}]})");
      mStore = MakeStore({ { "127.0.0.1", server.serverPort() } });
      const auto reply = Commit(create);
      CPPUNIT_ASSERT(reply.has_value());
      CPPUNIT_ASSERT(!reply.value().mSucceeded);
    });
  }

  void TestFuzzedReplies()
  {
    // Guards against a crash and against a malformed reply that is taken for
    // a valid one without a revision.
    const std::vector<QByteArray> seeds = {
      R"({"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"djE=",)"
      R"("mod_revision":"7","create_revision":"3","version":"2"}],"count":"1"})",
      R"({"header":{"revision":"9"},"succeeded":true,"responses":[)"
      R"({"response_put":{}},{"response_range":{"kvs":[{"key":"aw=="}]}}]})",
      R"({"result":{"header":{"revision":"9"},"events":[{"type":"DELETE",)"
      R"("kv":{"key":"aw==","mod_revision":"9"}}]}})",
      R"({"header":{"revision":"9"},"ID":"77","TTL":"5"})",
    };
    RandomSource random(411);
    int accepted = 0;
    for (int n = 0; n < 40'000; ++n) {
      auto bytes = seeds[random.Below(seeds.size())];
      for (auto edits = random.Below(5); edits > 0; --edits) {
        const auto at = static_cast<qsizetype>(
          random.Below(static_cast<std::uint64_t>(bytes.size())));
        if (random.Chance(0.2)) {
          bytes.truncate(at + 1);
        }
        bytes[at] = static_cast<char>(random.Below(256));
      }
      const auto range = EtcdJson::ParseRange(bytes);
      const auto transaction = EtcdJson::ParseTransaction(bytes);
      static_cast<void>(EtcdJson::ParseWatch(bytes));
      static_cast<void>(EtcdJson::ParseGrant(bytes));
      static_cast<void>(EtcdJson::ParseKeepAlive(bytes));
      static_cast<void>(EtcdJson::ProvesNotApplied(500, bytes));
      accepted += range.has_value() ? 1 : 0;
      CPPUNIT_ASSERT(!range || range.value().mRevision > 0);
      CPPUNIT_ASSERT(!transaction || transaction.value().mRevision > 0);
    }
    CPPUNIT_ASSERT(accepted > 1000);
    CPPUNIT_ASSERT(!EtcdJson::ParseTransaction("{}"));
    CPPUNIT_ASSERT(!EtcdJson::ParseKeepAlive("{}"));
  }

private:
  std::unique_ptr<HttpKeyValueStore> MakeStore(std::vector<Endpoint> aEndpoints)
  {
    KeyValueSettings settings;
    settings.mEndpoints = std::move(aEndpoints);
    return std::make_unique<HttpKeyValueStore>(*mScheduler,
                                               std::move(settings));
  }
  // A port on which nothing listens.
  static std::uint16_t RefusedPort()
  {
    QTcpServer server;
    CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
    return server.serverPort();
  }
  KeyValueResult<KeyTransactionReply> Commit(const KeyTransaction& aTransaction)
  {
    std::optional<KeyValueResult<KeyTransactionReply>> result;
    mStore->Commit(aTransaction,
                   [&](const KeyValueResult<KeyTransactionReply>& aReply) {
                     result.emplace(aReply);
                   });
    RunEventLoopUntil([&] { return result.has_value(); });
    return *result;
  }
  KeyValueResult<KeyRangeReply> Range(const std::string& aKey, bool aPrefix)
  {
    std::optional<KeyValueResult<KeyRangeReply>> result;
    mStore->Range(
      aKey, aPrefix, [&](const KeyValueResult<KeyRangeReply>& aReply) {
        result.emplace(aReply);
      });
    RunEventLoopUntil([&] { return result.has_value(); });
    return *result;
  }
  std::chrono::seconds KeepAlive(std::int64_t aLease)
  {
    std::optional<std::chrono::seconds> left;
    mStore->KeepAlive(aLease, [&](KeyValueResult<std::chrono::seconds> aReply) {
      left = aReply.value();
    });
    RunEventLoopUntil([&] { return left.has_value(); });
    return *left;
  }
  void Put(const std::string& aKey)
  {
    mGateway->mState.Commit({ {}, { KeyOperation::Put(aKey, "v") }, {} })
      .value();
    mGateway->PumpWatches();
  }
  void StartWatch(std::int64_t aFromRevision)
  {
    mWatch = mStore->Watch(
      "t/",
      aFromRevision,
      [this](const KeyEventBatch& aBatch) {
        mRevisions.push_back(aBatch.mRevision);
        mLastBatch = aBatch;
      },
      [this](const KeyValueError& aError) { mWatchError = aError; });
  }

  std::unique_ptr<VirtualScheduler> mScheduler;
  std::unique_ptr<KeyValueGateway> mGateway;
  std::unique_ptr<HttpKeyValueStore> mStore;
  std::unique_ptr<KeyWatch> mWatch;
  std::vector<std::int64_t> mRevisions;
  KeyEventBatch mLastBatch;
  std::optional<KeyValueError> mWatchError;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpKeyValueStoreTest);

} // namespace ragwortdeck
