#include "Entry/PlainRelay.h"
#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

ScriptedTarget::Script
Send(const std::string& aBytes, bool aStayOpen = false)
{
  return [aBytes, aStayOpen](tcp::socket& aSocket, const std::string&) {
    WriteAll(aSocket, aBytes);
    return aStayOpen;
  };
}

} // namespace

/// \brief Tests the request path as callers and targets see it.
class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(TestExactAnswer);
  CPPUNIT_TEST(TestBrokenAnswers);
  CPPUNIT_TEST(TestLateAnswer);
  CPPUNIT_TEST(TestNotRun);
  CPPUNIT_TEST(TestSafeRequestIsRetried);
  CPPUNIT_TEST(TestAnswerAtTheDeadline);
  CPPUNIT_TEST(TestRequestAtStart);
  CPPUNIT_TEST(TestDeniedRequest);
  CPPUNIT_TEST(TestAmbiguousRequest);
  CPPUNIT_TEST(TestStream);
  CPPUNIT_TEST(TestBrokenStream);
  CPPUNIT_TEST(TestResumedStream);
  CPPUNIT_TEST(TestMoveToAnotherDestination);
  CPPUNIT_TEST(TestCallerGone);
  CPPUNIT_TEST(TestNextRequestArrivesEarly);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestExactAnswer()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript(Send(RelayWorld::Answer("id1", "body and more"), true));
    target.AddScript(Send(RelayWorld::Answer("id2", "second"), true));
    world.Start();
    const auto caller = world.Call(
      RelayWorld::Request("unsafe", "id1", "Hold: h\r\nX-Own: v\r\n"));
    const auto reply = world.Reply(*caller, "body");
    Section("status, signature and body are the target's", [&] {
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200 OK\r\n"));
      CPPUNIT_ASSERT(Contains(reply, "Response-Seal: seal\r\n"));
    });
    Section("the target gets path, id, team and the time left", [&] {
      const auto& received = target.Requests().at(0);
      CPPUNIT_ASSERT(received.starts_with("GET /unsafe/x?q=1 HTTP/1.1"));
      CPPUNIT_ASSERT(Contains(received, "Attempt-Id: id1\r\n"));
      CPPUNIT_ASSERT(Contains(received, "Tenant: team\r\n"));
      CPPUNIT_ASSERT(Contains(received, "Expect-Instance: t1\r\n"));
      CPPUNIT_ASSERT(Contains(received, "X-Own: v\r\n"));
      CPPUNIT_ASSERT(Contains(received, "Deadline-Ms: "));
    });
    Section(
      "the target gets neither the key nor headers that only this host may set",
      [&] {
        CPPUNIT_ASSERT(!Contains(target.Requests().at(0), "secret"));
        CPPUNIT_ASSERT(!Contains(target.Requests().at(0), "Hold"));
      });
    Section("both connections are reused for the next request", [&] {
      WriteAll(*caller, RelayWorld::Request("unsafe", "id2"));
      CPPUNIT_ASSERT(Contains(world.Reply(*caller, "second"), "200 OK"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.Context().mPool.Opened());
    });
  }

  void TestBrokenAnswers()
  {
    const std::string whole = RelayWorld::Answer("id1", "0123456789");
    const auto relayAnswer = [&](const std::string& aBytes) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(Send(aBytes));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      return world.Reply(*caller, "\r\n\r\n");
    };
    Section("a truncated answer is an error, since the request may have run",
            [&] {
              for (const std::size_t cut : { std::size_t(0),
                                             std::size_t(20),
                                             whole.size() - 10,
                                             whole.size() - 1 }) {
                const auto reply = relayAnswer(whole.substr(0, cut));
                CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 502"));
                CPPUNIT_ASSERT(!Contains(reply, "seal"));
              }
            });
    Section("bytes that are not an HTTP answer", [&] {
      CPPUNIT_ASSERT(
        relayAnswer("garbage\r\n\r\n").starts_with("HTTP/1.1 502"));
    });
    Section("a success without the signature", [&] {
      const auto reply = relayAnswer("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                                     "Content-Length: 2\r\n\r\nok");
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 502"));
    });
    Section("a body with an encoding is not the target's", [&] {
      const auto reply =
        relayAnswer("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: s\r\n"
                    "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 502"));
    });
    Section("extra bytes after the answer reach no caller", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript(Send(whole + RelayWorld::Answer("id1", "extra"), true));
      target.AddScript(Send(RelayWorld::Answer("id2", "second")));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      CPPUNIT_ASSERT(!Contains(world.Reply(*caller, "789"), "extra"));
      WriteAll(*caller, RelayWorld::Request("unsafe", "id2"));
      const auto reply = world.Reply(*caller, "second");
      CPPUNIT_ASSERT(Contains(reply, "second") && !Contains(reply, "extra"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), world.Context().mPool.Opened());
    });
  }

  void TestLateAnswer()
  {
    RelayWorld world;
    world.AddTarget("t1").AddScript(
      Send(RelayWorld::Answer("other", "not yours") +
           RelayWorld::Answer("id1", "yours")));
    world.Start();
    const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
    const auto reply = world.Reply(*caller, "yours");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(!Contains(reply, "not yours"));
  }

  void TestNotRun()
  {
    Section(
      "a refusal by the target becomes one with a Retry-After header", [&] {
        RelayWorld world;
        auto& target = world.AddTarget("t1");
        target.AddScript(Send("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                              "Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n"));
        world.AddTarget("t2");
        world.Start();
        world.Context().mHealth.Unreachable("t2", world.Context().Now());
        const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
        const auto reply = world.Reply(*caller, "\r\n\r\n");
        CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(Contains(reply, "Retry-After: "));
      });
    Section("no target at all", [&] {
      RelayWorld world;
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    });
  }

  void TestSafeRequestIsRetried()
  {
    RelayWorld world;
    auto& first = world.AddTarget("t1");
    auto& second = world.AddTarget("t2");
    const auto failed = "HTTP/1.1 500 Oops\r\nAttempt-Id: id1\r\n"
                        "Response-Seal: s\r\nContent-Length: 0\r\n\r\n";
    first.AddScript(Send(failed));
    second.AddScript(Send(RelayWorld::Answer("id1", "found")));
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("safe", "id1"));
    CPPUNIT_ASSERT(world.Reply(*caller, "found").starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.Requests().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.Requests().size());
  }

  void TestAnswerAtTheDeadline()
  {
    // Guards against a 503 for a request that ran: the answer arrives at the
    // moment at which the request times out.
    RelayWorld world;
    world.AddTarget("t1").AddScript(
      Send(RelayWorld::Answer("id1", "done"), true));
    world.Start();
    auto request = std::make_shared<CallerRequest>();
    request->mCallerHeaders.mId = "id1";
    request->mRequest.method(http::verb::get);
    request->mRequest.target("/unsafe/x");
    request->mRequest.set(http::field::host, "shop.example");
    request->mTable = world.Context().mTable.Table();
    request->mRoute = request->mTable->FindRoute("shop.example", "/unsafe/x");
    request->mService = "s";
    request->mArrived = world.Context().Now();
    request->mDeadline = request->mArrived + std::chrono::hours(1);
    std::optional<FinalAnswer> answer;
    PlainRelay relay(world.Context(), request);
    asio::co_spawn(
      world.Context().mIo,
      [](PlainRelay& aRelay, std::optional<FinalAnswer>& aAnswer)
        -> Task<void> { aAnswer = co_await aRelay.Run(); }(relay, answer),
      asio::detached);
    world.RunUntil(
      [&] { return world.Context().mHealth.Latency("t1").count() > 0; });
    CPPUNIT_ASSERT(!answer);
    request->Finish(CallerRequest::End::kTimedOut);
    world.RunUntil([&] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer && answer->mFromTarget &&
                   answer->mResponse.result_int() == 200U);
  }

  void TestRequestAtStart()
  {
    // All hosts restart at once: a caller that is refused meets hosts in the
    // same state when it returns.
    RelayWorld world;
    world.AddTarget("t1").AddScript(Send(RelayWorld::Answer("id1", "done")));
    const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
    world.RunUntil([&] { return !world.Context().mActive.empty(); });
    world.Start();
    CPPUNIT_ASSERT(world.Reply(*caller, "done").starts_with("HTTP/1.1 200"));
    Section("a host that learns nothing for long refuses", [&] {
      RelayWorld cutOff;
      const auto refused = cutOff.Call(RelayWorld::Request("unsafe", "id1"));
      CPPUNIT_ASSERT(
        cutOff.Reply(*refused, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    });
  }

  void TestDeniedRequest()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    world.Start();
    const auto callWith = [&](std::string aRequest,
                              const std::string& aFrom,
                              const std::string& aTo) {
      aRequest.replace(aRequest.find(aFrom), aFrom.size(), aTo);
      const auto caller = world.Call(aRequest);
      return world.Reply(*caller, "\r\n\r\n");
    };
    const auto request = RelayWorld::Request("safe", "id1");
    CPPUNIT_ASSERT(
      callWith(request, "/safe/", "/none/").starts_with("HTTP/1.1 404"));
    CPPUNIT_ASSERT(
      callWith(request, "secret", "wrong").starts_with("HTTP/1.1 401"));
    CPPUNIT_ASSERT(target.Requests().empty());
  }

  void TestAmbiguousRequest()
  {
    for (const auto* extra :
         { "Host: other.example\r\n",
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
           "Content-Length: 5\r\nContent-Length: 6\r\n" }) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      world.Start();
      const auto caller =
        world.Call(RelayWorld::Request("unsafe", "id1", extra) +
                   "0\r\n\r\nGET / HTTP/1.1");
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 400"));
      CPPUNIT_ASSERT(target.Requests().empty());
    }
  }

  void TestStream()
  {
    RelayWorld world;
    world.AddTarget("t1").AddScript(Send(RelayWorld::StreamHead("id1") +
                                         RelayWorld::Event(1) +
                                         RelayWorld::Event(2) + "0\r\n\r\n"));
    world.Start();
    const auto caller = world.Call(RelayWorld::Request("long", "id1"));
    const auto reply = world.Reply(*caller, kEndOfStream);
    CPPUNIT_ASSERT(Contains(reply, "Response-Seal: seal"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Count(reply, "id: 1\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Count(reply, "id: 2\n"));
    CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
  }

  void TestBrokenStream()
  {
    Section("a stream that breaks off does not look complete", [&] {
      RelayWorld world;
      world.AddTarget("t1").AddScript(Send(RelayWorld::StreamHead("id1") +
                                           RelayWorld::Event(1) + "30\r\nid"));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      const auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(Contains(reply, "id: 1\n"));
      CPPUNIT_ASSERT(!Contains(reply, kEndOfStream));
    });
    Section("a stream that ends inside an event does not look complete", [&] {
      RelayWorld world;
      world.AddTarget("t1").AddScript(Send(RelayWorld::StreamHead("id1") +
                                           RelayWorld::Event(1) +
                                           "6\r\nid: 2\n\r\n0\r\n\r\n"));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      const auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(!Contains(reply, kEndOfStream) &&
                     !Contains(reply, "id: 2"));
    });
    Section("a failure before the first event is an error answer", [&] {
      RelayWorld world;
      world.AddTarget("t1").AddScript(Send(RelayWorld::StreamHead("id1")));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
    });
  }

  void TestResumedStream()
  {
    RelayWorld world;
    auto& first = world.AddTarget("t1");
    auto& second = world.AddTarget("t2");
    first.AddScript(Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(1) +
                         RelayWorld::Event(2)));
    // The second target repeats event 2, which the caller already has.
    second.AddScript(Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(2) +
                          RelayWorld::Event(3) + "0\r\n\r\n"));
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("short", "id1"));
    const auto reply = world.Reply(*caller, kEndOfStream);
    for (int id = 1; id <= 3; ++id) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           Count(reply, "id: " + std::to_string(id) + "\n"));
    }
    CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Count(reply, "HTTP/1.1 200"));
    CPPUNIT_ASSERT(Contains(second.Requests().at(0), "Last-Event-Id: 2\r\n"));
  }

  void TestMoveToAnotherDestination()
  {
    // Guards against a stream that ends with its leaving engine because the
    // destination of its copy has gone between the first and the last copy.
    RelayWorld world;
    world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    auto& leaving = world.AddTarget("t1");
    auto& gone = world.AddTarget("t2");
    auto& destination = world.AddTarget("t3");
    tcp::socket* stream = nullptr;
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream = &aSocket;
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      return true;
    });
    const auto reply = [](const std::string& aStatus,
                          const std::string& aBody) {
      return "HTTP/1.1 " + aStatus +
             "\r\nContent-Length: " + std::to_string(aBody.size()) +
             "\r\n\r\n" + aBody;
    };
    const std::string copied = R"({"handle":"h1","created_at":1})";
    leaving.AddScript(Send(reply("200 OK", copied), true));
    leaving.AddScript(Send(reply("503 Service Unavailable", "{}"), true));
    leaving.AddScript(Send(reply("200 OK", copied), true));
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, reply("200 OK", copied));
      stream->close();
      return true;
    });
    destination.AddScript(
      Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(2) + "0\r\n\r\n"));
    world.Start();
    // The other engines have long prompts to process.
    world.Context().mLoad.SetPeer(
      "other host",
      { { "t2", 1, 100, 50000 }, { "t3", 1, 100, 60000 } },
      world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("long", "id1"));
    const auto begin = world.Reply(*caller, "id: 1\n");
    world.StartMove("t2");
    const auto end = world.Reply(*caller, kEndOfStream);
    CPPUNIT_ASSERT(end.ends_with(kEndOfStream));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Count(begin + end, "id: 2\n"));
    CPPUNIT_ASSERT(gone.Requests().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), destination.Requests().size());
    CPPUNIT_ASSERT(
      Contains(destination.Requests().at(0), "Last-Event-Id: 1\r\n"));
  }

  void TestCallerGone()
  {
    Section("before the answer", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript(Send("", true));
      world.Start();
      auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      world.RunUntil([&] { return !target.Requests().empty(); });
      caller->close();
      world.RunUntil([&] { return target.PeerClosed(); });
    });
    Section("in the middle of a stream", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript(
        Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(1), true));
      world.Start();
      auto caller = world.Call(RelayWorld::Request("long", "id1"));
      world.Reply(*caller, "id: 1\n");
      caller->close();
      world.RunUntil([&] { return target.PeerClosed(); });
    });
  }

  void TestNextRequestArrivesEarly()
  {
    // Guards against a corrupted read buffer: the wait for the caller to close
    // completes at the moment at which its request is served, when the buffer
    // already belongs to the next request.
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    constexpr int kRequests = 40;
    std::string bytes;
    for (int n = 0; n < kRequests; ++n) {
      const auto id = "id" + std::to_string(n);
      target.AddScript(Send(RelayWorld::Answer(id, "body-" + id + ";"), true));
      bytes += RelayWorld::Request("unsafe", id);
    }
    world.Start();
    const auto caller = world.Call(bytes);
    const auto reply =
      world.Reply(*caller, "body-id" + std::to_string(kRequests - 1) + ";");
    std::size_t at = 0;
    for (int n = 0; n < kRequests; ++n) {
      at = reply.find("body-id" + std::to_string(n) + ";", at);
      CPPUNIT_ASSERT(at != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace ragwortdeck
