#include "Entry/RelayWorld.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Tests streams that are moved to another engine.
class MovedRunTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MovedRunTest);
  CPPUNIT_TEST(TestStoppedRunIsNotRunAgain);
  CPPUNIT_TEST(TestDestinationRefusesStoppedRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestStoppedRunIsNotRunAgain()
  {
    // Guards against a second run of a request that may run once, after its
    // run was stopped for a move and neither engine could be reached.
    RelayWorld world;
    world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    auto& leaving = world.AddTarget("t1");
    auto& destination = world.AddTarget("t2");
    auto& other = world.AddTarget("t3");
    const std::string copied = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
                               R"({"handle":"h1","created_at":1})";
    tcp::socket* stream = nullptr;
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream = &aSocket;
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, copied);
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      leaving.StopListening();
      destination.StopListening();
      WriteAll(aSocket, copied);
      stream->close();
      return false;
    });
    other.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               RelayWorld::StreamHead("id1") + RelayWorld::Event(2) +
                 "0\r\n\r\n");
      return false;
    });
    world.Start();
    for (const auto* id : { "t2", "t3" }) {
      world.Context().mHealth.Unreachable(id, world.Context().Now());
    }
    const auto caller = world.Call(RelayWorld::Request("long", "id1"));
    CPPUNIT_ASSERT(Contains(world.Reply(*caller, "id: 1\n"), "id: 1\n"));
    world.Context().mHealth.Succeeded("t3", Milliseconds(1));
    world.StartMove("t2");
    CPPUNIT_ASSERT(!Contains(world.Reply(*caller, kEndOfStream), kEndOfStream));
    CPPUNIT_ASSERT(other.Requests().empty());
  }

  void TestDestinationRefusesStoppedRun()
  {
    // Guards against a stream that ends with a refusal by the destination of
    // its copy while the engine that it left still holds the memory.
    RelayWorld world;
    world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    auto& leaving = world.AddTarget("t1");
    auto& destination = world.AddTarget("t2");
    const std::string copied = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
                               R"({"handle":"h1","created_at":1})";
    tcp::socket* stream = nullptr;
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream = &aSocket;
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, copied);
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, copied);
      stream->close();
      return false;
    });
    leaving.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               RelayWorld::StreamHead("id1") + RelayWorld::Event(2) +
                 "0\r\n\r\n");
      return false;
    });
    destination.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: id1\r\n"
               "Content-Length: 0\r\n\r\n");
      return false;
    });
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("long", "id1"));
    CPPUNIT_ASSERT(Contains(world.Reply(*caller, "id: 1\n"), "id: 1\n"));
    world.StartMove("t2");
    const auto reply = world.Reply(*caller, kEndOfStream);
    CPPUNIT_ASSERT(Contains(reply, "id: 2\n"));
    CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), destination.Requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovedRunTest);

} // namespace ragwortdeck
