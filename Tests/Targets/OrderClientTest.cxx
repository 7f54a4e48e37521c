#include "Targets/OrderClient.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief The order client reports what is certain and nothing more.
class OrderClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OrderClientTest);
  CPPUNIT_TEST(TestOrderText);
  CPPUNIT_TEST(TestStateText);
  CPPUNIT_TEST(TestReports);
  CPPUNIT_TEST(TestReadState);
  CPPUNIT_TEST(TestLateCopyOfAnEarlierAnswer);
  CPPUNIT_TEST(TestEngineThatClosesAfterReading);
  CPPUNIT_TEST(TestAnswerWithoutEnd);
  CPPUNIT_TEST_SUITE_END();

  /// \brief Answers each request with one text, or not at all.
  class Server
  {
  public:
    explicit Server(QByteArray aAnswer)
      : mAnswer(std::move(aAnswer))
    {
      CPPUNIT_ASSERT(mServer.listen(QHostAddress::LocalHost));
      QObject::connect(&mServer, &QTcpServer::newConnection, [this] {
        auto* socket = mServer.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
          mReceived += socket->readAll();
          if (!mAnswer.isEmpty() && mReceived.contains("\r\n\r\n")) {
            socket->write(mAnswer);
            socket->disconnectFromHost();
          }
        });
      });
    }

    Target Address() const
    {
      Target target;
      target.mAddress = "127.0.0.1:" + std::to_string(mServer.serverPort());
      return target;
    }

    QByteArray mReceived;

  private:
    QByteArray mAnswer;
    QTcpServer mServer;
  };

  /// \brief Keeps its connections open, and misuses those that served a request
  /// before.
  class KeepAliveServer
  {
  public:
    using Answers = std::vector<QByteArray>;

    /// Answers the requests in the order of aAnswers.
    explicit KeepAliveServer(Answers aAnswers)
      : mAnswers(std::move(aAnswers))
    {
      CPPUNIT_ASSERT(mServer.listen(QHostAddress::LocalHost));
      QObject::connect(&mServer, &QTcpServer::newConnection, [this] {
        auto* socket = mServer.nextPendingConnection();
        QObject::connect(socket,
                         &QTcpSocket::readyRead,
                         [this, socket, previous = QByteArray()]() mutable {
                           OnBytes(*socket, previous);
                         });
      });
    }

    Target Address() const
    {
      Target target;
      target.mAddress = "127.0.0.1:" + std::to_string(mServer.serverPort());
      return target;
    }

    bool mRepeatsAnswers = false;
    bool mClosesUsedConnections = false;
    std::size_t mRequests = 0;

  private:
    void OnBytes(QTcpSocket& aSocket, QByteArray& aPrevious)
    {
      const auto bytes = aSocket.readAll();
      if (!bytes.startsWith("POST") && !bytes.startsWith("GET")) {
        return; // The body of the request before.
      }
      const auto answer = mAnswers.at(mRequests % mAnswers.size());
      ++mRequests;
      if (mClosesUsedConnections && !aPrevious.isEmpty()) {
        aSocket.disconnectFromHost();
        return;
      }
      aSocket.write(mRepeatsAnswers ? aPrevious + answer : answer);
      aPrevious = answer;
    }

    Answers mAnswers;
    QTcpServer mServer;
  };

  static QByteArray KeptHttp(const char* aStatus)
  {
    return "HTTP/1.1 " + QByteArray(aStatus) +
           "\r\nContent-Length: 2\r\n\r\n{}";
  }

  static QByteArray Http(const char* aStatus, const QByteArray& aBody = {})
  {
    return "HTTP/1.1 " + QByteArray(aStatus) +
           "\r\nConnection: close\r\nContent-Length: " +
           QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static EngineOrder Order()
  {
    EngineOrder order;
    order.mId = "7-1";
    order.mAction = OrderAction::kLoadModel;
    order.mModel = ModelName("m");
    order.mVersion = "v1";
    order.mFencing = 7;
    order.mExpiresIn = 2s;
    return order;
  }

  static OrderReport Send(const Target& aTarget,
                          std::chrono::milliseconds aTimeout)
  {
    OrderClient client(aTimeout);
    return Send(client, aTarget);
  }

  static OrderReport Send(OrderClient& aClient, const Target& aTarget)
  {
    std::optional<OrderReport> report;
    aClient.Send(
      aTarget, Order(), [&report](OrderReport aReport) { report = aReport; });
    RunEventLoopUntil([&report] { return report.has_value(); });
    return *report;
  }

public:
  void TestOrderText()
  {
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"({"action":"load_model","expires_in_ms":2000,"fencing":7,)"
                  R"("id":"7-1","model":"m","version":"v1"})"),
      EncodeEngineOrder(Order()));
  }

  void TestStateText()
  {
    const auto state = DecodeEngineState(
      R"({"fencing":7,"role":"serving","memory_free_bytes":12,"models":[)"
      R"({"model":"m","version":"v1","ready":true,"adapters":["a"]}]})");
    const EngineState expected{
      7, "serving", 12, { { ModelName("m"), "v1", true, { "a" } } }
    };
    CPPUNIT_ASSERT(state.value() == expected);
    // A state without models would look like an engine that lost them all.
    for (const auto* text : { "", "[]", "{}", R"({"models":[{}]})" }) {
      CPPUNIT_ASSERT(!DecodeEngineState(text));
    }
  }

  void TestReports()
  {
    const std::vector<std::pair<const char*, OrderReport>> statuses{
      { "200 OK", OrderReport::kAccepted },
      { "202 Accepted", OrderReport::kAccepted },
      { "302 Found", OrderReport::kRefused },
      { "409 Conflict", OrderReport::kStale },
      { "412 Precondition Failed", OrderReport::kStale },
      { "500 Error", OrderReport::kRefused },
    };
    for (const auto& entry : statuses) {
      Section(entry.first, [&entry] {
        Server server(Http(entry.first));
        CPPUNIT_ASSERT(Send(server.Address(), 30s) == entry.second);
        CPPUNIT_ASSERT(server.mReceived.startsWith("POST /orders"));
      });
    }
    Section("an engine that does not answer", [] {
      Server server("");
      CPPUNIT_ASSERT(Send(server.Address(), 200ms) == OrderReport::kUnknown);
    });
    Section("a refused connection", [] {
      Target nobody;
      {
        Server server("");
        nobody = server.Address();
      }
      CPPUNIT_ASSERT(Send(nobody, 30s) == OrderReport::kUnknown);
    });
  }

  void TestReadState()
  {
    for (const auto* status : { "200 OK", "500 Error" }) {
      Server server(Http(status, R"({"models":[]})"));
      OrderClient client(30s);
      std::optional<Result<EngineState>> state;
      client.ReadState(
        server.Address(),
        [&state](const Result<EngineState>& aState) { state = aState; });
      RunEventLoopUntil([&state] { return state.has_value(); });
      CPPUNIT_ASSERT_EQUAL(std::string(status) == "200 OK", state->has_value());
    }
  }

  /// Guards against an order whose outcome is taken from the answer to another
  /// one: nothing in an answer tells them apart.
  void TestLateCopyOfAnEarlierAnswer()
  {
    KeepAliveServer server(
      { KeptHttp("409 Conflict"), KeptHttp("200 OK"), KeptHttp("500 Error") });
    server.mRepeatsAnswers = true;
    OrderClient client(30s);
    CPPUNIT_ASSERT(Send(client, server.Address()) == OrderReport::kStale);
    Section("an order that was carried out is not reported as stale", [&] {
      CPPUNIT_ASSERT(Send(client, server.Address()) == OrderReport::kAccepted);
    });
    Section("an order that was refused is not reported as accepted", [&] {
      CPPUNIT_ASSERT(Send(client, server.Address()) == OrderReport::kRefused);
    });
  }

  /// Guards against an order that is sent a second time without anyone asking.
  void TestEngineThatClosesAfterReading()
  {
    KeepAliveServer server({ KeptHttp("200 OK") });
    server.mClosesUsedConnections = true;
    OrderClient client(30s);
    for (std::size_t sent = 1; sent <= 3; ++sent) {
      Send(client, server.Address());
      CPPUNIT_ASSERT_EQUAL(sent, server.mRequests);
    }
  }

  void TestAnswerWithoutEnd()
  {
    Section("an interim answer alone says nothing", [] {
      KeepAliveServer server({ "HTTP/1.1 100 Continue\r\n\r\n" });
      CPPUNIT_ASSERT(Send(server.Address(), 300ms) == OrderReport::kUnknown);
    });
    Section("a state without end is an error", [] {
      KeepAliveServer server({ "HTTP/1.1 200 OK\r\nContent-Length: "
                               "99999999\r\n\r\n{\"models\":[]}" });
      OrderClient client(300ms);
      std::optional<Result<EngineState>> state;
      client.ReadState(
        server.Address(),
        [&state](const Result<EngineState>& aState) { state = aState; });
      RunEventLoopUntil([&state] { return state.has_value(); });
      CPPUNIT_ASSERT(!state->has_value());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderClientTest);

} // namespace ragwortdeck
