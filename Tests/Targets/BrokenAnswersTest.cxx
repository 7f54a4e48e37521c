#include "Support/EventLoop.h"
#include "Support/RawServer.h"
#include "Support/Section.h"
#include "Targets/OrderClient.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

namespace {

using Ending = RawServer::Ending;

/// Fits into the buffers of the kernel.
constexpr std::size_t kShortUpload = 2'000;

struct Reply
{
  TransferEnd mEnd;
  std::string mBody;
};

Reply
Post(CurlMulti& aCurl, const RawServer& aServer, std::size_t aBytes)
{
  HttpCall call;
  call.mMethod = "POST";
  call.mUrl = aServer.Url();
  call.mBody = std::string(aBytes, 'x');
  Reply reply;
  bool isOver = false;
  const auto transfer = aCurl.Start(
    call,
    [&](std::string_view aPart) { reply.mBody += aPart; },
    [&](const TransferEnd& aEnd) {
      reply.mEnd = aEnd;
      isOver = true;
    });
  RunEventLoopUntil([&] { return isOver; });
  return reply;
}

/// Empty if aReply is none; what the caller would get of it otherwise.
std::string
TakenOf(const std::string& aName, const Reply& aReply)
{
  if (aReply.mEnd.mKind == TransferEndKind::kDropped &&
      aReply.mEnd.mStatus == 0 && aReply.mBody.empty()) {
    return {};
  }
  return aName + ": status " + std::to_string(aReply.mEnd.mStatus) + " with '" +
         aReply.mBody + "'; ";
}

} // namespace

/// \brief Tests answers that are broken off by a reset, and bytes that are no
/// answer, on the calls of router and control.
class BrokenAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrokenAnswersTest);
  CPPUNIT_TEST(TestResetUploads);
  CPPUNIT_TEST(TestWholeAnswers);
  CPPUNIT_TEST(TestMalformedHeads);
  CPPUNIT_TEST(TestInterimAnswers);
  CPPUNIT_TEST(TestOrders);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a part of a body that is taken for the whole one, where the
  /// connection was reset: the kernel reports that once, to the write of the
  /// request or to the read.
  void TestResetUploads()
  {
    CurlMulti curl;
    RawServer server("HTTP/1.1 200 OK\r\n\r\npart of the body");
    for (const auto& reset : ResetCases()) {
      Section(reset.mName, [&] {
        server.SetEnding(reset.mEnding);
        const auto reply = Post(curl, server, reset.mUploadBytes);
        CPPUNIT_ASSERT_MESSAGE(reply.mBody,
                               reply.mEnd.mKind == TransferEndKind::kDropped);
      });
    }
    CPPUNIT_ASSERT_EQUAL(5, server.Requests());
  }

  void TestWholeAnswers()
  {
    CurlMulti curl;
    const QByteArray body = "whole body";
    RawServer server("HTTP/1.1 200 OK\r\nContent-Length: " +
                     QByteArray::number(body.size()) + "\r\n\r\n" + body);
    const auto isWhole = [&](std::size_t aBytes) {
      const auto reply = Post(curl, server, aBytes);
      CPPUNIT_ASSERT_MESSAGE(reply.mEnd.mMessage,
                             reply.mEnd.mKind == TransferEndKind::kReplied);
      CPPUNIT_ASSERT_EQUAL(body.toStdString(), reply.mBody);
    };
    Section("an early answer with a length, on a connection that is kept", [&] {
      server.SetEnding(Ending::kResetAfterUpload);
      isWhole(kShortUpload);
    });
    Section("an answer that ends with its connection", [&] {
      server.SetAnswer("HTTP/1.1 200 OK\r\n\r\n" + body);
      server.SetEnding(Ending::kCloseOneSide);
      isWhole(kShortUpload);
    });
  }

  /// Guards against bytes that reach a caller as an answer though they are
  /// none.
  void TestMalformedHeads()
  {
    CurlMulti curl;
    RawServer server("");
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      server.SetAnswer(answer.Bytes("X-First: field\r\n", "body"));
      taken += TakenOf(answer.mName, Post(curl, server, 2));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("bytes of its body are no second answer", [&] {
      const QByteArray hidden =
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden";
      for (const auto* status : { "000 Trouble", "099 Trouble" }) {
        server.SetAnswer("HTTP/1.1 " + QByteArray(status) + "\r\n\r\n" +
                         hidden);
        taken += TakenOf(status, Post(curl, server, 2));
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    });
    Section("statuses that were not registered are answers", [&] {
      for (const auto* status : { "299 Odd", "418 I'm a teapot", "599 " }) {
        server.SetAnswer("HTTP/1.1 " + QByteArray(status) +
                         "\r\nContent-Length: 4\r\n\r\nbody");
        const auto reply = Post(curl, server, 2);
        CPPUNIT_ASSERT(reply.mEnd.mKind == TransferEndKind::kReplied);
        CPPUNIT_ASSERT_EQUAL(QByteArray(status).first(3).toInt(),
                             reply.mEnd.mStatus);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), reply.mBody);
      }
    });
  }

  void TestInterimAnswers()
  {
    CurlMulti curl;
    RawServer server("");
    const QByteArray last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast";
    Section("they are skipped", [&] {
      server.SetAnswer("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                       "HTTP/1.1 102 Processing\r\n\r\n" +
                       last);
      CPPUNIT_ASSERT_EQUAL(std::string("last"), Post(curl, server, 2).mBody);
    });
    Section("but checked", [&] {
      std::string taken;
      for (auto answer : MalformedAnswers()) {
        if (!answer.mFields.isEmpty()) {
          answer.mStart.replace("200 OK", "102 Processing");
          server.SetAnswer(answer.Bytes("", last));
          taken += TakenOf(answer.mName, Post(curl, server, 2));
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    });
  }

  /// Guards against an order whose outcome is read from bytes that are no
  /// answer.
  void TestOrders()
  {
    const auto report = [](const RawServer& aServer) {
      OrderClient client(std::chrono::seconds(30));
      EngineOrder order;
      order.mId = "7-1";
      order.mExpiresIn = std::chrono::seconds(2);
      Target engine;
      engine.mAddress = aServer.Address();
      std::optional<OrderReport> got;
      client.Send(engine, order, [&](OrderReport aReport) { got = aReport; });
      RunEventLoopUntil([&] { return got.has_value(); });
      return *got;
    };
    RawServer server("");
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      server.SetAnswer(answer.Bytes("Connection: close\r\n", "{}"));
      if (report(server) != OrderReport::kUnknown) {
        taken += answer.mName + std::string("; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("an answer that breaks off", [&] {
      server.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}");
      CPPUNIT_ASSERT(report(server) == OrderReport::kUnknown);
      server.SetAnswer("HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\n{}");
      CPPUNIT_ASSERT(report(server) == OrderReport::kUnknown);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswersTest);

} // namespace ragwortdeck
