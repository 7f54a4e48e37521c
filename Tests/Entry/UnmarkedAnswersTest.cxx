#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const std::string kUnmarkedHead =
  "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n"
  "Content-Type: text/event-stream\r\n\r\n";

std::string
PlainEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: piece\n\n";
}

/// Writes aBytes and ends the connection; with a reset if aReset.
ScriptedTarget::Script
SendAndEnd(const std::string& aBytes, bool aReset = false)
{
  return [=](tcp::socket& aSocket, const std::string&) {
    WriteAll(aSocket, aBytes);
    if (aReset) {
      aSocket.set_option(tcp::socket::linger(true, 0));
    }
    aSocket.close();
    return false;
  };
}

std::string
MakeReply(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace

/// \brief Tests answers that come with neither a length nor chunks and end with
/// their connection.
class UnmarkedAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UnmarkedAnswersTest);
  CPPUNIT_TEST(TestWholeStreamIsNotCutOff);
  CPPUNIT_TEST(TestBrokenStreamIsNotComplete);
  CPPUNIT_TEST(TestStreamThatIsMoved);
  CPPUNIT_TEST(TestNextEngineAfterFailedMove);
  CPPUNIT_TEST(TestPlainAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestWholeStreamIsNotCutOff()
  {
    const auto relayed = [](const std::string& aKind,
                            const std::string& aBytes) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript(SendAndEnd(kUnmarkedHead + aBytes));
      world.AddTarget("t2").AddScript(SendAndEnd(
        RelayWorld::StreamHead("id1") + RelayWorld::Event(9) + "0\r\n\r\n"));
      world.Start();
      world.Context().mHealth.Unreachable("t2", world.Context().Now());
      const auto caller = world.Call(RelayWorld::Request(aKind, "id1"));
      auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
      CPPUNIT_ASSERT(Contains(reply, "Transfer-Encoding: chunked\r\n"));
      CPPUNIT_ASSERT(Contains(reply, "id: 1\n") && Contains(reply, "id: 2\n"));
      CPPUNIT_ASSERT(!Contains(reply, "id: 9\n"));
      CPPUNIT_ASSERT(
        Contains(world.Log(), R"("answer_end":"end_of_connection")"));
      // The caller's connection carries the next request.
      target.AddScript(SendAndEnd(RelayWorld::Answer("id2", "second")));
      world.Context().mHealth.Succeeded("t1", Milliseconds(1));
      WriteAll(*caller, RelayWorld::Request("unsafe", "id2"));
      CPPUNIT_ASSERT(Contains(world.Reply(*caller, "second"), "200 OK"));
    };
    Section("a stream that cannot be resumed",
            [&] { relayed("long", PlainEvent(1) + PlainEvent(2)); });
    Section("one that can be, which is not sent again",
            [&] { relayed("short", PlainEvent(1) + PlainEvent(2)); });
    Section("one that ends with a comment", [&] {
      relayed("long", PlainEvent(1) + PlainEvent(2) + ": end\n\n");
    });
    Section("one whose last event has an id only",
            [&] { relayed("long", PlainEvent(1) + "id: 2\n\n"); });
  }

  void TestBrokenStreamIsNotComplete()
  {
    const auto broken = [](const std::string& aBytes, bool aReset) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(
        SendAndEnd(kUnmarkedHead + aBytes, aReset));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(!Contains(reply, kEndOfStream));
      return reply + world.Log();
    };
    Section("it ends inside an event", [&] {
      const auto seen = broken(PlainEvent(1) + "id: 2\ndata: pi", false);
      CPPUNIT_ASSERT(!Contains(seen, "id: 2\n"));
      CPPUNIT_ASSERT(Contains(seen, R"("answer_end":"inside_event")"));
    });
    Section("it ends after the id of an event", [&] {
      CPPUNIT_ASSERT(
        !Contains(broken(PlainEvent(1) + "id: 2\n", false), "id: 2\n"));
    });
    Section("its connection is reset", [&] {
      CPPUNIT_ASSERT(
        Contains(broken(PlainEvent(1), true), R"("answer_end":"reset")"));
    });
    // The first event shows that the generation began.
    Section("it ends before its first event", [&] {
      CPPUNIT_ASSERT(broken("", false).starts_with("HTTP/1.1 502"));
    });
    Section("it has comments only",
            [&] { broken(": wait\n\n: wait\n\n", false); });
  }

  void TestStreamThatIsMoved()
  {
    const std::string copied = R"({"handle":"h1","created_at":1})";
    const auto move = [&](const std::string& aLastReply, bool aEndsBefore) {
      RelayWorld world;
      world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
      auto& leaving = world.AddTarget("t1");
      auto& destination = world.AddTarget("t2");
      tcp::socket* stream = nullptr;
      leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
        stream = &aSocket;
        WriteAll(aSocket, kUnmarkedHead + PlainEvent(1));
        return true;
      });
      leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
        if (aEndsBefore) {
          stream->close();
        }
        WriteAll(aSocket, MakeReply("200 OK", copied));
        return true;
      });
      leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
        stream->close();
        // The end of the stream arrives before the reply.
        auto timer = std::make_shared<asio::steady_timer>(world.Context().mIo);
        timer->expires_after(std::chrono::milliseconds(50));
        timer->async_wait([&aSocket, aLastReply, timer](const error_code&) {
          WriteAll(aSocket, aLastReply);
        });
        return true;
      });
      destination.AddScript(
        SendAndEnd(kUnmarkedHead + PlainEvent(2) + PlainEvent(3)));
      world.Start();
      world.Context().mHealth.Unreachable("t2", world.Context().Now());
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      auto reply = world.Reply(*caller, "id: 1\n");
      world.StartMove("t2");
      // The end may arrive alone.
      reply += world.Reply(*caller, "0\r\n\r\n");
      return reply + std::to_string(destination.Requests().size());
    };
    const auto wasMoved = [](const std::string& aReply) {
      return Contains(aReply, "id: 3\n") &&
             aReply.ends_with(std::string(kEndOfStream) + "1");
    };
    const auto endedThere = [](const std::string& aReply) {
      return !Contains(aReply, "id: 2\n") &&
             aReply.ends_with(std::string(kEndOfStream) + "0");
    };
    Section("the engine closes the stream for the last copy: it goes on", [&] {
      CPPUNIT_ASSERT(wasMoved(move(MakeReply("200 OK", copied), false)));
    });
    Section("the stream ends before the last copy: it is complete",
            [&] { CPPUNIT_ASSERT(endedThere(move("", true))); });
    Section("the run had ended when it was to be stopped: it is complete", [&] {
      CPPUNIT_ASSERT(endedThere(move(MakeReply("404 Not Found", "{}"), false)));
    });
    Section("the engine does not tell: it may have been stopped", [&] {
      CPPUNIT_ASSERT(
        !Contains(move(MakeReply("500 Oops", "{}"), false), kEndOfStream));
    });
  }

  void TestNextEngineAfterFailedMove()
  {
    // Guards against a whole stream that is taken for one that was stopped.
    RelayWorld world;
    world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    auto& leaving = world.AddTarget("t1");
    auto& next = world.AddTarget("t2");
    tcp::socket* stream = nullptr;
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream = &aSocket;
      WriteAll(aSocket, kUnmarkedHead + PlainEvent(1));
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, MakeReply("200 OK", "{}"));
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream->close();
      aSocket.close();
      return false;
    });
    next.AddScript(SendAndEnd(kUnmarkedHead + PlainEvent(2) + PlainEvent(3)));
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("short", "id1"));
    auto reply = world.Reply(*caller, "id: 1\n");
    world.Context().mHealth.Succeeded("t2", Milliseconds(1));
    world.StartMove("t2");
    reply += world.Reply(*caller, kEndOfStream);
    Section("the engine that takes the stream over completes it", [&] {
      CPPUNIT_ASSERT(Contains(reply, "id: 3\n"));
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), next.Requests().size());
    });
  }

  void TestPlainAnswer()
  {
    const auto relayed = [](bool aReset) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(
        SendAndEnd("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                   "Response-Seal: seal\r\n\r\nall of it",
                   aReset));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      return world.Reply(*caller, aReset ? "\r\n\r\n" : "all of it");
    };
    Section("one that ends with its connection is whole", [&] {
      const auto reply = relayed(false);
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(Contains(reply, "Content-Length: 9\r\n"));
      CPPUNIT_ASSERT(reply.ends_with("all of it"));
    });
    Section("one that is reset is not",
            [&] { CPPUNIT_ASSERT(relayed(true).starts_with("HTTP/1.1 502")); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnmarkedAnswersTest);

} // namespace ragwortdeck
