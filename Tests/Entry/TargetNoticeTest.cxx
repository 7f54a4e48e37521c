#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const std::string kLeaving = "Server-Leaving: 1\r\n";

ScriptedTarget::Script
ScriptOf(const std::string& aBytes)
{
  return [aBytes](tcp::socket& aSocket, const std::string&) {
    WriteAll(aSocket, aBytes);
    return true;
  };
}

/// A complete answer with aHeaders, each of which ends with a line break.
std::string
AnswerWith(const std::string& aStatus,
           const std::string& aId,
           const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus + "\r\nAttempt-Id: " + aId +
         "\r\nResponse-Seal: seal\r\n" + aHeaders +
         "Content-Length: 4\r\n\r\nbody";
}

/// \brief Two targets, of which t1 is preferred.
class TwoTargets : public RelayWorld
{
public:
  explicit TwoTargets(std::vector<ScriptedTarget::Script> aFirst)
    : mFirst(AddTarget("t1"))
    , mSecond(AddTarget("t2"))
  {
    for (auto& it : aFirst) {
      mFirst.AddScript(std::move(it));
    }
    Start();
    Context().mHealth.Unreachable("t2", Context().Now());
  }

  /// Sends a request and returns the caller's reply.
  std::string Ask(const std::string& aKind, const std::string& aId)
  {
    const auto caller = Call(Request(aKind, aId));
    return Reply(*caller, "\r\n\r\n");
  }
  bool IsLeaving(const std::string& aId)
  {
    return Context().mTargets.Find(aId)->mLeaving;
  }
  /// Reads the target list again; the targets in it started at aBorn.
  void ReadList(std::int64_t aRevision, std::int64_t aBorn = 0)
  {
    TargetList list;
    list.mVersion.mRevision = aRevision;
    for (const auto& [id, entry] : Context().mTargets.Entries()) {
      auto target = entry.mTarget;
      target.mBorn = aBorn;
      list.mTargets.emplace(id, target);
    }
    Context().mTargets.Apply(list, Context().Now());
  }

  static TargetResponseHeaders Notice(const char* aName, const char* aValue)
  {
    HttpFields fields;
    fields.set(aName, aValue);
    return FleetCodec().ReadTargetResponseHeaders(fields);
  }

  ScriptedTarget& mFirst;
  ScriptedTarget& mSecond;
};

/// \brief A stream that is moved from t1 to t2.
class MovedStream : public RelayWorld
{
public:
  /// aOnStop is called when the run has been stopped. The answer to the call
  /// that copies the run first has aHeaders.
  explicit MovedStream(const std::function<void(EntryContext&)>& aOnStop,
                       const std::string& aHeaders = kLeaving)
    : mSource(AddTarget("t1"))
    , mDestination(AddTarget("t2"))
    , mOther(AddTarget("t3"))
  {
    mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    const std::string copied = R"({"handle":"h1","created_at":1})";
    const auto reply =
      "Content-Length: " + std::to_string(copied.size()) + "\r\n\r\n" + copied;
    mSource.AddScript([this](tcp::socket& aSocket, const std::string&) {
      mStream = &aSocket;
      WriteAll(aSocket, StreamHead("id1") + Event(1));
      return true;
    });
    mSource.AddScript(ScriptOf("HTTP/1.1 200 OK\r\n" + aHeaders + reply));
    mSource.AddScript(
      [this, reply, aOnStop](tcp::socket& aSocket, const std::string&) {
        aOnStop(Context());
        WriteAll(aSocket, "HTTP/1.1 200 OK\r\n" + reply);
        mStream->close();
        return true;
      });
  }

  /// Returns what the caller gets from the start of the move to the end.
  std::string Move()
  {
    Start();
    // The other engines have long prompts to process.
    Context().mLoad.SetPeer(
      "other host",
      { { "t2", 1, 100, 50000 }, { "t3", 1, 100, 60000 } },
      Context().Now());
    const auto caller = Call(Request("long", "id1"));
    Reply(*caller, "id: 1\n");
    StartMove("t2");
    return Reply(*caller, kEndOfStream);
  }

  ScriptedTarget& mSource;
  ScriptedTarget& mDestination;
  ScriptedTarget& mOther;

private:
  tcp::socket* mStream = nullptr;
};

} // namespace

/// \brief Tests that hosts heed what targets say of themselves in their
/// answers.
class TargetNoticeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetNoticeTest);
  CPPUNIT_TEST(TestAnswerSaysLeaving);
  CPPUNIT_TEST(TestNoticeOfAnother);
  CPPUNIT_TEST(TestLeavingWhileConnecting);
  CPPUNIT_TEST(TestNoticeDuringMove);
  CPPUNIT_TEST(TestPausedTarget);
  CPPUNIT_TEST(TestAllTargetsPaused);
  CPPUNIT_TEST(TestWaitingWhileAllArePaused);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestAnswerSaysLeaving()
  {
    Section("a target that says so in an answer gets no more requests", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("200 OK", "id1", kLeaving)),
                         ScriptOf(RelayWorld::Answer("id2", "t1")) });
      world.mSecond.AddScript(ScriptOf(RelayWorld::Answer("id2", "t2")));
      world.mSecond.AddScript(ScriptOf(RelayWorld::Answer("id3", "t2")));
      CPPUNIT_ASSERT(world.Ask("unsafe", "id1").starts_with("HTTP/1.1 200 OK"));
      world.Ask("unsafe", "id2");
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mSecond.Requests().size());
      Section("nor when the store still lists it as ready", [&] {
        world.ReadList(2);
        world.Ask("safe", "id3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.mSecond.Requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mFirst.Requests().size());
      });
    });
    Section("the other hosts are told once, with its start", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("200 OK", "id1", kLeaving)) });
      std::vector<Target> told;
      world.Context().mOnSaidLeaving = [&](const Target& aTarget) {
        told.push_back(aTarget);
      };
      world.ReadList(2, 1000);
      world.Ask("unsafe", "id1");
      world.Context().RecordNotices(
        told.at(0), 200, world.Notice("Server-Leaving", "1"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), told[0].mBorn);
    });
    Section("a target that started again under its id is used", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("200 OK", "id1", kLeaving)) });
      world.ReadList(2, 1000);
      world.Ask("unsafe", "id1");
      world.ReadList(3, 2000);
      CPPUNIT_ASSERT(!world.IsLeaving("t1"));
    });
    for (const auto* status :
         { "500 Oops", "404 Not Found", "503 Busy\r\nNot-Executed: 1" }) {
      Section(std::string("in a failure: ") + status, [&] {
        TwoTargets world({ ScriptOf(AnswerWith(status, "id1", kLeaving)) });
        world.Ask("unsafe", "id1");
        CPPUNIT_ASSERT(world.IsLeaving("t1"));
      });
    }
    Section("in the header of a stream that still runs", [&] {
      TwoTargets world({ ScriptOf("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                                  "Response-Seal: seal\r\n" +
                                  kLeaving +
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n" +
                                  RelayWorld::Event(1)) });
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      world.Reply(*caller, "id: 1\n");
      CPPUNIT_ASSERT(world.IsLeaving("t1"));
    });
    for (const auto* value : { "0", "true", "", "11", "1, 1" }) {
      Section(std::string("another value says nothing: ") + value, [&] {
        TwoTargets world({ ScriptOf(
          AnswerWith("200 OK",
                     "id1",
                     std::string("Server-Leaving: ") + value + "\r\n")) });
        world.Ask("unsafe", "id1");
        CPPUNIT_ASSERT(!world.IsLeaving("t1"));
      });
    }
  }

  void TestNoticeOfAnother()
  {
    Section("the late answer to another request is the same target's", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("200 OK", "id0", kLeaving) +
                                  RelayWorld::Answer("id1", "body")) });
      CPPUNIT_ASSERT(world.Ask("unsafe", "id1").starts_with("HTTP/1.1 200 OK"));
      CPPUNIT_ASSERT(world.IsLeaving("t1"));
    });
    Section("a target that took over the address does not speak for it", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("421 Other", "id1", kLeaving)) });
      world.Ask("unsafe", "id1");
      CPPUNIT_ASSERT(!world.IsLeaving("t1"));
    });
  }

  void TestLeavingWhileConnecting()
  {
    // Guards against a request that reaches a target although its notice
    // arrived while the connection was being opened.
    for (const auto* kind : { "unsafe", "long" }) {
      Section(kind, [&] {
        TwoTargets world({ ScriptOf(RelayWorld::Answer("id1", "t1")) });
        world.mSecond.AddScript(ScriptOf(AnswerWith("500 Oops", "id1", "")));
        const auto caller = world.Call(RelayWorld::Request(kind, "id1"));
        world.RunUntil([&] { return world.Context().mInFlight["t1"] > 0; });
        world.Context().mTargets.MarkLeaving("t1", 0, world.Context().Now());
        CPPUNIT_ASSERT(
          world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT(world.mFirst.Requests().empty());
      });
    }
  }

  void TestNoticeDuringMove()
  {
    Section("a call's answer is heeded, and a stopped run is resumed", [&] {
      bool wasHeeded = false;
      MovedStream world([&](EntryContext& aContext) {
        wasHeeded = aContext.mTargets.Find("t1")->mLeaving;
        aContext.mTargets.MarkLeaving("t2", 0, aContext.Now());
      });
      world.mDestination.AddScript(ScriptOf(
        RelayWorld::StreamHead("id1") + RelayWorld::Event(2) + "0\r\n\r\n"));
      CPPUNIT_ASSERT(Contains(world.Move(), "id: 2\n"));
      CPPUNIT_ASSERT(wasHeeded);
    });
    Section("nothing reaches a leaving target after the bound", [&] {
      // The run has been at work, so it is not sent anew either.
      MovedStream world(
        [](EntryContext& aContext) {
          for (const auto* id : { "t1", "t2" }) {
            aContext.mTargets.MarkLeaving(
              id, 0, aContext.Now() - aContext.mSettings.mDrainTime);
          }
        },
        "");
      CPPUNIT_ASSERT(!Contains(world.Move(), kEndOfStream));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.mSource.Requests().size());
      CPPUNIT_ASSERT(world.mDestination.Requests().empty());
      CPPUNIT_ASSERT(world.mOther.Requests().empty());
    });
  }

  void TestPausedTarget()
  {
    for (const auto* extra : { "Not-Executed: 1\r\n", "" }) {
      Section(
        std::string("a target that wants nothing for a minute ") + extra, [&] {
          TwoTargets world(
            { ScriptOf(AnswerWith(
                "503 Busy", "id1", std::string("Retry-After: 60\r\n") + extra)),
              ScriptOf(RelayWorld::Answer("id2", "t1")) });
          world.mSecond.AddScript(ScriptOf(RelayWorld::Answer("id2", "t2")));
          world.Ask("unsafe", "id1");
          world.Ask("unsafe", "id2");
          CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mFirst.Requests().size());
          CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mSecond.Requests().size());
        });
    }
    Section("after the time it is used again", [&] {
      TwoTargets world({ ScriptOf(AnswerWith("503 Busy",
                                             "id1",
                                             "Retry-After: 0.05\r\n"
                                             "Not-Executed: 1\r\n")),
                         ScriptOf(RelayWorld::Answer("id2", "t1")) });
      world.Ask("unsafe", "id1");
      world.RunUntil(
        [&] { return world.Context().OpenTargets("s").size() == 2; });
      CPPUNIT_ASSERT(world.Ask("unsafe", "id2").starts_with("HTTP/1.1 200 OK"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.mFirst.Requests().size());
    });
    Section("a success, or another status, starts no pause", [&] {
      for (const auto* status : { "200 OK", "500 Oops", "429 Slow" }) {
        TwoTargets world(
          { ScriptOf(AnswerWith(status, "id1", "Retry-After: 60\r\n")) });
        world.Ask("unsafe", "id1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             world.Context().OpenTargets("s").size());
      }
    });
    Section("a request whose connection is being opened goes elsewhere", [&] {
      TwoTargets world({});
      world.mSecond.AddScript(ScriptOf(RelayWorld::Answer("id1", "t2")));
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      world.RunUntil([&] { return world.Context().mInFlight["t1"] > 0; });
      world.Context().RecordAnswer(world.Context().mTargets.Find("t1")->mTarget,
                                   503,
                                   world.Notice("Retry-After", "60"));
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(world.mFirst.Requests().empty());
    });
    Section("it is no destination of a move", [&] {
      MovedStream world([](EntryContext&) {});
      world.mOther.AddScript(ScriptOf(RelayWorld::StreamHead("id1") +
                                      RelayWorld::Event(2) + "0\r\n\r\n"));
      Target paused;
      paused.mId = "t2";
      paused.mService = "s";
      world.Context().RecordAnswer(
        paused, 503, TwoTargets::Notice("Retry-After", "60"));
      CPPUNIT_ASSERT(Contains(world.Move(), "id: 2\n"));
      CPPUNIT_ASSERT(world.mDestination.Requests().empty());
    });
  }

  void TestAllTargetsPaused()
  {
    for (const auto* kind : { "safe", "unsafe", "short", "long" }) {
      Section(kind, [&] {
        const auto refuse = [](const std::string& aSeconds) {
          return ScriptOf(
            AnswerWith("503 Busy",
                       "id1",
                       "Not-Executed: 1\r\nRetry-After: " + aSeconds + "\r\n"));
        };
        TwoTargets world({ refuse("90") });
        auto second = world.Context().mTargets.Find("t2")->mTarget;
        world.Context().RecordAnswer(
          second, 503, world.Notice("Retry-After", "70"));
        Section("the request is refused with the earliest end", [&] {
          const auto began = world.Context().Now();
          for (const auto* id : { "id1", "id2" }) {
            const auto reply = world.Ask(kind, id);
            CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
            const std::string name = "Retry-After: ";
            const auto at = reply.find(name);
            CPPUNIT_ASSERT(at != std::string::npos);
            const double seconds = std::stod(reply.substr(at + name.size()));
            CPPUNIT_ASSERT(seconds > 10 && seconds <= 70);
          }
          CPPUNIT_ASSERT(world.Context().Now() - began <
                         std::chrono::seconds(5));
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.mFirst.Requests().size());
        CPPUNIT_ASSERT(world.mSecond.Requests().empty());
      });
    }
  }

  void TestWaitingWhileAllArePaused()
  {
    // Guards against a generation that is held while no engine may be asked.
    RelayWorld world;
    world.mEngine = EngineLimits{ 1, 100000, 1, 1000, 1, true };
    auto& engine = world.AddTarget("t1");
    engine.AddScript(
      ScriptOf(RelayWorld::StreamHead("id1") + RelayWorld::Event(1)));
    world.Start();
    const auto first = world.Call(RelayWorld::Request("long", "id1"));
    world.Reply(*first, "id: 1\n");
    const auto waiting = world.Call(RelayWorld::Request("long", "id2"));
    world.RunUntil([&] { return world.Context().mLine.Size() == 1; });
    const auto began = world.Context().Now();
    world.Context().RecordAnswer(world.Context().mTargets.Find("t1")->mTarget,
                                 503,
                                 TwoTargets::Notice("Retry-After", "60"));
    CPPUNIT_ASSERT(
      world.Reply(*waiting, "\r\n\r\n").starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(world.Context().Now() - began < std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), engine.Requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetNoticeTest);

} // namespace ragwortdeck
