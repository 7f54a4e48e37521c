#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Tests that both sides of the request path agree with this host on
/// where each message ends.
class MessageFramingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageFramingTest);
  CPPUNIT_TEST(TestRequestInsideAnother);
  CPPUNIT_TEST(TestAnswerInAnUnknownCoding);
  CPPUNIT_TEST(TestReplyInAnUnknownCoding);
  CPPUNIT_TEST(TestHeadThatBreaksOff);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a body that is read as the caller's next request, since its
  /// transfer coding is taken for none (request smuggling).
  void TestRequestInsideAnother()
  {
    const auto inner = RelayWorld::Request("unsafe", "inner");
    const auto outer = [&](const std::string& aFraming,
                           const std::string& aVersion) {
      auto request = RelayWorld::Request("unsafe", "outer", aFraming);
      request.replace(0, 3, "POST");
      return request.replace(request.find("HTTP/1.1"), 8, aVersion) + inner;
    };
    const auto isRefused = [&](const std::string& aStatus,
                               const std::string& aFraming,
                               const std::string& aVersion = "HTTP/1.1") {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      for (int n = 0; n < 2; ++n) {
        target.AddScript([](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket, RelayWorld::Answer("outer", "ran"));
          return true;
        });
      }
      world.Start();
      const auto caller = world.Call(outer(aFraming, aVersion));
      // The connection ends after one answer.
      const auto reply = world.Reply(*caller, "never sent");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        aFraming, std::size_t(0), target.Requests().size());
      CPPUNIT_ASSERT_MESSAGE(aFraming + " got " + reply,
                             reply.starts_with("HTTP/1.1 " + aStatus + " "));
      CPPUNIT_ASSERT_MESSAGE(aFraming, Contains(reply, "Connection: close"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        aFraming, reply.find("HTTP/1.1"), reply.rfind("HTTP/1.1"));
      CPPUNIT_ASSERT_MESSAGE(aFraming,
                             Contains(world.Log(), R"("status":)" + aStatus));
    };
    const std::string name = "Transfer-Encoding: ";
    const auto length =
      "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    Section("a coding after which the end is not marked", [&] {
      for (const auto* value : { "identity",
                                 "gzip",
                                 "chunked, gzip",
                                 "gzip,chunked,identity",
                                 "xchunked",
                                 "chunked;q=1",
                                 "chunked, chunkedx",
                                 "\"chunked\"",
                                 "chunked,",
                                 ",",
                                 "" }) {
        isRefused("400", name + value + "\r\n");
      }
    });
    Section("codings in more than one line", [&] {
      isRefused("400", name + "identity\r\n" + name + "chunked\r\n");
      isRefused("400", name + "gzip\r\n" + name + "\r\n");
    });
    Section("a coding beside a length", [&] {
      isRefused("400", name + "identity\r\n" + length);
      isRefused("400", length + name + "identity\r\n");
      isRefused("400", length + name + "\r\n");
    });
    Section("a coding in a version that has none",
            [&] { isRefused("400", name + "chunked\r\n", "HTTP/1.0"); });
    Section("more than one length, and one that is no number", [&] {
      isRefused("400", length + length);
      for (const auto* value : { "", "+5", "-1", "0x10", "5 5", "5, 6" }) {
        isRefused("400", "Content-Length: " + std::string(value) + "\r\n");
      }
    });
    Section("another coding inside of chunks, which no target would get", [&] {
      isRefused("501", name + "gzip, chunked\r\n");
      isRefused("501", name + "gzip,\tCHUNKED\r\n");
    });
    Section("a body in chunks is a body, and the next request is served", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      for (const auto* id : { "outer", "next" }) {
        target.AddScript([id](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket, RelayWorld::Answer(id, "ran " + std::string(id)));
          return true;
        });
      }
      world.Start();
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", inner.size());
      auto request =
        RelayWorld::Request("unsafe", "outer", name + "Chunked\r\n");
      request.replace(0, 3, "POST");
      const auto caller = world.Call(request + size + inner + "\r\n0\r\n\r\n" +
                                     RelayWorld::Request("unsafe", "next"));
      world.Reply(*caller, "ran next");
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), target.Requests().size());
      CPPUNIT_ASSERT(target.Requests().front().ends_with("\r\n\r\n" + inner));
    });
  }

  /// Guards against a caller that gets the coded bytes of an answer as its
  /// whole body, and against an answer that hides in the body of another.
  void TestAnswerInAnUnknownCoding()
  {
    const auto reply = [](const std::string& aKind, const std::string& aRest) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                 "Response-Seal: s\r\n" +
                   aRest);
        return false;
      });
      world.Start();
      const auto caller =
        world.Call(RelayWorld::Request(aKind, "id1", "Connection: close\r\n"));
      return world.Reply(*caller, kEndOfStream);
    };
    const auto isBroken = [&](const std::string& aKind,
                              const std::string& aRest) {
      const auto text = reply(aKind, aRest);
      CPPUNIT_ASSERT_MESSAGE(aRest + " gave " + text,
                             text.starts_with("HTTP/1.1 502"));
      CPPUNIT_ASSERT_MESSAGE(aRest, !Contains(text, "coded"));
    };
    const std::string name = "Transfer-Encoding: ";
    const std::string length = "Content-Length: 5\r\n";
    const std::string inChunks = "\r\n5\r\ncoded\r\n0\r\n\r\n";
    Section("that ends with the connection", [&] {
      for (const auto* value : { "gzip", "identity", "chunked, gzip", "" }) {
        isBroken("unsafe", name + value + "\r\n\r\ncoded");
      }
    });
    Section("that has a length as well", [&] {
      isBroken("unsafe", name + "gzip\r\n" + length + "\r\ncoded");
      isBroken("unsafe", length + name + "identity\r\n\r\ncoded");
    });
    Section("inside of chunks", [&] {
      isBroken("unsafe", name + "gzip, chunked\r\n" + inChunks);
      isBroken("unsafe", name + "gzip\r\n" + name + "chunked\r\n" + inChunks);
    });
    Section("of a stream", [&] {
      const std::string type = "Content-Type: text/event-stream\r\n";
      const std::string event = "id: 1\ndata: coded\n\n";
      isBroken("long", type + name + "gzip\r\n\r\n" + event);
      isBroken("long",
               type + name + "gzip, chunked\r\n\r\n" + RelayWorld::Event(1) +
                 "0\r\n\r\n");
    });
    Section("a late answer, which hides another one, ends the connection", [&] {
      RelayWorld world;
      const auto hidden = RelayWorld::Answer("id1", "hidden");
      world.AddTarget("t1").AddScript(
        [&](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket,
                   "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + name +
                     "gzip\r\nContent-Length: 0\r\n\r\n" + hidden);
          return false;
        });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
    });
    Section("chunks alone are read", [&] {
      const auto text = reply("unsafe", name + "chunked\r\n" + inChunks);
      CPPUNIT_ASSERT(text.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(text.ends_with("\r\n\r\ncoded"));
    });
  }

  /// Guards against an answer whose head breaks off and that reaches the caller
  /// as a success with an empty or short body.
  void TestHeadThatBreaksOff()
  {
    const auto head = [](const std::string& aFraming) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: s\r\n" +
             aFraming + "\r\n";
    };
    const auto isBroken = [&](const std::string& aKind,
                              const std::string& aBytes) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(
        [&](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket, aBytes);
          return false;
        });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request(aKind, "id1"));
      const auto reply = world.Reply(*caller, "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(aKind + " " + aBytes + " gave " + reply,
                             reply.starts_with("HTTP/1.1 502"));
    };
    Section("of a plain answer, at each byte", [&] {
      for (const auto& whole : { head(""), head("Content-Length: 12\r\n") }) {
        for (std::size_t n = 0; n < whole.size(); ++n) {
          isBroken("unsafe", whole.substr(0, n));
        }
      }
    });
    Section("of a stream, at each byte", [&] {
      const auto whole = head("Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n");
      for (std::size_t n = 0; n < whole.size(); ++n) {
        isBroken("long", whole.substr(0, n));
      }
    });
  }

  /// Guards against the bytes of a coding that are taken for the store's or an
  /// engine's reply.
  void TestReplyInAnUnknownCoding()
  {
    for (const auto* framing :
         { "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
           "Transfer-Encoding: identity\r\n" }) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 "HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n{}");
        return false;
      });
      CPPUNIT_ASSERT_MESSAGE(framing, !world.GetsReply(target));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageFramingTest);

} // namespace ragwortdeck
