#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <thread>

namespace ragwortdeck {

namespace {

/// More than the kernel buffers between the host and a target that reads
/// little.
constexpr std::size_t kLongUpload = 4'000'000;
/// Fits into the buffers of the kernel, so that the host has written all of it
/// before the target reads it.
constexpr std::size_t kShortUpload = 2'000;

/// Bytes of it, but a few, that a target reads after it has begun to answer.
constexpr std::size_t kRestOfUpload = kLongUpload - 4096;
/// Difference of the moments at which two connections are reset.
constexpr std::chrono::microseconds kStep{ 25 };

const std::string kPart = "part of the body";

std::string
UnmarkedHead(const std::string& aExtra = "")
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: id1\r\nResponse-Seal: seal\r\n" +
         aExtra + "\r\n";
}

std::string
UnmarkedStream(int aEvents)
{
  auto text = UnmarkedHead("Content-Type: text/event-stream\r\n");
  for (int n = 1; n <= aEvents; ++n) {
    text += "id: " + std::to_string(n) + "\ndata: piece\n\n";
  }
  return text;
}

using SocketPtr = std::shared_ptr<tcp::socket>;

void
Reset(const SocketPtr& aSocket)
{
  aSocket->set_option(tcp::socket::linger(true, 0));
  aSocket->close();
}

/// Runs aThen later on the event loop, so that the host has acted on what it
/// got before.
void
Later(RelayWorld& aWorld, std::function<void()> aThen)
{
  constexpr std::chrono::milliseconds kPause{ 50 };
  auto timer = std::make_shared<asio::steady_timer>(aWorld.Context().mIo);
  timer->expires_after(kPause);
  timer->async_wait(
    [timer, then = std::move(aThen)](const error_code&) { then(); });
}

/// Reads what the host goes on sending, up to aBytes or the end.
Task<void>
ReadOn(SocketPtr aSocket, std::size_t aBytes, std::function<void()> aThen)
{
  std::array<char, 65536> buf{};
  error_code ec;
  for (std::size_t n = 0; !ec && n < aBytes;) {
    n += co_await aSocket->async_read_some(
      asio::buffer(buf, std::min(buf.size(), aBytes - n)), RedirectError(ec));
  }
  aThen();
}

/// What a target does after it has sent the beginning of an answer.
using Ending = std::function<void(RelayWorld&, SocketPtr)>;

void
ResetAtOnce(RelayWorld&, const SocketPtr& aSocket)
{
  Reset(aSocket);
}

void
ResetLater(RelayWorld& aWorld, const SocketPtr& aSocket)
{
  Later(aWorld, [aSocket] { Reset(aSocket); });
}

Ending
ResetAfter(std::size_t aBytes)
{
  return [aBytes](RelayWorld& aWorld, const SocketPtr& aSocket) {
    asio::co_spawn(aWorld.Context().mIo,
                   ReadOn(aSocket, aBytes, [aSocket] { Reset(aSocket); }),
                   asio::detached);
  };
}

/// Answers with aBytes before the upload has been read, and goes on as aEnding.
ScriptedTarget::Script
AnswerEarly(RelayWorld& aWorld, const std::string& aBytes, Ending aEnding)
{
  return [&aWorld, aBytes, ending = std::move(aEnding)](tcp::socket& aSocket,
                                                        const std::string&) {
    WriteAll(aSocket, aBytes);
    ending(aWorld, std::make_shared<tcp::socket>(std::move(aSocket)));
    return false;
  };
}

} // namespace

/// \brief Tests answers without a length, of targets that reset the connection
/// while the request's body is still being sent. The kernel reports a reset
/// once, to a write or to a read; the other one sees the end of the connection.
class BrokenUploadsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BrokenUploadsTest);
  CPPUNIT_TEST(TestPlainAnswer);
  CPPUNIT_TEST(TestStream);
  CPPUNIT_TEST(TestSecondSend);
  CPPUNIT_TEST(TestResetAtAnyMoment);
  CPPUNIT_TEST(TestWholeAnswers);
  CPPUNIT_TEST_SUITE_END();

  /// What the caller got, and how often each target got the request.
  struct Seen
  {
    std::string mReply;
    std::string mLog;
    std::vector<std::size_t> mRequests;
  };

  static Seen Relay(const std::string& aKind,
                    std::size_t aUpload,
                    const std::string& aAnswer,
                    const Ending& aEnding,
                    const std::string& aUntil = "never sent")
  {
    RelayWorld world;
    auto& first = world.AddTarget("t1");
    auto& second = world.AddTarget("t2");
    first.ReadLittle();
    first.AddScript(AnswerEarly(world, aAnswer, aEnding));
    second.AddScript([](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::Answer("id1", "of the second target"));
      return false;
    });
    world.Start();
    world.Context().mHealth.Unreachable("t2", world.Context().Now());
    auto request = RelayWorld::Upload(aKind, "id1", aUpload);
    request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
    const auto caller = world.Call("");
    world.Send(*caller, request);
    Seen seen;
    seen.mReply = world.Reply(*caller, aUntil);
    world.RunUntil([&] { return world.Context().mActive.empty(); });
    seen.mLog = world.Log();
    seen.mRequests = { first.Requests().size(), second.Requests().size() };
    return seen;
  }

  static void AssertNotSentAgain(const Seen& aSeen)
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), aSeen.mRequests[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), aSeen.mRequests[1]);
  }

  static void AssertBroken(const Seen& aSeen)
  {
    CPPUNIT_ASSERT_MESSAGE(aSeen.mReply,
                           aSeen.mReply.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT(!Contains(aSeen.mReply, kPart));
    AssertNotSentAgain(aSeen);
  }

  static void AssertEndsAs(const Seen& aSeen, const std::string& aEnd)
  {
    CPPUNIT_ASSERT_MESSAGE(
      aSeen.mLog, Contains(aSeen.mLog, R"("answer_end":")" + aEnd + '"'));
  }

public:
  void TestPlainAnswer()
  {
    const auto answer = UnmarkedHead() + kPart;
    Section("a reset at once", [&] {
      AssertBroken(Relay("unsafe", kLongUpload, answer, ResetAtOnce));
    });
    Section("a reset within the upload, which the write sees", [&] {
      const auto seen = Relay("unsafe", kLongUpload, answer, ResetLater);
      AssertBroken(seen);
      AssertEndsAs(seen, "upload_failed");
      AssertBroken(Relay("unsafe", kLongUpload, answer, ResetAfter(1'000'000)));
    });
    Section("a reset after the upload, which the read sees", [&] {
      AssertBroken(
        Relay("unsafe", kLongUpload, answer, ResetAfter(kRestOfUpload)));
      for (const auto& ending : { Ending(ResetAtOnce), Ending(ResetLater) }) {
        const auto seen = Relay("unsafe", kShortUpload, answer, ending);
        AssertBroken(seen);
        AssertEndsAs(seen, "reset");
      }
    });
    Section("a body of which nothing has arrived", [&] {
      AssertBroken(Relay("unsafe", kLongUpload, UnmarkedHead(), ResetAtOnce));
    });
    Section("a failure", [&] {
      auto failure = answer;
      failure.replace(failure.find("200 OK"), 6, "500 No");
      AssertBroken(Relay("unsafe", kLongUpload, failure, ResetAtOnce));
    });
  }

  void TestStream()
  {
    const auto isBroken = [](const std::string& aKind,
                             std::size_t aUpload,
                             const Ending& aEnding) {
      const auto seen = Relay(aKind, aUpload, UnmarkedStream(2), aEnding);
      CPPUNIT_ASSERT_MESSAGE(seen.mReply, !Contains(seen.mReply, kEndOfStream));
      return seen;
    };
    Section("a reset at once", [&] {
      AssertNotSentAgain(isBroken("long", kLongUpload, ResetAtOnce));
    });
    Section("a reset within the upload, which the write sees", [&] {
      const auto seen = isBroken("long", kLongUpload, ResetLater);
      AssertEndsAs(seen, "upload_failed");
      CPPUNIT_ASSERT(Contains(seen.mReply, "id: 2\n"));
      AssertNotSentAgain(seen);
      AssertNotSentAgain(isBroken("long", kLongUpload, ResetAfter(1'000'000)));
    });
    Section("a reset after the upload, which the read sees", [&] {
      const auto seen = isBroken("long", kShortUpload, ResetLater);
      AssertEndsAs(seen, "reset");
      AssertNotSentAgain(seen);
    });
  }

  void TestSecondSend()
  {
    const auto answer = UnmarkedHead() + kPart;
    Section("the answer of the second target is the caller's", [&] {
      const auto seen = Relay("safe", kLongUpload, answer, ResetAtOnce);
      CPPUNIT_ASSERT_MESSAGE(seen.mReply,
                             seen.mReply.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(seen.mReply.ends_with("\r\n\r\nof the second target"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), seen.mRequests[1]);
    });
    Section("it finds another broken answer", [&] {
      RelayWorld world;
      for (const auto* id : { "t1", "t2" }) {
        auto& target = world.AddTarget(id);
        target.ReadLittle();
        target.AddScript(AnswerEarly(world, answer, ResetLater));
      }
      world.Start();
      const auto caller = world.Call("");
      world.Send(*caller, RelayWorld::Upload("safe", "id1", kLongUpload));
      const auto reply = world.Reply(*caller, "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 502"));
      CPPUNIT_ASSERT(!Contains(reply, kPart));
    });
  }

  /// The target runs on a thread of its own, so that its reset falls before or
  /// after each operation of the host.
  void TestResetAtAnyMoment()
  {
    constexpr int kRounds = 60;
    for (int n = 0; n < kRounds; ++n) {
      for (const auto& [kind, answer] :
           { std::pair{ "unsafe", UnmarkedHead() + kPart },
             std::pair{ "long", UnmarkedStream(2) } }) {
        std::jthread thread;
        const auto seen =
          Relay(kind,
                kLongUpload,
                answer,
                [n, &thread](RelayWorld&, const SocketPtr& aSocket) {
                  thread = std::jthread([own = aSocket->release(), n] {
                    std::this_thread::sleep_for(kStep * n);
                    const linger none{ 1, 0 };
                    setsockopt(own, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
                    close(own);
                  });
                });
        CPPUNIT_ASSERT_MESSAGE(seen.mReply,
                               !Contains(seen.mReply, kEndOfStream) &&
                                 !Contains(seen.mReply, kPart));
        AssertNotSentAgain(seen);
      }
    }
  }

  void TestWholeAnswers()
  {
    const auto whole = [](const std::string& aKind,
                          const std::string& aAnswer,
                          const Ending& aEnding,
                          const std::string& aEnd) {
      const auto seen = Relay(aKind, kLongUpload, aAnswer, aEnding);
      CPPUNIT_ASSERT_MESSAGE(seen.mReply + seen.mLog,
                             seen.mReply.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT_MESSAGE(seen.mReply, seen.mReply.ends_with(aEnd));
      AssertNotSentAgain(seen);
    };
    Section("a length shows that an early answer is whole", [&] {
      const auto answer =
        UnmarkedHead("Content-Length: " + std::to_string(kPart.size()) +
                     "\r\n") +
        kPart;
      whole("unsafe", answer, ResetAtOnce, kPart);
      whole("unsafe", answer, ResetLater, kPart);
    });
    Section("so do chunks", [&] {
      const auto chunked = "Transfer-Encoding: chunked\r\n";
      whole("unsafe",
            UnmarkedHead(chunked) + "4\r\npart\r\n0\r\n\r\n",
            ResetAtOnce,
            "part");
      whole("long",
            RelayWorld::StreamHead("id1") + RelayWorld::Event(1) + "0\r\n\r\n",
            ResetLater,
            kEndOfStream);
    });
    Section("a target that ends its side and reads the upload on", [&] {
      const Ending endsItsSide = [](RelayWorld& aWorld,
                                    const SocketPtr& aSocket) {
        aSocket->shutdown(tcp::socket::shutdown_send);
        Later(aWorld, [&aWorld, aSocket] {
          asio::co_spawn(aWorld.Context().mIo,
                         ReadOn(aSocket, kLongUpload, [] {}),
                         asio::detached);
        });
      };
      whole("unsafe", UnmarkedHead() + kPart, endsItsSide, kPart);
      whole("long", UnmarkedStream(2), endsItsSide, kEndOfStream);
    });
    Section("one that ends its side and resets the upload", [&] {
      const Ending endsThenResets = [](RelayWorld& aWorld,
                                       const SocketPtr& aSocket) {
        aSocket->shutdown(tcp::socket::shutdown_send);
        ResetLater(aWorld, aSocket);
      };
      AssertBroken(
        Relay("unsafe", kLongUpload, UnmarkedHead() + kPart, endsThenResets));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenUploadsTest);

} // namespace ragwortdeck
