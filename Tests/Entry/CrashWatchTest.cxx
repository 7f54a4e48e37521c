#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <thread>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

std::string
IdOf(const std::string& aRequest)
{
  const std::string name = "Attempt-Id: ";
  const auto at = aRequest.find(name) + name.size();
  return aRequest.substr(at, aRequest.find('\r', at) - at);
}

/// \brief A site of engines that crash as they begin to write an answer to a
/// prompt with the part "bad".
class CrashingSite
{
public:
  explicit CrashingSite(int aEngines)
  {
    constexpr int kRequests = 12;
    for (int i = 0; i < aEngines; ++i) {
      auto& engine = mWorld.AddTarget("e" + std::to_string(i));
      mEngines.push_back(&engine);
      for (int n = 0; n < kRequests; ++n) {
        engine.AddScript(
          [this, &engine](tcp::socket& aSocket, const std::string& aText) {
            const auto begin =
              RelayWorld::StreamHead(IdOf(aText)) + RelayWorld::Event(1);
            const bool crashes = Contains(aText, "bad:");
            WriteAll(aSocket, crashes ? begin : begin + "0\r\n\r\n");
            if (crashes) {
              engine.StopListening();
              mCrashed.push_back(&engine);
            }
            return !crashes;
          });
      }
    }
    mWorld.Start();
  }

  /// Sends a request with aParts and its own last part; returns the answer.
  std::string Ask(const std::string& aKind, const std::string& aParts)
  {
    const auto caller = mWorld.Call(RelayWorld::Request(
      aKind,
      "id" + std::to_string(mNextId++),
      "Connection: close\r\nPrefix-Hash: " + aParts + ",e1:250\r\n"));
    return mWorld.Reply(*caller, "until the connection closes");
  }

  std::size_t Sends() const
  {
    std::size_t sends = 0;
    for (const auto* engine : mEngines) {
      sends += engine->Requests().size();
    }
    return sends;
  }

  /// Waits until the crashes are known, and starts the engines again.
  void RestartAfter(std::uint64_t aCrashes)
  {
    mWorld.RunUntil(
      [&] { return Count("entry_engine_crashes_total") == aCrashes; });
    for (auto* engine : std::exchange(mCrashed, {})) {
      engine->ListenAgain();
    }
  }

  void Wait(milliseconds aTime)
  {
    const auto until = mWorld.Context().Now() + Duration(aTime);
    mWorld.RunUntil([&] { return mWorld.Context().Now() >= until; });
  }

  std::uint64_t Count(const std::string& aName)
  {
    return mWorld.Context().mMetrics.Value(aName);
  }

  RelayWorld mWorld;

private:
  std::vector<ScriptedTarget*> mEngines;
  std::vector<ScriptedTarget*> mCrashed;
  int mNextId = 0;
};

} // namespace

/// \brief Tests the request path when engines crash as they begin to write.
class CrashWatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashWatchTest);
  CPPUNIT_TEST(TestPromptCrashesOneEngineAfterTheOther);
  CPPUNIT_TEST(TestWaitingRequestWithAQuarantinedPart);
  CPPUNIT_TEST(TestBrokenAnswersOfSoundEngines);
  CPPUNIT_TEST(TestEngineCrashesInTheMiddleOfStreams);
  CPPUNIT_TEST(TestCrashThatLooksLikeTheEndOfAnUnmarkedAnswer);
  CPPUNIT_TEST(TestWhenAPlainAnswerBegan);
  CPPUNIT_TEST(TestQuarantineDuringAConnect);
  CPPUNIT_TEST(TestReportsThatASuspendedHostReads);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestPromptCrashesOneEngineAfterTheOther()
  {
    CrashingSite site(6);
    Section("at first sight, a request that may be repeated is sent twice",
            [&] {
              CPPUNIT_ASSERT(
                !Contains(site.Ask("short", "c0:9,bad:9"), kEndOfStream));
              CPPUNIT_ASSERT_EQUAL(std::size_t(2), site.Sends());
              site.RestartAfter(2);
            });
    site.Wait(milliseconds(300));
    Section("a request that shares another part is served", [&] {
      CPPUNIT_ASSERT(Contains(site.Ask("short", "c0:9"), kEndOfStream));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), site.Sends());
    });
    Section("the next one with the part is not sent to a second engine", [&] {
      CPPUNIT_ASSERT(!Contains(site.Ask("short", "c0:9,bad:9"), kEndOfStream));
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), site.Sends());
      site.RestartAfter(3);
    });
    site.Wait(milliseconds(1600));
    Section("then all are refused, and told truly that they have not run", [&] {
      for (const auto* kind : { "short", "long", "safe", "unsafe" }) {
        const auto reply = site.Ask(kind, "c1:9,BAD:9");
        CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(Contains(reply, "Retry-After: 5"));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), site.Sends());
    });
    Section("others are served at the first attempt", [&] {
      CPPUNIT_ASSERT(Contains(site.Ask("long", "c0:9"), kEndOfStream));
      CPPUNIT_ASSERT(Contains(site.Ask("long", "c1:9"), kEndOfStream));
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), site.Sends());
    });
  }

  void TestWaitingRequestWithAQuarantinedPart()
  {
    RelayWorld world;
    world.mEngine = EngineLimits{ 1, 100000, 1, 100, 1, false };
    auto& engine = world.AddTarget("e1");
    engine.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      return true;
    });
    world.Start();
    const auto first = world.Call(RelayWorld::Request("long", "id1"));
    world.Reply(*first, "id: 1\n");
    const auto second = world.Call(
      RelayWorld::Request("long", "id2", "Prefix-Hash: c0:9,bad:9,e1:250\r\n"));
    world.RunUntil([&] { return world.Context().mLine.Size() == 1; });
    CrashReport report;
    report.mQuarantined = { { "bad", 2000, 50000, 60000, 3 } };
    world.Context().mCrashWatch.Merge(report);
    const auto reply = world.Reply(*second, "\r\n\r\n");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(reply, "Retry-After: 49.") ||
                   Contains(reply, "Retry-After: 50"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.Requests().size());
  }

  void TestBrokenAnswersOfSoundEngines()
  {
    RelayWorld world;
    constexpr int kAnswers = 8;
    for (int i = 0; i < 3; ++i) {
      auto& engine = world.AddTarget("e" + std::to_string(i));
      for (int n = 0; n < kAnswers; ++n) {
        engine.AddScript([](tcp::socket& aSocket, const std::string& aText) {
          WriteAll(aSocket,
                   RelayWorld::StreamHead(IdOf(aText)) + "20\r\nid: 1\nda");
          return false;
        });
      }
    }
    world.Start();
    for (int n = 0; n < 5; ++n) {
      const auto caller = world.Call(RelayWorld::Request(
        "long", "id" + std::to_string(n), "Prefix-Hash: c0:9,e1:250\r\n"));
      world.Reply(*caller, "\r\n\r\n");
      const auto now = world.Context().Now();
      world.RunUntil([&] {
        return world.Context().Now() >= now + Duration(milliseconds(400));
      });
    }
    auto& metrics = world.Context().mMetrics;
    CPPUNIT_ASSERT(metrics.Value("entry_broken_answers_total") > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         metrics.Value("entry_engine_crashes_total"));
    CPPUNIT_ASSERT(!world.Context().mCrashWatch.Find({ "c0" }));
  }

  void TestEngineCrashesInTheMiddleOfStreams()
  {
    RelayWorld world;
    auto& engine = world.AddTarget("e1");
    tcp::socket* socket = nullptr;
    engine.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::StreamHead("id1"));
      socket = &aSocket;
      return true;
    });
    world.Start();
    const auto caller = world.Call(
      RelayWorld::Request("long", "id1", "Prefix-Hash: c0:9,e1:250\r\n"));
    world.RunUntil([&] { return socket != nullptr; });
    for (int n = 1; n <= 8; ++n) {
      WriteAll(*socket, RelayWorld::Event(n));
      const auto now = world.Context().Now();
      world.RunUntil([&] {
        return world.Context().Now() >= now + Duration(milliseconds(80));
      });
    }
    engine.StopListening();
    error_code ec;
    socket->shutdown(tcp::socket::shutdown_both, ec);
    world.Reply(*caller, kEndOfStream);
    const auto now = world.Context().Now();
    world.RunUntil([&] {
      return world.Context().Now() >= now + Duration(milliseconds(500));
    });
    auto& metrics = world.Context().mMetrics;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         metrics.Value("entry_engine_crashes_total") +
                           metrics.Value("entry_broken_answers_total"));
  }

  void TestCrashThatLooksLikeTheEndOfAnUnmarkedAnswer()
  {
    const std::map<std::string, std::string> answers{
      { "long",
        "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece\n\n" },
      { "safe", "Content-Type: text/plain\r\n\r\npiece" }
    };
    for (const auto& [kind, answer] : answers) {
      for (const bool crashes : { true, false }) {
        RelayWorld world;
        auto& engine = world.AddTarget("e1");
        engine.AddScript([&](tcp::socket& aSocket, const std::string&) {
          if (crashes) {
            engine.StopListening();
          }
          WriteAll(aSocket,
                   "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                   "Response-Seal: seal\r\n" +
                     answer);
          return false;
        });
        world.Start();
        auto& watch = world.Context().mCrashWatch;
        CrashReport report;
        report.mCrashes = { { "e8", 1000, { "bad" } } };
        watch.Merge(report);
        const auto caller = world.Call(RelayWorld::Request(
          kind, "id1", "Connection: close\r\nPrefix-Hash: bad:9,e1:250\r\n"));
        Section(kind + ": the caller gets the answer", [&] {
          CPPUNIT_ASSERT(
            Contains(world.Reply(*caller, "until it closes"), "piece"));
        });
        auto& metrics = world.Context().mMetrics;
        if (crashes) {
          Section(kind + ": the part is still suspected", [&] {
            world.RunUntil(
              [&] { return metrics.Value("entry_engine_crashes_total") == 1; });
            CPPUNIT_ASSERT(!watch.MayRepeat({ "bad" }, "e9"));
          });
        } else {
          Section(
            kind + ": the answer of an engine that lives clears the part", [&] {
              world.RunUntil([&] { return watch.MayRepeat({ "bad" }, "e9"); });
              CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                                   metrics.Value("entry_broken_answers_total"));
            });
        }
      }
    }
  }

  void TestWhenAPlainAnswerBegan()
  {
    RelayWorld world;
    auto& engine = world.AddTarget("e1");
    tcp::socket* socket = nullptr;
    for (int i = 0; i < 2; ++i) {
      engine.AddScript([&](tcp::socket& aSocket, const std::string&) {
        socket = &aSocket;
        return true;
      });
    }
    world.Start();
    auto& watch = world.Context().mCrashWatch;
    const auto ask = [&](const std::string& aId) {
      socket = nullptr;
      const auto caller = world.Call(RelayWorld::Request(
        "safe", aId, "Connection: close\r\nPrefix-Hash: c0:9,e1:250\r\n"));
      world.RunUntil([&] { return socket != nullptr; });
      return caller;
    };
    const auto wait = [&](milliseconds aTime) {
      const auto until = world.Context().Now() + Duration(aTime);
      world.RunUntil([&] { return world.Context().Now() >= until; });
    };
    Section("an answer that began after a crash clears its parts, though the "
            "request was sent before",
            [&] {
              const auto caller = ask("id1");
              wait(milliseconds(50));
              CrashReport report;
              report.mCrashes = { { "e8", 0, { "c0" } } };
              watch.Merge(report);
              wait(milliseconds(300));
              CPPUNIT_ASSERT(!watch.MayRepeat({ "c0" }, "e9"));
              WriteAll(*socket, RelayWorld::Answer("id1", "piece"));
              CPPUNIT_ASSERT(Contains(world.Reply(*caller, "end"), "piece"));
              CPPUNIT_ASSERT(watch.MayRepeat({ "c0" }, "e9"));
            });
    Section("an engine that crashes long after the beginning of an answer does "
            "not blame it",
            [&] {
              const auto caller = ask("id2");
              WriteAll(*socket,
                       "HTTP/1.1 200 OK\r\nAttempt-Id: id2\r\n"
                       "Response-Seal: seal\r\nContent-Length: 99\r\n\r\n"
                       "piece");
              wait(milliseconds(600));
              engine.StopListening();
              error_code ec;
              socket->shutdown(tcp::socket::shutdown_both, ec);
              world.Reply(*caller, "end");
              wait(milliseconds(500));
              CPPUNIT_ASSERT_EQUAL(
                std::uint64_t(0),
                world.Context().mMetrics.Value("entry_engine_crashes_total"));
            });
  }

  void TestQuarantineDuringAConnect()
  {
    RelayWorld world;
    auto& engine = world.AddTarget("e1");
    engine.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::Answer("id1", "piece"));
      return true;
    });
    world.Start();
    const auto caller = world.Call(RelayWorld::Request(
      "safe", "id1", "Connection: close\r\nPrefix-Hash: bad:9,e1:250\r\n"));
    world.RunUntil([&] { return world.Context().mInFlight["e1"] == 1; });
    CrashReport report;
    report.mQuarantined = { { "bad", 2000, 50000, 60000, 3 } };
    world.Context().mCrashWatch.Merge(report);
    const auto reply = world.Reply(*caller, "until the connection closes");
    CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(reply, "Retry-After: 49.") ||
                   Contains(reply, "Retry-After: 50"));
    CPPUNIT_ASSERT(engine.Requests().empty());
  }

  void TestReportsThatASuspendedHostReads()
  {
    RelayWorld world;
    world.Start();
    auto& context = world.Context();
    auto& watch = context.mCrashWatch;
    context.SpawnLoop("crash_loop", [&watch] { return watch.Loop(); });
    const auto wait = [&](milliseconds aTime) {
      const auto until = context.Now() + Duration(aTime);
      world.RunUntil([&] { return context.Now() >= until; });
    };
    CrashReport report;
    report.mCrashes = { { "e8", 600, { "c0" } } };
    wait(milliseconds(300));
    std::this_thread::sleep_for(milliseconds(1500));
    Section("before it notices the time", [&] {
      watch.Merge(report);
      CPPUNIT_ASSERT(watch.MayRepeat({ "c0" }, "e9"));
    });
    Section("just after it noticed the time", [&] {
      wait(milliseconds(10));
      watch.Merge(report);
      CPPUNIT_ASSERT(watch.MayRepeat({ "c0" }, "e9"));
    });
    Section("when it has read what had arrived", [&] {
      wait(milliseconds(700));
      watch.Merge(report);
      CPPUNIT_ASSERT(!watch.MayRepeat({ "c0" }, "e9"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);

} // namespace ragwortdeck
