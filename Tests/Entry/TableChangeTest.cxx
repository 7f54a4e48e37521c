#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Tests requests that are read, wait or are served while the table
/// changes: each is answered.
class TableChangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableChangeTest);
  CPPUNIT_TEST(TestIdleConnectionKeepsOldLimits);
  CPPUNIT_TEST(TestRequestInProgress);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestIdleConnectionKeepsOldLimits()
  {
    // Guards against a rejection by limits that were replaced while the
    // connection was idle.
    RelayWorld world;
    world.AddTarget("t1").AddScript(
      [](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, RelayWorld::Answer("id1", "done"));
        return false;
      });
    world.Start();
    const auto applyLimits = [&](std::int64_t aVersion, CallerLimits aLimits) {
      auto& table = world.Context().mTable;
      table.Apply(std::make_shared<const ServingTable>(ServingTable::Create(
        { aVersion },
        { *table.Table()->FindRoute("shop.example", "/unsafe/x") },
        { { "s", 100, std::nullopt } },
        aLimits,
        std::vector<TeamSpec>{ { "team", { "secret" }, std::nullopt } })));
      table.ConfirmCurrent({ aVersion },
                           world.Context().Now() + std::chrono::hours(1));
    };
    applyLimits(2, { 100, 10 });
    const auto caller = world.Call("");
    // The host waits for the first byte.
    for (int i = 0; i < 3; ++i) {
      asio::post(world.Context().mIo, [] {});
      world.Context().mIo.poll();
    }
    applyLimits(3, {});
    WriteAll(*caller,
             RelayWorld::Request("unsafe", "id1", "Content-Length: 20\r\n") +
               std::string(20, 'b'));
    const auto reply = world.Reply(*caller, "done");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 200"));
  }

  void TestRequestInProgress()
  {
    // The new table has neither the route nor the key.
    const auto changeTable = [](RelayWorld& aWorld) {
      auto& table = aWorld.Context().mTable;
      table.Apply(std::make_shared<const ServingTable>(ServingTable::Create(
        { 2 },
        {},
        {},
        {},
        std::vector<TeamSpec>{ { "other", { "new" }, std::nullopt } })));
      table.ConfirmCurrent({ 2 },
                           aWorld.Context().Now() + std::chrono::hours(1));
    };
    Section("a plain request at its server", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      tcp::socket* answer = nullptr;
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        answer = &aSocket;
        return true;
      });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      world.RunUntil([&] { return answer != nullptr; });
      changeTable(world);
      WriteAll(*answer, RelayWorld::Answer("id1", "done"));
      CPPUNIT_ASSERT(world.Reply(*caller, "done").starts_with("HTTP/1.1 200"));
    });
    Section("a stream that has begun", [&] {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      tcp::socket* answer = nullptr;
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
        answer = &aSocket;
        return true;
      });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      world.Reply(*caller, "id: 1\n");
      changeTable(world);
      WriteAll(*answer, RelayWorld::Event(2) + "0\r\n\r\n");
      const auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(Contains(reply, "id: 2\n"));
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
    });
    Section("a stream that waits for an engine is refused, not dropped", [&] {
      RelayWorld world;
      world.mLatencyGoal = Milliseconds(400);
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      world.RunUntil([&] { return world.Context().mLine.Size() == 1; });
      changeTable(world);
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    });
    Section("a request whose body is still arriving is denied", [&] {
      RelayWorld world;
      world.AddTarget("t1");
      world.Start();
      const auto caller = world.Call(
        RelayWorld::Request("unsafe", "id1", "Content-Length: 5\r\n") + "ab");
      world.RunUntil([&] { return world.Context().HasWork(); });
      changeTable(world);
      WriteAll(*caller, "cde");
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 40"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableChangeTest);

} // namespace ragwortdeck
