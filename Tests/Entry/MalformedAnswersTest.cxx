#include "Entry/RelayWorld.h"
#include "Support/RawServer.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const std::string kOwnFields = "Attempt-Id: id1\r\nResponse-Seal: seal\r\n";
const std::string kStreamFields =
  kOwnFields + "Content-Type: text/event-stream\r\n";
const std::string kEvents = "id: 1\ndata: odd\n\nid: 2\ndata: odd\n\n";

std::string
BytesOf(const MalformedAnswer& aAnswer,
        const std::string& aFields,
        const std::string& aBody)
{
  return aAnswer
    .Bytes(QByteArray::fromStdString(aFields), QByteArray::fromStdString(aBody))
    .toStdString();
}

/// Sends aBytes, and ends the connection unless aKeep.
ScriptedTarget::Script
Sends(const std::string& aBytes, bool aKeep = false)
{
  return [=](tcp::socket& aSocket, const std::string&) {
    WriteAll(aSocket, aBytes);
    return aKeep;
  };
}

} // namespace

/// \brief Tests bytes whose status or head is not that of an answer.
class MalformedAnswersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MalformedAnswersTest);
  CPPUNIT_TEST(TestPlainAnswer);
  CPPUNIT_TEST(TestStream);
  CPPUNIT_TEST(TestHiddenAnswer);
  CPPUNIT_TEST(TestSecondSend);
  CPPUNIT_TEST(TestInterimAnswers);
  CPPUNIT_TEST(TestReplies);
  CPPUNIT_TEST(TestUnfinishedLines);
  CPPUNIT_TEST_SUITE_END();

  struct Seen
  {
    std::string mReply;
    std::string mLog;
    std::uint64_t mRefused;
    std::size_t mRequests;
  };

  static Seen Relay(const std::string& aKind, const std::string& aBytes)
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript(Sends(aBytes));
    world.Start();
    const auto caller =
      world.Call(RelayWorld::Request(aKind, "id1", "Connection: close\r\n"));
    Seen seen;
    seen.mReply = world.Reply(*caller, "never sent");
    world.RunUntil([&] { return world.Context().mActive.empty(); });
    seen.mLog = world.Log();
    seen.mRefused =
      world.Context().mMetrics.Value("entry_refused_answers_total");
    seen.mRequests = target.Requests().size();
    return seen;
  }

  /// Empty if the caller got a truthful 502 and the log says why; what it got
  /// otherwise.
  static std::string TakenOf(const std::string& aName, const Seen& aSeen)
  {
    const bool isRefused =
      aSeen.mReply.starts_with("HTTP/1.1 502") && aSeen.mRequests == 1 &&
      !Contains(aSeen.mReply, "odd") &&
      Contains(aSeen.mLog, R"("event":"answer_refused")") &&
      Contains(aSeen.mLog, R"("answer_end":"refused")") && aSeen.mRefused == 1;
    return isRefused ? ""
                     : aName + " gave " +
                         aSeen.mReply.substr(0, aSeen.mReply.find('\r')) + "; ";
  }

public:
  void TestPlainAnswer()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      taken += TakenOf(answer.mName,
                       Relay("unsafe", BytesOf(answer, kOwnFields, "odd")));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    Section("statuses that were not registered are answers", [&] {
      for (const auto* status : { "299 Odd", "418 I'm a teapot", "599 " }) {
        const auto seen = Relay("unsafe",
                                "HTTP/1.1 " + std::string(status) + "\r\n" +
                                  kOwnFields + "Content-Length: 4\r\n\r\nbody");
        CPPUNIT_ASSERT_MESSAGE(
          seen.mReply,
          seen.mReply.starts_with("HTTP/1.1 " +
                                  std::string(status).substr(0, 3)) &&
            seen.mReply.ends_with("\r\n\r\nbody"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), seen.mRefused);
      }
    });
  }

  void TestStream()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      taken += TakenOf(answer.mName,
                       Relay("long", BytesOf(answer, kStreamFields, kEvents)));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
  }

  /// Guards against a status that is taken for an interim one, so that bytes
  /// of the body count as the answer.
  void TestHiddenAnswer()
  {
    const auto hidden = RelayWorld::Answer("id1", "odd");
    std::string taken;
    const auto length =
      "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    const auto stream =
      RelayWorld::StreamHead("id1") + RelayWorld::Event(1) + "0\r\n\r\n";
    for (const std::string status : { "000", "001", "099" }) {
      const MalformedAnswer answer{
        "", "HTTP/1.1 " + QByteArray::fromStdString(status) + " Trouble", ""
      };
      taken +=
        TakenOf(status, Relay("unsafe", BytesOf(answer, kOwnFields, hidden)));
      taken +=
        TakenOf(status + " with a length",
                Relay("unsafe", BytesOf(answer, kOwnFields + length, hidden)));
      taken += TakenOf(status + " of a stream",
                       Relay("long", BytesOf(answer, kOwnFields, stream)));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
  }

  void TestSecondSend()
  {
    for (const auto& answer : MalformedAnswers()) {
      const auto sendTwice = [&](const std::string& aSecond) {
        RelayWorld world;
        auto& first = world.AddTarget("t1");
        auto& second = world.AddTarget("t2");
        first.AddScript(Sends(BytesOf(answer, kOwnFields, "odd")));
        second.AddScript(Sends(aSecond));
        world.Start();
        world.Context().mHealth.Unreachable("t2", world.Context().Now());
        const auto caller = world.Call(
          RelayWorld::Request("safe", "id1", "Connection: close\r\n"));
        const auto reply = world.Reply(*caller, "never sent");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.Requests().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.Requests().size());
        return reply;
      };
      Section(answer.mName, [&] {
        Section("the answer of the second target is the caller's", [&] {
          const auto reply = sendTwice(RelayWorld::Answer("id1", "second"));
          CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 200"));
          CPPUNIT_ASSERT(reply.ends_with("\r\n\r\nsecond"));
        });
        Section("if it is one", [&] {
          const auto reply = sendTwice(BytesOf(answer, kOwnFields, "odd"));
          CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 502"));
        });
      });
    }
  }

  void TestInterimAnswers()
  {
    const auto last = RelayWorld::Answer("id1", "last");
    Section("they are skipped", [&] {
      const auto seen = Relay("unsafe",
                              "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                              "HTTP/1.1 102 Processing\r\n\r\n" +
                                last);
      CPPUNIT_ASSERT_MESSAGE(seen.mReply,
                             seen.mReply.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(seen.mReply.ends_with("\r\n\r\nlast"));
      CPPUNIT_ASSERT(!Contains(seen.mReply, "Link"));
    });
    Section("but checked", [&] {
      std::string taken;
      for (auto answer : MalformedAnswers()) {
        if (!answer.mFields.isEmpty()) {
          answer.mStart.replace("200 OK", "102 Processing");
          taken +=
            TakenOf(answer.mName, Relay("unsafe", BytesOf(answer, "", last)));
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    });
    Section("so are the heads of late answers to other requests", [&] {
      std::string taken;
      for (const auto& answer : MalformedAnswers()) {
        const std::string fields = "Attempt-Id: other\r\nContent-Length: 0\r\n";
        taken +=
          TakenOf(answer.mName, Relay("unsafe", BytesOf(answer, fields, last)));
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), taken);
    });
  }

  /// Guards against a reply of the store, or of an engine about a run, that is
  /// none.
  void TestReplies()
  {
    std::string taken;
    for (const auto& answer : MalformedAnswers()) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript(Sends(BytesOf(answer, "X-First: field\r\n", "{}")));
      world.Start();
      if (world.GetsReply(target)) {
        taken += answer.mName + std::string("; ");
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), taken);
  }

  /// Guards against a wait for the end of a line that cannot become right.
  void TestUnfinishedLines()
  {
    for (const auto* bytes : { "no answer",
                               "HTTP/1.1 0",
                               "HTTP/1.1 6",
                               "HTTP/1.1 200 OK\r\nX Some",
                               "HTTP/1.1 200 OK\r\n more",
                               "HTTP/1.1 200 OK\r\nX-Some: \001" }) {
      Section(bytes, [&] {
        RelayWorld world;
        auto& target = world.AddTarget("t1");
        target.AddScript(Sends(bytes, true));
        world.Start();
        const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
        // The target never ends its connection.
        CPPUNIT_ASSERT(
          world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedAnswersTest);

} // namespace ragwortdeck
