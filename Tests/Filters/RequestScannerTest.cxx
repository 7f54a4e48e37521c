#include "Filters/RequestScanner.h"
#include "Core/RandomSource.h"
#include "Filters/ResponseId.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

using State = RequestScanner::State;

constexpr std::size_t kMaxHeader = 300;
constexpr std::size_t kMaxBody = 100;

State
ScanInPieces(const std::string& aText, std::uint64_t aSeed)
{
  RandomSource random(aSeed);
  RequestScanner scanner(kMaxHeader, kMaxBody);
  std::string_view rest = aText;
  while (!rest.empty()) {
    const auto piece = rest.substr(0, 1 + random.Below(9));
    scanner.Feed(piece);
    rest.remove_prefix(piece.size());
  }
  return scanner.Current();
}

void
AssertScan(State aExpected, const std::string& aText)
{
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    CPPUNIT_ASSERT_EQUAL(int(aExpected), int(ScanInPieces(aText, seed)));
  }
}

} // namespace

/// \brief Limits on request framing, and response ids.
class RequestScannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestScannerTest);
  CPPUNIT_TEST(TestWholeRequests);
  CPPUNIT_TEST(TestOversized);
  CPPUNIT_TEST(TestAmbiguousFraming);
  CPPUNIT_TEST(TestOddHeaderNames);
  CPPUNIT_TEST(TestFuzz);
  CPPUNIT_TEST(TestResponseIds);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against requests that are cut or joined at a read boundary.
  void TestWholeRequests()
  {
    AssertScan(State::kComplete, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    AssertScan(State::kComplete, "\r\nGET / HTTP/1.1\nHost: a\n\n");
    AssertScan(State::kComplete,
               "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    AssertScan(State::kBody, "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    AssertScan(State::kComplete,
               "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n");
    AssertScan(State::kPipelined,
               "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  }

  /// Guards against callers that make the router buffer without bound.
  void TestOversized()
  {
    AssertScan(State::kHeaderTooLarge,
               "GET / HTTP/1.1\r\nA: " + std::string(400, 'x'));
    AssertScan(State::kBodyTooLarge,
               "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
    AssertScan(State::kBodyTooLarge,
               "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "60\r\n" +
                 std::string(96, 'x') + "\r\n5\r\n");
    AssertScan(State::kBodyTooLarge,
               "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
               "ffffffffffffffff\r\n");
  }

  /// Guards against request smuggling by framing that parsers read
  /// differently.
  void TestAmbiguousFraming()
  {
    for (const auto* fields :
         { "Content-Length: 3\r\nContent-Length: 3",
           "Content-Length: 3\r\nTransfer-Encoding: chunked",
           "Transfer-Encoding: gzip, chunked",
           "Transfer-Encoding: chunked, gzip",
           "Transfer-Encoding: identity",
           "Transfer-Encoding: gzip",
           "Transfer-Encoding: chunked;q=1",
           "Transfer-Encoding:",
           "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
           "Content-Length:",
           "Content-Length: +3",
           "Content-Length: 3, 3",
           "Content-Length: -1",
           "Content-Length: 3x",
           "A: b\r\n continued" }) {
      AssertScan(State::kMalformed,
                 std::string("POST / HTTP/1.1\r\n") + fields + "\r\n\r\n");
    }
  }

  /// Guards against a framing header that this scanner takes for another one,
  /// and a later parser does not, so that a body is read as a request.
  void TestOddHeaderNames()
  {
    for (const auto* line : { "Transfer-Encoding : chunked",
                              "Transfer-Encoding\t: chunked",
                              "Transfer-Encoding\v: chunked",
                              "Content-Length : 3",
                              "\vContent-Length: 3",
                              "Content-Length\r: 3",
                              ": chunked",
                              "A B: c",
                              "A\x80: c" }) {
      AssertScan(State::kMalformed,
                 "POST / HTTP/1.1\r\n" + std::string(line) + "\r\n\r\n");
    }
    Section("control characters in a value", [&] {
      for (const auto* line : { "Transfer-Encoding: \vchunked",
                                "A: b\rTransfer-Encoding: chunked",
                                "A: b\x7f" }) {
        AssertScan(State::kMalformed,
                   "POST / HTTP/1.1\r\n" + std::string(line) + "\r\n\r\n");
      }
      AssertScan(State::kMalformed,
                 std::string("POST / HTTP/1.1\r\nA: b\0\r\n\r\n", 26));
    });
    Section("every character that a name may have", [&] {
      AssertScan(State::kComplete,
                 "POST / HTTP/1.1\r\nX-!#$%&'*+.^_`|~09azAZ: \t\xc3\xa9\r\n"
                 "\r\n");
    });
    Section("a coding in a version that has none", [&] {
      AssertScan(State::kMalformed,
                 "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n");
    });
  }

  /// Guards against crashes and against input that passes a limit.
  void TestFuzz()
  {
    static const std::string sAlphabet =
      "\r\n\r\n: 0123456789abcdefContent-Length:Transfer-Encoding:chunked";
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
      RandomSource random(seed);
      std::string text = "POST / HTTP/1.1\r\n";
      while (text.size() < 1000) {
        text += sAlphabet[random.Below(sAlphabet.size())];
      }
      ScanInPieces(text, seed);
    }
  }

  /// Guards against a team that reads or cancels the answer of another.
  void TestResponseIds()
  {
    const auto keys = KeyRing::Create({ { "k1", "0123456789abcdef" } }).value();
    const auto other =
      KeyRing::Create({ { "k1", "fedcba9876543210" } }).value();
    const Attempt attempt{ 2, TargetId("engine-1"), "resp_x" };
    const TeamName team("nakuru");
    const auto id = EncodeResponseId({ attempt, team }, keys);
    CPPUNIT_ASSERT(attempt == DecodeResponseId(id, team, keys).value());
    CPPUNIT_ASSERT(!DecodeResponseId(id, TeamName("kisumu"), keys));
    CPPUNIT_ASSERT(!DecodeResponseId(id, team, other));
    Section("any changed character", [&] {
      for (std::size_t n = 0; n < id.size(); ++n) {
        auto forged = id;
        // Changes all six bits, so that unused bits at the end do not hide it.
        forged[n] = forged[n] == 'A' ? '_' : 'A';
        CPPUNIT_ASSERT(forged == id || !DecodeResponseId(forged, team, keys));
      }
    });
    Section("cut, extended and empty", [&] {
      for (std::size_t n = 0; n < id.size(); ++n) {
        CPPUNIT_ASSERT(!DecodeResponseId(id.substr(0, n), team, keys));
      }
      CPPUNIT_ASSERT(!DecodeResponseId(id + "AAAA", team, keys));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestScannerTest);

} // namespace ragwortdeck
