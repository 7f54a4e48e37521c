#include "Targets/CurlMulti.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace ragwortdeck {

namespace {

QByteArray
Http(const QByteArray& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " +
         QByteArray::number(aBody.size()) + "\r\n\r\n" + aBody;
}

/// \brief A target that keeps connections open and answers each request with
/// its number.
class Server
{
public:
  Server()
  {
    CPPUNIT_ASSERT(mServer.listen(QHostAddress::LocalHost));
    QObject::connect(&mServer, &QTcpServer::newConnection, [this] {
      auto* socket = mServer.nextPendingConnection();
      ++mConnections;
      QObject::connect(
        socket,
        &QTcpSocket::readyRead,
        [this, socket, previous = QByteArray()]() mutable {
          socket->readAll();
          ++mRequests;
          if (mClosesUsedConnections && !previous.isEmpty()) {
            socket->abort();
            return;
          }
          if (!mBrokenAnswer.isNull()) {
            socket->write(mBrokenAnswer);
            socket->disconnectFromHost();
            return;
          }
          const auto answer = Http(QByteArray::number(mRequests));
          // The late copy arrives where the next answer is expected.
          socket->write(mRepeatsAnswers ? previous + answer : answer);
          previous = answer;
        });
    });
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mServer.serverPort()) + "/";
  }

  /// Sent in place of an answer, before the connection ends.
  QByteArray mBrokenAnswer;
  bool mRepeatsAnswers = false;
  bool mClosesUsedConnections = false;
  int mConnections = 0;
  int mRequests = 0;

private:
  QTcpServer mServer;
};

struct Answer
{
  TransferEnd mEnd;
  std::string mBody;
};

Answer
Send(CurlMulti& aCurl, const HttpCall& aCall)
{
  Answer answer;
  bool isOver = false;
  const auto transfer = aCurl.Start(
    aCall,
    [&](std::string_view aBytes) { answer.mBody += aBytes; },
    [&](const TransferEnd& aEnd) {
      answer.mEnd = aEnd;
      isOver = true;
    });
  RunEventLoopUntil([&] { return isOver; });
  return answer;
}

HttpCall
PostTo(const Server& aServer)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = aServer.Url();
  call.mBody = "{}";
  return call;
}

} // namespace

/// \brief Tests calls to targets that misuse their connections.
class CurlMultiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CurlMultiTest);
  CPPUNIT_TEST(TestLateSecondCopy);
  CPPUNIT_TEST(TestNoHiddenRepeats);
  CPPUNIT_TEST(TestHeadThatBreaksOff);
  CPPUNIT_TEST(TestAnswerInAnUnknownCoding);
  CPPUNIT_TEST(TestHookThatThrows);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a copy of an earlier answer that reaches the next caller:
  /// answers on this interface carry nothing that tells them apart.
  void TestLateSecondCopy()
  {
    CurlMulti curl;
    Server server;
    server.mRepeatsAnswers = true;
    for (const auto* expected : { "1", "2", "3" }) {
      CPPUNIT_ASSERT_EQUAL(std::string(expected),
                           Send(curl, PostTo(server)).mBody);
    }
  }

  /// Guards against a reply whose head breaks off and that libcurl reports as a
  /// whole one without a body.
  void TestHeadThatBreaksOff()
  {
    CurlMulti curl;
    Server server;
    const QByteArray whole = "HTTP/1.1 200 OK\r\nX-Some: header\r\n\r\n";
    for (qsizetype n = 0; n < whole.size(); ++n) {
      server.mBrokenAnswer = whole.first(n);
      CPPUNIT_ASSERT_MESSAGE(whole.first(n).toStdString(),
                             Send(curl, PostTo(server)).mEnd.mKind ==
                               TransferEndKind::kDropped);
    }
    Section("also after an interim reply", [&] {
      server.mBrokenAnswer =
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n";
      CPPUNIT_ASSERT(Send(curl, PostTo(server)).mEnd.mKind ==
                     TransferEndKind::kDropped);
    });
    Section("trailers are no head", [&] {
      server.mBrokenAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n4\r\nbody\r\n0\r\nX-Some: trailer\r\n\r\n";
      CPPUNIT_ASSERT(Send(curl, PostTo(server)).mEnd.mKind ==
                     TransferEndKind::kReplied);
    });
    Section("a whole head whose body ends with the connection is a reply", [&] {
      server.mBrokenAnswer = whole + "body";
      const auto answer = Send(curl, PostTo(server));
      CPPUNIT_ASSERT(answer.mEnd.mKind == TransferEndKind::kReplied);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), answer.mBody);
    });
  }

  /// Guards against the coded bytes of a reply that are taken for its body.
  void TestAnswerInAnUnknownCoding()
  {
    CurlMulti curl;
    Server server;
    const auto answer = [&](const QByteArray& aFraming,
                            const QByteArray& aBody) {
      server.mBrokenAnswer =
        "HTTP/1.1 200 OK\r\n" + aFraming + "\r\n\r\n" + aBody;
      return Send(curl, PostTo(server));
    };
    const QByteArray inChunks = "5\r\ncoded\r\n0\r\n\r\n";
    for (const auto* framing :
         { "Transfer-Encoding: gzip",
           "Transfer-Encoding: identity",
           "Transfer-Encoding: gzip, chunked",
           "transfer-encoding:chunked, gzip",
           "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
           "Transfer-Encoding: identity\r\nContent-Length: 5" }) {
      const auto got = answer(framing, inChunks);
      CPPUNIT_ASSERT_MESSAGE(framing,
                             got.mEnd.mKind == TransferEndKind::kDropped);
      CPPUNIT_ASSERT_MESSAGE(framing, got.mBody.empty());
    }
    Section("chunks alone are read", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::string("coded"),
        answer("Transfer-Encoding: Chunked", inChunks).mBody);
    });
  }

  /// Guards against libcurl's own repetition of a request on a new connection
  /// when a used one breaks: the target may have run it.
  void TestNoHiddenRepeats()
  {
    CurlMulti curl;
    Server server;
    server.mClosesUsedConnections = true;
    for (int i = 0; i < 3; ++i) {
      Send(curl, PostTo(server));
    }
    CPPUNIT_ASSERT_EQUAL(3, server.mRequests);
  }

  /// Guards against a process that ends when the content of one answer is not
  /// expected: the exception would pass through libcurl.
  void TestHookThatThrows()
  {
    CurlMulti curl;
    Server server;
    bool isOver = false;
    TransferEnd end;
    const auto transfer = curl.Start(
      PostTo(server),
      [](std::string_view) { throw std::out_of_range("unexpected"); },
      [&](const TransferEnd& aEnd) {
        end = aEnd;
        isOver = true;
      });
    RunEventLoopUntil([&] { return isOver; });
    CPPUNIT_ASSERT(TransferEndKind::kDropped == end.mKind);
    Section("other calls go on", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), Send(curl, PostTo(server)).mBody);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlMultiTest);

} // namespace ragwortdeck
