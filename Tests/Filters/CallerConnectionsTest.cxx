#include "Filters/RouterSite.h"
#include "Support/Section.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

/// \brief A caller with a blocking socket, which sees the connection as the
/// kernel does: what is refused, reset, or at its end.
class BlockingCaller
{
public:
  explicit BlockingCaller(const Router& aRouter)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aRouter.Port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0,
                         connect(mSocket,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof(address)));
  }
  ~BlockingCaller() { close(mSocket); }
  BlockingCaller(const BlockingCaller&) = delete;
  BlockingCaller& operator=(const BlockingCaller&) = delete;

  /// Whether the kernel took aBytes.
  bool Send(const std::string& aBytes) const
  {
    return send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           ssize_t(aBytes.size());
  }

  /// Waits until something has arrived, without reading it.
  void WaitForBytes() const
  {
    char c = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t(1), recv(mSocket, &c, 1, MSG_PEEK));
  }

  /// Whether something has arrived.
  bool HasBytes() const
  {
    char c = 0;
    return recv(mSocket, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
  }

  /// What arrives until the router closes; nothing after a reset.
  std::optional<std::string> ReadAll() const
  {
    std::string text;
    std::array<char, 4096> buf{};
    while (true) {
      const auto n = recv(mSocket, buf.data(), buf.size(), 0);
      if (n <= 0) {
        return n == 0 ? std::optional(text) : std::nullopt;
      }
      text.append(buf.data(), std::size_t(n));
    }
  }

private:
  int mSocket;
};

} // namespace

/// \brief Tests the limit of callers' connections.
class CallerConnectionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerConnectionsTest);
  CPPUNIT_TEST(TestRefusedWhileSending);
  CPPUNIT_TEST(TestIdleGivesWay);
  CPPUNIT_TEST(TestRequestInsideAnother);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mReader = std::make_unique<RcuReaderThread>(); }
  void tearDown() override { mReader.reset(); }

  /// Guards against a refusal that its caller never sees, because the
  /// connection is reset under what the caller still sends.
  void TestRefusedWhileSending()
  {
    RouterSite site;
    auto settings = site.Settings();
    settings.mThreads = 1;
    settings.mConnections.mMaxConnections = 1;
    // The engine runs on this thread, which waits in between.
    settings.mLimits.mRelay.mStall = 60s;
    const auto router = site.MakeRouter(settings);
    // A connection that is idle would give way to the second one.
    const BlockingCaller first(*router);
    const std::string body = R"({"model":"drafts","input":"x","stream":true,)"
                             R"("max_output_tokens":4000})";
    CPPUNIT_ASSERT(first.Send(
      "POST /v1/responses HTTP/1.1\r\nHost: a\r\nAuthorization: "
      "Bearer " +
      TokenOf("nakuru") + "\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body));
    RunEventLoopUntil([&] { return first.HasBytes(); });
    const BlockingCaller second(*router);
    Section("the caller may send its whole request", [&] {
      CPPUNIT_ASSERT(second.Send("POST /v1/responses HTTP/1.1\r\n"
                                 "Host: a\r\nContent-Length: 300\r\n\r\n"));
      second.WaitForBytes();
      for (int i = 0; i < 3; ++i) {
        CPPUNIT_ASSERT(second.Send(std::string(100, 'x')));
        // A reset would arrive before the next piece.
        std::this_thread::sleep_for(20ms);
      }
    });
    Section("and gets the whole refusal", [&] {
      const auto answer = second.ReadAll();
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(answer->starts_with("HTTP/1.1 503 "));
      CPPUNIT_ASSERT(answer->find("too_many_connections") != std::string::npos);
      CPPUNIT_ASSERT(answer->ends_with("}") || answer->ends_with("}\n"));
    });
  }

  /// Guards against callers that keep out all others by connections on which
  /// they send nothing.
  void TestIdleGivesWay()
  {
    RouterSite site;
    auto settings = site.Settings();
    settings.mThreads = 1;
    settings.mConnections.mMaxConnections = 2;
    const auto router = site.MakeRouter(settings);
    const std::string ask = "GET /healthz HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\n\r\n";
    const BlockingCaller stalled(*router);
    CPPUNIT_ASSERT(stalled.Send("GET /healthz HTTP/1.1\r\nHost: a\r\n"));
    const BlockingCaller idle(*router);
    for (int i = 0; i < 3; ++i) {
      const BlockingCaller caller(*router);
      CPPUNIT_ASSERT(caller.Send(ask));
      CPPUNIT_ASSERT(caller.ReadAll().value_or("").starts_with("HTTP/1.1 200"));
    }
  }

  /// Guards against a body that is served as another request, because the
  /// router's two parsers read a framing header differently.
  void TestRequestInsideAnother()
  {
    RouterSite site;
    auto settings = site.Settings();
    // A connection that is not refused ends by this.
    settings.mConnections.mIdle = 500ms;
    settings.mConnections.mRequest = 500ms;
    const auto router = site.MakeRouter(settings);
    const std::string inner = "GET /v1/inner HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string body = "0\r\n\r\n" + inner;
    const auto length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
    for (const std::string odd : { "Transfer-Encoding : chunked\r\n",
                                   "Transfer-Encoding\t:chunked\r\n",
                                   "Transfer-Encoding: \vchunked\r\n",
                                   "A: b\rTransfer-Encoding: chunked\r\n" }) {
      const BlockingCaller caller(*router);
      std::string request = "POST /v1/outer HTTP/1.1\r\nHost: a\r\n";
      request.append(length).append(odd).append("\r\n").append(body);
      CPPUNIT_ASSERT(caller.Send(request));
      const auto answer = caller.ReadAll().value_or("reset");
      CPPUNIT_ASSERT_MESSAGE(odd + answer, answer.starts_with("HTTP/1.1 400 "));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        odd + answer, answer.find("HTTP/1.1 "), answer.rfind("HTTP/1.1 "));
    }
  }

private:
  std::unique_ptr<RcuReaderThread> mReader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionsTest);

} // namespace ragwortdeck
