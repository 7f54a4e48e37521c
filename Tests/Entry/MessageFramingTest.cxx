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
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageFramingTest);

} // namespace ragwortdeck
