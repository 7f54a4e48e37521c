#include "Entry/PendingConnection.h"
#include "Entry/RelayWorld.h"
#include "Entry/TargetExchange.h"
#include "Support/Section.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace ragwortdeck {

namespace {

std::string
Chunk(const std::string& aBytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

/// \brief A target that writes a first part and then small pieces for as long
/// as the host keeps the connection.
class DrippingTarget
{
public:
  DrippingTarget(ScriptedTarget& aTarget,
                 const std::string& aFirst,
                 std::string aPiece)
    : mTarget(aTarget)
    , mPiece(std::move(aPiece))
  {
    aTarget.AddScript([this, aFirst](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, aFirst);
      mSocket = &aSocket;
      return true;
    });
  }
  /// Writes one more piece; false once the host has closed the connection.
  bool Drip()
  {
    if (!mSocket) {
      return true;
    }
    if (mTarget.PeerClosed()) {
      return false;
    }
    if (mPending.empty()) {
      mPending = mPiece;
    }
    error_code ec;
    mSocket->non_blocking(true, ec);
    const auto n = mSocket->write_some(asio::buffer(mPending), ec);
    mPending.erase(0, n);
    mWritten += n;
    return true;
  }
  std::size_t Written() const { return mWritten; }

private:
  ScriptedTarget& mTarget;
  std::string mPiece;
  /// The part of a piece that the socket did not take yet.
  std::string mPending;
  tcp::socket* mSocket = nullptr;
  std::size_t mWritten = 0;
};

/// \brief One caller for each of many targets, which all send without end.
class EndlessTargets
{
public:
  EndlessTargets(int aTargets,
                 const std::string& aKind,
                 const std::string& aFirst,
                 const std::string& aPiece)
  {
    for (int i = 0; i < aTargets; ++i) {
      mTargets.push_back(&mWorld.AddTarget("t" + std::to_string(i)));
      mEndless.push_back(
        std::make_unique<DrippingTarget>(*mTargets.back(), aFirst, aPiece));
    }
    mWorld.Start();
    for (int i = 0; i < aTargets; ++i) {
      mCallers.push_back(mWorld.Call(RelayWorld::Request(aKind, "id1")));
      // Each request goes to the one target that is idle.
      mWorld.RunUntil([&] {
        return std::count_if(
                 mTargets.begin(), mTargets.end(), [](const auto* aItem) {
                   return !aItem->Requests().empty();
                 }) == i + 1;
      });
    }
  }
  /// Runs until the host has closed all connections to the targets; returns the
  /// largest number of bytes charged to aUse meanwhile.
  std::size_t LargestUntilClosed(MemoryUse aUse)
  {
    std::size_t most = 0;
    mWorld.RunUntil([&] {
      bool open = false;
      for (const auto& it : mEndless) {
        open = it->Drip() || open;
      }
      most = std::max(most, mWorld.Context().mMemory.Used(aUse));
      return !open;
    });
    return most;
  }
  RelayWorld& World() { return mWorld; }
  const std::vector<std::shared_ptr<tcp::socket>>& Callers() const
  {
    return mCallers;
  }

private:
  RelayWorld mWorld;
  std::vector<std::unique_ptr<DrippingTarget>> mEndless;
  std::vector<ScriptedTarget*> mTargets;
  std::vector<std::shared_ptr<tcp::socket>> mCallers;
};

} // namespace

/// \brief A codec that fails in the way of a fault nobody foresaw.
class ThrowingCodec : public FleetCodec
{
public:
  CallerHeaders ReadCallerHeaders(const HttpFields& aFields) const override
  {
    auto headers = FleetCodec::ReadCallerHeaders(aFields);
    if (headers.mId == "unreadable") {
      throw std::runtime_error("unforeseen");
    }
    return headers;
  }
  TargetResponseHeaders ReadTargetResponseHeaders(
    const HttpFields& aFields) const override
  {
    auto headers = FleetCodec::ReadTargetResponseHeaders(aFields);
    if (headers.mId == "bad" && aFields.count("X-Sound") == 0) {
      throw std::runtime_error("unforeseen");
    }
    return headers;
  }
};

/// \brief A caller that sends a request in one piece while it reads the answer.
class SendingCaller
{
public:
  SendingCaller(RelayWorld& aWorld, std::string aBytes)
    : mWorld(aWorld)
    , mSocket(aWorld.Call(""))
    , mState(std::make_shared<State>())
  {
    mState->mBytes = std::move(aBytes);
    asio::async_write(*mSocket,
                      asio::buffer(mState->mBytes),
                      [state = mState](const error_code& aError, std::size_t) {
                        state->mSent = aError;
                      });
    asio::async_read(*mSocket,
                     asio::dynamic_buffer(mState->mAnswer),
                     [state = mState](const error_code& aError, std::size_t) {
                       state->mRead = aError;
                     });
  }
  /// Waits until all is sent and the answer has ended.
  void Finish()
  {
    mWorld.RunUntil([&] { return mState->mSent && mState->mRead; });
  }
  /// Both ended without an error.
  bool IsClean() const
  {
    return mState->mSent == error_code() &&
           mState->mRead == error_code(asio::error::eof);
  }
  const std::string& Answer() const { return mState->mAnswer; }

private:
  struct State
  {
    std::string mBytes;
    std::string mAnswer;
    std::optional<error_code> mSent;
    std::optional<error_code> mRead;
  };

  RelayWorld& mWorld;
  std::shared_ptr<tcp::socket> mSocket;
  std::shared_ptr<State> mState;
};

/// \brief Replays failures that operators of similar systems have reported; see
/// docs/field-failures.md.
class FieldFailuresTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FieldFailuresTest);
  CPPUNIT_TEST(TestSecondCopyOfAnAnswer);
  CPPUNIT_TEST(TestRefusalRepeatedAfterOtherRequests);
  CPPUNIT_TEST(TestLateAnswerInsteadOfAReply);
  CPPUNIT_TEST(TestRefusalAmongOtherAnswers);
  CPPUNIT_TEST(TestRefusalWhileTheBodyIsSent);
  CPPUNIT_TEST(TestRefusalThatPromisesNothing);
  CPPUNIT_TEST(TestMovedRunThatCannotContinue);
  CPPUNIT_TEST(TestErrorAfterAStreamHasBegun);
  CPPUNIT_TEST(TestStalledStreams);
  CPPUNIT_TEST(TestSlowSoundStreams);
  CPPUNIT_TEST(TestEndlessHeads);
  CPPUNIT_TEST(TestEndlessBodies);
  CPPUNIT_TEST(TestEndlessEventsOfManyStreams);
  CPPUNIT_TEST(TestRequestsAtTheEndOfTheGrace);
  CPPUNIT_TEST(TestRequestsLateInTheGrace);
  CPPUNIT_TEST(TestEndTogetherWithTheDelayOfASecondSend);
  CPPUNIT_TEST(TestRequestsReadDuringAStop);
  CPPUNIT_TEST(TestRejectedWhileSending);
  CPPUNIT_TEST(TestUnexpectedErrors);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSecondCopyOfAnAnswer()
  {
    const auto first = RelayWorld::Answer("id1", "first");
    const auto sendLater = [&](const std::string& aCopy) {
      // The copy arrives where the answer to the second request is due.
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, first);
        return true;
      });
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, aCopy + RelayWorld::Answer("id2", "second"));
        return true;
      });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      world.Reply(*caller, "first");
      WriteAll(*caller, RelayWorld::Request("unsafe", "id2"));
      auto reply = world.Reply(*caller, "\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.Context().mPool.Opened());
      return reply;
    };
    Section("a whole copy is skipped",
            [&] { CPPUNIT_ASSERT(Contains(sendLater(first), "200 OK")); });
    Section("a copy without an id is no answer to the second request", [&] {
      CPPUNIT_ASSERT(sendLater("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                               "Content-Length: 5\r\n\r\nfirst")
                       .starts_with("HTTP/1.1 502"));
    });
    Section("a late refusal without an id does not say that the second request "
            "has not run",
            [&] {
              CPPUNIT_ASSERT(
                sendLater("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n")
                  .starts_with("HTTP/1.1 502"));
            });
    Section("a copy that ends early", [&] {
      CPPUNIT_ASSERT(
        !Contains(sendLater(first.substr(0, first.size() - 2)), "first"));
    });
    Section("a second copy of a refusal, when the same request comes to the "
            "same target again",
            [&] {
              RelayWorld world;
              auto& target = world.AddTarget("t1");
              const std::string refusal =
                "HTTP/1.1 503 Full\r\nAttempt-Id: id1\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n";
              target.AddScript([&](tcp::socket& aSocket, const std::string&) {
                WriteAll(aSocket, refusal);
                return true;
              });
              target.AddScript([&](tcp::socket& aSocket, const std::string&) {
                // The copy arrives only on the connection that was used before.
                WriteAll(aSocket,
                         (world.Context().mPool.Opened() == 1 ? refusal : "") +
                           RelayWorld::Answer("id1", "ran"));
                return true;
              });
              world.Start();
              auto request = std::make_shared<CallerRequest>();
              request->mRequest.target("/unsafe/x");
              request->mCallerHeaders.mId = "id1";
              const auto send = [&] {
                std::optional<TargetOutcome> outcome;
                auto exchange =
                  std::make_shared<TargetExchange>(world.Context(), request);
                world.Context().Spawn(
                  "exchange",
                  [](std::shared_ptr<TargetExchange> aExchange,
                     Target aTarget,
                     std::optional<TargetOutcome>& aOutcome) -> Task<void> {
                    aOutcome = co_await aExchange->Run(aTarget, false);
                  }(exchange, target.Describe("s"), outcome));
                world.RunUntil([&] { return outcome.has_value(); });
                return outcome->mKind;
              };
              CPPUNIT_ASSERT(send() == TargetOutcome::Kind::kNotRun);
              CPPUNIT_ASSERT(send() == TargetOutcome::Kind::kAnswered);
            });
    Section("a copy whose end is not marked", [&] {
      CPPUNIT_ASSERT(sendLater("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                               "Response-Seal: s\r\n\r\nfirst")
                       .starts_with("HTTP/1.1 502"));
    });
  }

  void TestRefusalRepeatedAfterOtherRequests()
  {
    // The request comes to the target once more, by a move or from its caller,
    // on a connection that has served another one meanwhile.
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    const std::string refusal =
      "HTTP/1.1 503 Full\r\nAttempt-Id: id1\r\nNot-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
    target.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, refusal);
      return true;
    });
    target.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::Answer("id2", "other"));
      return true;
    });
    target.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               (world.Context().mPool.Opened() == 1 ? refusal : "") +
                 RelayWorld::Answer("id1", "ran"));
      return true;
    });
    world.Start();
    const auto call = [&](const std::string& aId, const std::string& aUntil) {
      const auto caller = world.Call(RelayWorld::Request("unsafe", aId));
      return world.Reply(*caller, aUntil);
    };
    CPPUNIT_ASSERT(call("id1", "\r\n\r\n").starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Contains(call("id2", "other"), "200 OK"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), world.Context().mPool.Opened());
    CPPUNIT_ASSERT(Contains(call("id1", "ran"), "200 OK"));
  }

  void TestLateAnswerInsteadOfAReply()
  {
    // A call to an engine carries no id, and neither does the reply to it.
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::Answer("id1", "first"));
      return true;
    });
    const auto reply = [&](const std::string& aBody) {
      return [&, aBody](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 (world.Context().mPool.Opened() == 1
                    ? "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n"
                    : "HTTP/1.1 102 Processing\r\n\r\n") +
                   ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + aBody));
        return true;
      };
    };
    target.AddScript(reply("1"));
    target.AddScript(reply("2"));
    world.Start();
    const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
    world.Reply(*caller, "first");
    for (const auto* body : { "1", "2" }) {
      std::optional<std::string> got;
      world.Context().Spawn(
        "call",
        [](EntryContext& aContext,
           Endpoint aTo,
           std::optional<std::string>& aGot) -> Task<void> {
          const auto reply = co_await aContext.mCalls.Call(
            aTo, aContext.mCodec.ReportCall(), Milliseconds(5000));
          aGot = reply ? std::to_string(reply.value().mStatus) + " " +
                           reply.value().mBody
                       : reply.error().mMessage;
        }(world.Context(), target.Describe("s").mEndpoint, got));
      world.RunUntil([&] { return got.has_value(); });
      CPPUNIT_ASSERT_EQUAL(std::string("200 ") + body, got.value_or(""));
    }
  }

  void TestRefusalAmongOtherAnswers()
  {
    const auto answerTo = [](const std::string& aBytes) {
      RelayWorld world;
      world.AddTarget("t1").AddScript(
        [&](tcp::socket& aSocket, const std::string&) {
          WriteAll(aSocket, aBytes + RelayWorld::Answer("id1", "ran"));
          return true;
        });
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      return world.Reply(*caller, "\r\n\r\n");
    };
    const std::string refusal =
      "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    Section("a refusal without an id on a new connection", [&] {
      CPPUNIT_ASSERT(answerTo(refusal).starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT(answerTo("HTTP/1.1 102 Processing\r\n\r\n" + refusal)
                       .starts_with("HTTP/1.1 503"));
    });
    Section("after the answer to another request, it may belong to that", [&] {
      CPPUNIT_ASSERT(answerTo(RelayWorld::Answer("other", "x") + refusal)
                       .starts_with("HTTP/1.1 502"));
    });
  }

  void TestRefusalWhileTheBodyIsSent()
  {
    // The rest of the refused request's body must not run into the next one.
    for (const auto* kind : { "unsafe", "long" }) {
      RelayWorld world;
      auto& target = world.AddTarget("t1");
      target.AddScript([](tcp::socket& aSocket, const std::string&) {
        // The mark that a body is whole comes long before its end.
        WriteAll(aSocket,
                 "HTTP/1.1 503 Full\r\nAttempt-Id: id1\r\nNot-Executed: 1\r\n"
                 "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n");
        return true;
      });
      target.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 std::string(kind) == "long"
                   ? RelayWorld::StreamHead("id2") + RelayWorld::Event(1) +
                       "0\r\n\r\n"
                   : RelayWorld::Answer("id2", "done"));
        return true;
      });
      target.ReadLittle();
      world.Start();
      const std::string body = "<end>" + std::string(4'000'000, 'x');
      auto request = RelayWorld::Request(
        kind, "id1", "Content-Length: " + std::to_string(body.size()) + "\r\n");
      request.replace(0, 3, "POST");
      const auto caller = world.Call("");
      world.Send(*caller, request + body);
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 503"));
      world.RunUntil([&] { return world.Context().mActive.empty(); });
      const auto next = world.Call(RelayWorld::Request(kind, "id2"));
      CPPUNIT_ASSERT(
        world.Reply(*next, "\r\n\r\n").starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(target.Requests().back().starts_with(
        "GET /" + std::string(kind) + "/x"));
    }
  }

  void TestRefusalThatPromisesNothing()
  {
    // To a caller these statuses state that the request has not run, which a
    // target states only by a header.
    for (const auto* kind : { "unsafe", "long" }) {
      for (const int status : { 408, 421, 429, 503 }) {
        RelayWorld world;
        world.AddTarget("t1").AddScript(
          [&](tcp::socket& aSocket, const std::string&) {
            WriteAll(aSocket,
                     "HTTP/1.1 " + std::to_string(status) +
                       " Odd\r\nAttempt-Id: id1\r\nResponse-Seal: s\r\n"
                       "Content-Length: 0\r\n\r\n");
            return true;
          });
        world.Start();
        const auto caller = world.Call(RelayWorld::Request(kind, "id1"));
        CPPUNIT_ASSERT_MESSAGE(
          std::string(kind) + " " + std::to_string(status),
          world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
      }
    }
  }

  void TestMovedRunThatCannotContinue()
  {
    // A run that was stopped for its last copy has run, though neither engine
    // can be reached any more.
    RelayWorld world;
    world.mEngine = EngineLimits{ 8, 100000, 1, 1000, 1, true };
    auto& leaving = world.AddTarget("t1");
    auto& destination = world.AddTarget("t2");
    auto& third = world.AddTarget("t3");
    third.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket,
               RelayWorld::StreamHead("id1") + RelayWorld::Event(2) +
                 "0\r\n\r\n");
      return false;
    });
    tcp::socket* stream = nullptr;
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      stream = &aSocket;
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      return true;
    });
    const std::string copied = "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n"
                               R"({"handle":"h1","created_at": 1})";
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, copied);
      return true;
    });
    leaving.AddScript([&](tcp::socket& aSocket, const std::string&) {
      auto last = copied;
      WriteAll(aSocket,
               last.insert(last.find("Content"), "Connection: close\r\n"));
      leaving.StopListening();
      destination.StopListening();
      stream->close();
      return false;
    });
    world.Start();
    world.Context().mLoad.SetPeer(
      "other host",
      { { "t2", 1, 100, 50000 }, { "t3", 1, 100, 60000 } },
      world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("long", "id1"));
    CPPUNIT_ASSERT(Contains(world.Reply(*caller, "id: 1\n"), "id: 1\n"));
    world.StartMove("t2");
    const auto end = world.Reply(*caller, kEndOfStream);
    CPPUNIT_ASSERT(!Contains(end, kEndOfStream));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2 + 1), leaving.Requests().size());
    Section("it is not sent to another engine",
            [&] { CPPUNIT_ASSERT(third.Requests().empty()); });
  }

  void TestErrorAfterAStreamHasBegun()
  {
    const auto streamAfter = [](const std::string& aSecond) {
      RelayWorld world;
      auto& first = world.AddTarget("t1");
      auto& second = world.AddTarget("t2");
      first.AddScript([](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
        return false;
      });
      second.AddScript([&](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket, aSecond);
        return false;
      });
      world.Start();
      world.Context().mHealth.Unreachable("t2", world.Context().Now());
      const auto caller = world.Call(RelayWorld::Request("short", "id1"));
      auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.Requests().size());
      CPPUNIT_ASSERT(Contains(reply, "id: 1\n"));
      CPPUNIT_ASSERT_EQUAL(reply.find("HTTP/1.1"), reply.rfind("HTTP/1.1"));
      return reply;
    };
    const auto isCut = [&](const std::string& aSecond) {
      const auto reply = streamAfter(aSecond);
      return !Contains(reply, "oops") && !Contains(reply, "0\r\n\r\n");
    };
    const std::string common = " X\r\nAttempt-Id: id1\r\nResponse-Seal: s\r\n";
    const std::string plain =
      "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\noops";
    const std::string chunked =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string end = "0\r\n\r\n";
    const auto answer = [&](const std::string& aStatus,
                            const std::string& aRest) {
      return "HTTP/1.1 " + aStatus + common + aRest;
    };
    const auto refusal = "Not-Executed: 1\r\n" + plain;
    const auto stream = [&](const std::string& aEvent) {
      return answer("200", chunked + Chunk(aEvent) + end);
    };
    const auto lateInStream = [&](const std::string& aEvent) {
      return answer("200",
                    chunked + Chunk(": wait\n\n") + RelayWorld::Event(1) +
                      Chunk(aEvent) + end);
    };
    Section("an error with a body", [&] {
      for (const auto* status :
           { "200", "201", "302", "400", "404", "429", "500", "503" }) {
        CPPUNIT_ASSERT_MESSAGE(status, isCut(answer(status, plain)));
        CPPUNIT_ASSERT_MESSAGE(status, isCut(answer(status, refusal)));
      }
    });
    Section("an error in chunks, that claims to be a stream", [&] {
      CPPUNIT_ASSERT(isCut("HTTP/1.1 500" + common + chunked +
                           Chunk("id: 2\ndata: oops\n\n") + end));
    });
    Section("no content",
            [&] { CPPUNIT_ASSERT(isCut("HTTP/1.1 204" + common + "\r\n")); });
    Section("a stream without a signature", [&] {
      CPPUNIT_ASSERT(isCut("HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n" + chunked +
                           Chunk("id: 2\ndata: oops\n\n") + end));
    });
    Section("an error as the event of a stream", [&] {
      for (const auto* event : { "event: error\ndata: oops\n\n",
                                 "data: {\"error\":\"oops\"}\n\n",
                                 "event: oops\n\n",
                                 "oops\n\n",
                                 "oops" }) {
        CPPUNIT_ASSERT_MESSAGE(event, isCut(stream(event)));
        CPPUNIT_ASSERT_MESSAGE(event, isCut(lateInStream(event)));
      }
    });
    Section("an error after a partial event", [&] {
      CPPUNIT_ASSERT(isCut("HTTP/1.1 200" + common + chunked +
                           Chunk("id: 2\nda") + "HTTP/1.1 500" + common +
                           plain));
    });
    Section("a stream that goes on is complete, comments included", [&] {
      const auto reply = streamAfter(
        "HTTP/1.1 200" + common + chunked + Chunk(": wait\n\n") +
        Chunk("retry: 10\n\n") + RelayWorld::Event(1) + RelayWorld::Event(2) +
        Chunk("data: without an id\n\n") + end);
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
      CPPUNIT_ASSERT(Contains(reply, "id: 2\n"));
      CPPUNIT_ASSERT(Contains(reply, "without an id"));
    });
  }

  void TestStalledStreams()
  {
    const auto movesOn = [&](const std::string& aFirst,
                             const std::string& aPiece) {
      RelayWorld world;
      world.mLatencyGoal = Milliseconds(400);
      world.mEventGapGoal = Milliseconds(50);
      auto& stalled = world.AddTarget("t1");
      auto& second = world.AddTarget("t2");
      DrippingTarget drip(stalled, aFirst, aPiece);
      second.AddScript([](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 RelayWorld::StreamHead("id1") + RelayWorld::Event(1) +
                   RelayWorld::Event(2) + "0\r\n\r\n");
        return false;
      });
      world.Start();
      world.Context().mHealth.Unreachable("t2", world.Context().Now());
      const auto caller = world.Call(RelayWorld::Request("short", "id1"));
      world.RunUntil(
        [&] { return !drip.Drip() && !second.Requests().empty(); });
      const auto reply = world.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
      CPPUNIT_ASSERT(Contains(reply, "id: 2\n"));
    };
    Section("bytes of an event that never ends are no progress", [&] {
      movesOn(RelayWorld::StreamHead("id1") + RelayWorld::Event(1), Chunk("d"));
    });
    Section("comments are no progress", [&] {
      movesOn(RelayWorld::StreamHead("id1") + RelayWorld::Event(1),
              Chunk(":\n\n"));
    });
    Section("a stream that begins with comments only", [&] {
      movesOn(RelayWorld::StreamHead("id1"), Chunk(": wait\n\n"));
    });
    Section("a header that arrives byte by byte",
            [&] { movesOn("HTTP/1.1 200 OK\r\nX-Slow: ", "a"); });
    Section("a stream that may not go on elsewhere ends with its time", [&] {
      RelayWorld world;
      world.mRouteTimeout = Milliseconds(1500);
      world.mEventGapGoal = Milliseconds(50);
      DrippingTarget drip(world.AddTarget("t1"),
                          RelayWorld::StreamHead("id1") + RelayWorld::Event(1),
                          Chunk("d"));
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("long", "id1"));
      world.RunUntil([&] { return !drip.Drip(); });
      CPPUNIT_ASSERT(
        !Contains(world.Reply(*caller, kEndOfStream), kEndOfStream));
    });
  }

  void TestSlowSoundStreams()
  {
    // Each pause is longer than the silence after which a stream goes on
    // elsewhere, but this is the last engine that the request may be sent to.
    RelayWorld world;
    world.mLatencyGoal = Milliseconds(400);
    world.mEventGapGoal = Milliseconds(50);
    auto& first = world.AddTarget("t1");
    auto& second = world.AddTarget("t2");
    first.AddScript([](tcp::socket&, const std::string&) { return false; });
    asio::steady_timer timer(world.Context().mIo);
    std::function<void(tcp::socket&, int)> sendSlowly =
      [&](tcp::socket& aSocket, int aEvent) {
        WriteAll(aSocket,
                 aEvent <= 3 ? RelayWorld::Event(aEvent) : "0\r\n\r\n");
        if (aEvent <= 3) {
          timer.expires_after(std::chrono::milliseconds(1500));
          timer.async_wait([&, aEvent](const error_code& aError) {
            if (!aError) {
              sendSlowly(aSocket, aEvent + 1);
            }
          });
        }
      };
    second.AddScript([&](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::StreamHead("id1"));
      sendSlowly(aSocket, 1);
      return true;
    });
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto caller = world.Call(RelayWorld::Request("short", "id1"));
    const auto reply = world.Reply(*caller, kEndOfStream);
    Section("the stream is not cut", [&] {
      CPPUNIT_ASSERT(reply.ends_with(kEndOfStream));
      CPPUNIT_ASSERT(Contains(reply, "id: 3\n"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.Requests().size());
    });
  }

  void TestEndlessHeads()
  {
    const auto answerTo = [&](const std::string& aFirst,
                              const std::string& aPiece) {
      RelayWorld world;
      DrippingTarget endless(world.AddTarget("t1"), aFirst, aPiece);
      world.Start();
      const auto caller = world.Call(RelayWorld::Request("unsafe", "id1"));
      world.RunUntil([&] { return !endless.Drip(); });
      return world.Reply(*caller, "\r\n\r\n");
    };
    const std::string kilobyte(1024, 'x');
    Section("header lines without end", [&] {
      CPPUNIT_ASSERT(answerTo("HTTP/1.1 200 OK\r\n", "X: " + kilobyte + "\r\n")
                       .starts_with("HTTP/1.1 502"));
    });
    Section("one line without end", [&] {
      CPPUNIT_ASSERT(
        answerTo("HTTP/1.1 200 ", kilobyte).starts_with("HTTP/1.1 502"));
    });
    Section("interim answers without end", [&] {
      CPPUNIT_ASSERT(answerTo("", "HTTP/1.1 102 Processing\r\n\r\n")
                       .starts_with("HTTP/1.1 502"));
    });
    Section("late answers without end", [&] {
      CPPUNIT_ASSERT(answerTo("", RelayWorld::Answer("other", kilobyte))
                       .starts_with("HTTP/1.1 502"));
    });
  }

  void TestEndlessBodies()
  {
    const std::string kilobyte(1024, 'x');
    const std::string chunkedHead =
      "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
    const auto writtenBeforeClose = [&](const std::string& aKind,
                                        const std::string& aFirst,
                                        const std::string& aPiece) {
      RelayWorld world;
      DrippingTarget endless(world.AddTarget("t1"), aFirst, aPiece);
      world.Start();
      const auto caller = world.Call(RelayWorld::Request(aKind, "id1"));
      world.RunUntil([&] { return !endless.Drip(); });
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
      return endless.Written();
    };
    // Counted is what the target could send, which includes what the kernel
    // buffers on both sides: up to 10 MB.
    constexpr std::size_t kMegabyte = std::size_t(1) << 20U;
    constexpr std::size_t kSocketBuffers = 10 * kMegabyte;
    Section("a chunk extension", [&] {
      CPPUNIT_ASSERT(writtenBeforeClose(
                       "unsafe", chunkedHead + "5;a=", kilobyte) < kMegabyte);
    });
    Section("a trailer", [&] {
      CPPUNIT_ASSERT(writtenBeforeClose("unsafe",
                                        chunkedHead + "0\r\n",
                                        "X: " + kilobyte + "\r\n") <
                     kMegabyte + kSocketBuffers);
    });
    Section("the body of a late answer to another request", [&] {
      CPPUNIT_ASSERT(
        writtenBeforeClose("unsafe",
                           "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n",
                           Chunk(kilobyte)) < kMegabyte + kSocketBuffers);
    });
    Section("an answer", [&] {
      CPPUNIT_ASSERT(writtenBeforeClose(
                       "unsafe", chunkedHead, Chunk(std::string(65536, 'x'))) <
                     TargetExchange::kMaxAnswerBytes + kMegabyte +
                       kSocketBuffers);
    });
    Section("one event of a stream", [&] {
      CPPUNIT_ASSERT(writtenBeforeClose("long",
                                        RelayWorld::StreamHead("id1"),
                                        Chunk(std::string(16384, 'x'))) <
                     2 * kMegabyte + kSocketBuffers);
    });
    Section(
      "answers of many targets at once stay within the host's memory", [&] {
        EndlessTargets targets(12,
                               "unsafe",
                               "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\n"
                               "Response-Seal: s\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n",
                               Chunk(std::string(65536, 'x')));
        auto& world = targets.World();
        const auto& memory = world.Context().mMemory;
        const auto most = targets.LargestUntilClosed(MemoryUse::kAnswer);
        CPPUNIT_ASSERT(most > 0);
        CPPUNIT_ASSERT(most <= 24 * kMegabyte);
        CPPUNIT_ASSERT(most <= memory.Limit(MemoryUse::kAnswer));
        for (const auto& it : targets.Callers()) {
          CPPUNIT_ASSERT(
            world.Reply(*it, "\r\n\r\n").starts_with("HTTP/1.1 502"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.Used(MemoryUse::kAnswer));
      });
  }

  /// Guards against streams whose events do not end, which together take more
  /// memory than the host has, though each is within its own limit.
  void TestEndlessEventsOfManyStreams()
  {
    EndlessTargets targets(24,
                           "long",
                           RelayWorld::StreamHead("id1") + RelayWorld::Event(1),
                           Chunk(std::string(1024, 'x')));
    auto& world = targets.World();
    const auto& memory = world.Context().mMemory;
    constexpr std::size_t kMaxBytes = std::size_t(8) << 20U;
    const auto most = targets.LargestUntilClosed(MemoryUse::kEvent);
    CPPUNIT_ASSERT(most > kMaxBytes / 2);
    CPPUNIT_ASSERT(most <= kMaxBytes);
    CPPUNIT_ASSERT(most <= memory.Limit(MemoryUse::kEvent));
    Section("none of them looks complete", [&] {
      for (const auto& it : targets.Callers()) {
        const auto reply = world.Reply(*it, kEndOfStream);
        CPPUNIT_ASSERT(Contains(reply, "id: 1\n"));
        CPPUNIT_ASSERT(!Contains(reply, kEndOfStream));
      }
    });
    Section("the log tells the engine and the reason", [&] {
      CPPUNIT_ASSERT(
        Contains(world.Log(), "incomplete events fill the memory"));
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), memory.Used(MemoryUse::kEvent));
  }

  /// Guards against requests that are taken late in a planned stop and cut at
  /// its end without an answer.
  void TestRequestsLateInTheGrace()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket&, const std::string&) { return true; });
    world.Start();
    auto& context = world.Context();
    const auto callAfter = [&](Duration aSinceStop, const std::string& aKind) {
      context.mStopping = true;
      context.mStoppedAt = context.Now() - aSinceStop;
      return world.Call(RelayWorld::Request(aKind, "id1"));
    };
    const auto grace = context.mSettings.mShutdownGrace;
    Section("one that could not end before the grace does is not passed on, "
            "and told so",
            [&] {
              for (const auto* kind : { "safe", "unsafe", "long", "short" }) {
                const auto caller =
                  callAfter(grace - std::chrono::milliseconds(1900), kind);
                const auto reply = world.Reply(*caller, "never sent");
                CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 503"));
                CPPUNIT_ASSERT(Contains(reply, "Connection: close"));
                CPPUNIT_ASSERT(target.Requests().empty());
              }
            });
    Section("one that was taken in time is answered at the end, though its "
            "target is still silent",
            [&] {
              const auto caller =
                callAfter(grace - std::chrono::milliseconds(2500), "unsafe");
              world.RunUntil([&] { return target.Requests().size() == 1; });
              context.FinishAll();
              CPPUNIT_ASSERT(
                world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 504"));
            });
  }

  void TestRequestsAtTheEndOfTheGrace()
  {
    // A host that stops answers what it still serves before it exits: the
    // request may have run, so the answer is not "has not run".
    RelayWorld world;
    world.mRouteTimeout = std::chrono::hours(1);
    const auto withoutDeadline = [](std::string aRequest) {
      return aRequest.replace(aRequest.find("30000"), 5, "3600000");
    };
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket&, const std::string&) { return true; });
    auto& engine = world.AddTarget("t2");
    engine.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::StreamHead("id2") + RelayWorld::Event(1));
      return true;
    });
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    const auto plain =
      world.Call(withoutDeadline(RelayWorld::Request("unsafe", "id1")));
    world.RunUntil([&] { return !target.Requests().empty(); });
    world.Context().mHealth.Succeeded("t2", Milliseconds(1));
    world.Context().mHealth.Unreachable("t1", world.Context().Now());
    const auto stream =
      world.Call(withoutDeadline(RelayWorld::Request("long", "id2")));
    CPPUNIT_ASSERT(Contains(world.Reply(*stream, "id: 1\n"), "id: 1\n"));
    world.Context().FinishAll();
    Section("a request without an answer so far", [&] {
      CPPUNIT_ASSERT(
        world.Reply(*plain, "\r\n\r\n").starts_with("HTTP/1.1 504"));
    });
    Section("a stream that has begun does not look complete", [&] {
      CPPUNIT_ASSERT(
        !Contains(world.Reply(*stream, kEndOfStream), kEndOfStream));
    });
  }

  void TestEndTogetherWithTheDelayOfASecondSend()
  {
    // Guards against a request that waits for its target until the timeout of
    // its route, although a stop has ended it: the process exits before.
    RelayWorld world;
    world.mRouteTimeout = std::chrono::hours(1);
    world.mLatencyGoal = Milliseconds(400);
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket&, const std::string&) { return true; });
    world.Start();
    auto& context = world.Context();
    const auto caller = world.Call(RelayWorld::Request("safe", "id1"));
    world.RunUntil([&] { return !target.Requests().empty(); });
    while (context.TryRetry("s")) {
    }
    // The event loop is late, so that the stop and the delay are due together.
    asio::steady_timer stop(context.mIo, Milliseconds(50));
    stop.async_wait([&](const error_code&) { context.FinishAll(); });
    asio::post(context.mIo,
               [] { std::this_thread::sleep_for(Milliseconds(500)); });
    CPPUNIT_ASSERT(
      world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 504"));
  }

  void TestRequestsReadDuringAStop()
  {
    RelayWorld world;
    auto& target = world.AddTarget("t1");
    target.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::Answer("id1", "done"));
      return false;
    });
    world.Start();
    const auto idle = world.Call("");
    Section("a connection without a request does not hold up the stop",
            [&] { CPPUNIT_ASSERT(!world.Context().HasWork()); });
    auto request =
      RelayWorld::Request("unsafe", "id1", "Content-Length: 9\r\n");
    const auto caller = world.Call(request + "body");
    Section("a request whose body is not complete does",
            [&] { world.RunUntil([&] { return world.Context().HasWork(); }); });
    world.Context().mStopping = true;
    world.Context().mStoppedAt = world.Context().Now();
    Section("and gets its answer", [&] {
      WriteAll(*caller, "<end>");
      CPPUNIT_ASSERT(Contains(world.Reply(*caller, "done"), "200 OK"));
      world.RunUntil([&] { return !world.Context().HasWork(); });
    });
    Section("a connection that the kernel accepted shortly before is seen",
            [&] {
              tcp::acceptor acceptor(
                world.Context().mIo,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
              CPPUNIT_ASSERT(!HasPendingConnection(acceptor));
              tcp::socket late(world.Context().mIo);
              late.connect(acceptor.local_endpoint());
              CPPUNIT_ASSERT(HasPendingConnection(acceptor));
            });
  }

  void TestRejectedWhileSending()
  {
    RelayWorld world;
    world.Start();
    const auto request = [](std::size_t aBytes) {
      return RelayWorld::Request("unsafe",
                                 "id1",
                                 "Content-Length: " + std::to_string(aBytes) +
                                   "\r\n") +
             std::string(aBytes, 'x');
    };
    constexpr std::size_t kMegabyte = std::size_t(1) << 20U;
    const auto expect = [&](const std::string& aBytes,
                            const std::string& aStatus,
                            const std::string& aText) {
      SendingCaller caller(world, aBytes);
      caller.Finish();
      CPPUNIT_ASSERT(caller.Answer().starts_with("HTTP/1.1 " + aStatus));
      CPPUNIT_ASSERT(Contains(caller.Answer(), aText));
      CPPUNIT_ASSERT(caller.IsClean());
    };
    Section("a body that is too large",
            [&] { expect(request(8 * kMegabyte), "413", "body"); });
    Section("a header that is too large", [&] {
      expect(RelayWorld::Request(
               "safe", "id1", "X: " + std::string(kMegabyte, 'x') + "\r\n"),
             "431",
             "header");
    });
    Section("bytes that are no request", [&] {
      expect("no request\r\n\r\n" + std::string(kMegabyte, 'x'), "400", "bad");
    });
    Section("too many bodies in memory", [&] {
      MemoryCharge served(world.Context().mMemory, MemoryUse::kRequest);
      CPPUNIT_ASSERT(served.Resize(15 * kMegabyte));
      expect(request(4 * kMegabyte), "503", "too many bodies in memory");
    });
    Section("a caller that goes on sending does not hold up a stop", [&] {
      const auto caller = world.Call(request(8 * kMegabyte).substr(0, 4096));
      CPPUNIT_ASSERT(
        world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 413"));
      world.RunUntil([&] { return !world.Context().HasWork(); });
      WriteAll(*caller, "more");
      Section("and is cut off after a while", [&] {
        error_code ec;
        world.RunUntil([&] {
          caller->write_some(asio::buffer("x", 1), ec);
          return ec.failed();
        });
      });
    });
    Section("or after a number of bytes", [&] {
      SendingCaller caller(world, request(64 * kMegabyte));
      caller.Finish();
      CPPUNIT_ASSERT(!caller.IsClean());
    });
  }

  void TestUnexpectedErrors()
  {
    RelayWorld world(std::make_unique<ThrowingCodec>());
    auto& target = world.AddTarget("t1");
    for (const auto* id : { "bad", "bad", "good" }) {
      target.AddScript([id](tcp::socket& aSocket, const std::string&) {
        WriteAll(aSocket,
                 RelayWorld::Answer(id, "answer of " + std::string(id)));
        return false;
      });
    }
    world.Start();
    Section(
      "an exception while a plain request is served: it may have run", [&] {
        const auto caller = world.Call(RelayWorld::Request("unsafe", "bad"));
        CPPUNIT_ASSERT(
          world.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
      });
    Section("an exception while a stream is served: it may have run", [&] {
      const auto caller = world.Call(RelayWorld::Request("long", "bad"));
      const auto reply = world.Reply(*caller, "never sent");
      CPPUNIT_ASSERT(reply.starts_with("HTTP/1.1 502"));
      CPPUNIT_ASSERT(Contains(reply, "Connection: close\r\n"));
      CPPUNIT_ASSERT(world.Context().mActive.empty());
      CPPUNIT_ASSERT(
        Contains(world.Log(), R"("reason":"unexpected error: unforeseen")"));
    });
    Section("an exception before the request is admitted", [&] {
      RelayWorld unadmitted(std::make_unique<ThrowingCodec>());
      unadmitted.Start();
      const auto caller =
        unadmitted.Call(RelayWorld::Request("long", "unreadable"));
      CPPUNIT_ASSERT(
        unadmitted.Reply(*caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
    });
    Section("an exception in a stream that has begun adds nothing to it", [&] {
      RelayWorld begun(std::make_unique<ThrowingCodec>());
      bool isFirst = true;
      for (const auto* id : { "t1", "t2" }) {
        begun.AddTarget(id).AddScript(
          [&](tcp::socket& aSocket, const std::string&) {
            auto head = RelayWorld::StreamHead("bad");
            if (std::exchange(isFirst, false)) {
              head.insert(head.size() - 2, "X-Sound: yes\r\n");
            }
            WriteAll(aSocket, head + RelayWorld::Event(1));
            return false;
          });
      }
      begun.Start();
      const auto caller = begun.Call(RelayWorld::Request("short", "bad"));
      const auto reply = begun.Reply(*caller, kEndOfStream);
      CPPUNIT_ASSERT(Contains(reply, "id: 1\n"));
      CPPUNIT_ASSERT(!Contains(reply, kEndOfStream));
      CPPUNIT_ASSERT(reply.find("HTTP/1.1", 1) == std::string::npos);
      CPPUNIT_ASSERT(Contains(begun.Log(), R"("outcome":"stream_broken")"));
    });
    Section("the next request is served", [&] {
      const auto caller = world.Call(RelayWorld::Request("unsafe", "good"));
      CPPUNIT_ASSERT(
        Contains(world.Reply(*caller, "answer of good"), "200 OK"));
    });
    Section("a loop that fails runs again", [&] {
      int runs = 0;
      world.Context().SpawnLoop("test", [&]() -> Task<void> {
        ++runs;
        if (runs < 3) {
          throw std::runtime_error("unforeseen");
        }
        co_return;
      });
      world.RunUntil([&] { return runs == 3; });
    });
    Section("a task that fails ends alone", [&] {
      bool ended = false;
      world.Context().Spawn("test", []() -> Task<void> {
        throw std::runtime_error("unforeseen");
        co_return;
      }());
      world.Context().Spawn("test", [](bool& aEnded) -> Task<void> {
        aEnded = true;
        co_return;
      }(ended));
      world.RunUntil([&] { return ended; });
      const auto text = world.Context().mMetrics.ToText();
      CPPUNIT_ASSERT(Contains(text, "entry_unexpected_errors_total 4"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FieldFailuresTest);

} // namespace ragwortdeck
