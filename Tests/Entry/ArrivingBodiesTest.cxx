#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMegabyte = std::size_t(1) << 20U;
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

/// A POST with a body; aExtra has the headers that frame it.
std::string
Post(const std::string& aExtra, const std::string& aKey = "secret")
{
  return "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n"
         "Api-Key: " +
         aKey + "\r\nDeadline-Ms: 30000\r\n" + aExtra + "\r\n";
}

/// Sends aBytes one at a time, each once the one before has been read.
void
Drip(RelayWorld& aWorld, tcp::socket& aSocket, const std::string& aBytes)
{
  for (const char byte : aBytes) {
    WriteAll(aSocket, std::string(1, byte));
    for (int turn = 0; turn < 3; ++turn) {
      aWorld.Context().mIo.run_one_for(std::chrono::milliseconds(1));
    }
  }
}

} // namespace

/// \brief Bodies as they arrive from callers and targets, and what is decided
/// before they do.
class ArrivingBodiesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ArrivingBodiesTest);
  CPPUNIT_TEST(TestDrippingRequest);
  CPPUNIT_TEST(TestDrippingAnswer);
  CPPUNIT_TEST(TestChunkedRequests);
  CPPUNIT_TEST(TestDeniedFromHead);
  CPPUNIT_TEST(TestHead);
  CPPUNIT_TEST(TestAccount);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a parser that takes the end of an empty chunked body for
  /// an error of the program when it arrives byte by byte.
  void TestDrippingRequest()
  {
    for (const std::string body :
         { "0\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n", "1;a=b\r\nx\r\n0\r\n\r\n" }) {
      Section(body, [&] {
        RelayWorld world;
        auto& target = world.AddTarget("t1");
        target.AddScript([](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket, RelayWorld::Answer("id1", "done"));
          return true;
        });
        world.Start();
        const auto caller = world.Call(Post(kChunked));
        Drip(world, *caller, body);
        CPPUNIT_ASSERT(
          world.Reply(*caller, "done").starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.Requests().size());
        CPPUNIT_ASSERT(!Contains(target.Requests().front(), "X-Sum"));
      });
    }
  }

  void TestDrippingAnswer()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript([&](tcp::socket& aSocket, const std::string&) {
      Drip(world,
           aSocket,
           "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
      return true;
    });
    world.Start();
    const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
    const auto reply = world.Reply(*caller, "\r\n\r\n");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Contains(reply, "Content-Length: 0\r\n"));
  }

  void TestChunkedRequests()
  {
    const auto ask = [](const std::string& aBody) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(
        [](tcp::socket& aSocket, const std::string& aRequest) {
          const auto at = aRequest.find("\r\n\r\n") + 4;
          WriteAll(aSocket, RelayWorld::Answer("id1", aRequest.substr(at)));
          return true;
        });
      world.Start();
      const auto caller = world.Call(Post(kChunked) + aBody);
      return world.Reply(*caller, "<end>");
    };
    Section("the target gets the data alone", [&] {
      const auto reply = ask("3;x=y\r\nabc\r\n5\r\n<end>\r\n0\r\nT: 1\r\n\r\n");
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(reply.ends_with("\r\n\r\nabc<end>"));
    });
    Section("a malformed chunk is rejected", [&] {
      CPPUNIT_ASSERT(ask("3\r\nabcd\r\n").starts_with("HTTP/1.1 400"));
    });
    Section("chunks that exceed the limit of a body are rejected", [&] {
      CPPUNIT_ASSERT(ask("500000\r\n").starts_with("HTTP/1.1 413"));
      CPPUNIT_ASSERT(ask("ffffffffffffffff\r\n").starts_with("HTTP/1.1 413"));
      CPPUNIT_ASSERT(
        ask("1\r\na\r\nffffffffffffffff\r\n").starts_with("HTTP/1.1 413"));
    });
    Section("a trailer that exceeds the limit of a head is rejected", [&] {
      CPPUNIT_ASSERT(
        ask("0\r\nT: " + std::string(20000, 't')).starts_with("HTTP/1.1 431"));
    });
  }

  void TestDeniedFromHead()
  {
    RelayWorld world;
    world.AddTarget("t1");
    world.Start();
    const std::string length = "Content-Length: 4000000\r\n";
    Section("an unknown key", [&] {
      const auto caller = world.Call(Post(length, "other"));
      const auto reply = world.Reply(*caller, "unknown key\n");
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 401"));
      CPPUNIT_ASSERT(Contains(reply, "Connection: close\r\n"));
    });
    Section("no route", [&] {
      const auto caller =
        world.Call("POST /none/x HTTP/1.1\r\nHost: shop.example\r\n"
                   "Attempt-Id: id1\r\nApi-Key: secret\r\n" +
                   length + "\r\n");
      CPPUNIT_ASSERT(
        world.Reply(*caller, "path\n").starts_with("HTTP/1.1 404"));
    });
    Section("no id, and no invitation to send the body", [&] {
      const auto caller =
        world.Call("POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n"
                   "Api-Key: secret\r\nExpect: 100-continue\r\n" +
                   length + "\r\n");
      CPPUNIT_ASSERT(world.Reply(*caller, "id\n").starts_with("HTTP/1.1 400"));
    });
    Section("a denied request that has arrived leaves its connection open",
            [&] {
              const auto caller =
                world.Call(Post("Content-Length: 4\r\n", "other") + "body");
              const auto reply = world.Reply(*caller, "unknown key\n");
              CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 401"));
              CPPUNIT_ASSERT(!Contains(reply, "Connection: close\r\n"));
            });
  }

  /// Guards against a HEAD whose answer ends the process.
  void TestHead()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n"
               "Content-Length: 5\r\n\r\n");
      return true;
    });
    world.Start();
    auto request = RelayWorld::Request("safe", "id1");
    request.replace(0, 3, "HEAD");
    const auto caller = world.Call(request);
    const auto reply = world.Reply(*caller, "\r\n\r\n");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(reply.ends_with("\r\n\r\n"));
    Section("an answer of the host itself has no body either", [&] {
      std::string denied = "HEAD /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                           "Attempt-Id: id2\r\nApi-Key: other\r\n\r\n";
      const auto other = world.Call(denied + denied);
      const auto first = world.Reply(*other, "\r\n\r\n");
      CPPUNIT_ASSERT(first.starts_with("HTTP/1.1 401"));
      // Both answers may arrive at once.
      const auto both = Contains(first, "\r\n\r\nHTTP")
                          ? first
                          : first + world.Reply(*other, "\r\n\r\n");
      CPPUNIT_ASSERT(Contains(both, "\r\n\r\nHTTP/1.1 401"));
      CPPUNIT_ASSERT(both.ends_with("\r\n\r\n"));
      CPPUNIT_ASSERT(!Contains(both, "unknown key"));
    });
  }

  void TestAccount()
  {
    RelayWorld world;
    world.AddTarget("t1").AddScript(
      [](tcp::socket&, const std::string&) { return true; });
    world.Start();
    const auto used = [&] {
      return world.Context().mMemory.Used(MemoryUse::kRequest);
    };
    {
      const auto caller = world.Call(Post("Content-Length: 2097152\r\n"));
      Section("a body is charged as it arrives", [&] {
        const std::string half(kMegabyte, 'b');
        world.Send(*caller, half);
        world.RunUntil([&] { return used() >= kMegabyte; });
        CPPUNIT_ASSERT(used() < kMegabyte + 65536);
      });
      Section("and while it is served", [&] {
        world.Send(*caller, std::string(kMegabyte, 'b'));
        world.RunUntil([&] { return !world.Context().mActive.empty(); });
        CPPUNIT_ASSERT(used() >= 2 * kMegabyte);
      });
      Section("until its connection ends", [&] {
        caller->close();
        world.RunUntil([&] { return used() == 0; });
      });
    }
    Section("a stalled body gives way to one that arrives", [&] {
      std::vector<std::shared_ptr<tcp::socket>> stalled;
      for (int n = 0; n < 6; ++n) {
        stalled.push_back(world.Call(Post("Content-Length: 4194304\r\n")));
        world.Send(*stalled.back(), std::string(3 * kMegabyte, 'b'));
      }
      const auto evicted = [&] { return world.Context().mMemory.Evicted(); };
      // What has passed in the last two seconds counts as progress.
      const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(2200);
      world.RunUntil([&] { return std::chrono::steady_clock::now() >= until; });
      const auto before = evicted();
      const auto caller = world.Call(Post("Content-Length: 4194304\r\n"));
      world.Send(*caller, std::string(4 * kMegabyte, 'b'));
      world.RunUntil([&] { return !world.Context().mActive.empty(); });
      CPPUNIT_ASSERT(evicted() > before);
      std::size_t refused = 0;
      for (const auto& it : stalled) {
        if (it->available() > 0) {
          CPPUNIT_ASSERT(
            world.Reply(*it, "memory\n").starts_with("HTTP/1.1 503"));
          ++refused;
        }
      }
      CPPUNIT_ASSERT(refused > 0);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivingBodiesTest);

} // namespace ragwortdeck
