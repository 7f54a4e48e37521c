#include "Core/RandomSource.h"
#include "Support/Section.h"
#include "Targets/EngineEvent.h"
#include "Targets/LoadReportJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace ragwortdeck {

namespace {

constexpr std::uint64_t kSeeds = 300;

std::vector<SseEvent>
ParseAll(const std::string& aText, RandomSource& aRandom)
{
  std::vector<SseEvent> events;
  SseParser parser;
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto n = 1 + aRandom.Below(40);
    const auto piece = std::string_view(aText).substr(at, n);
    CPPUNIT_ASSERT(parser.Feed(piece, [&](SseEvent&& aEvent) {
      events.push_back(std::move(aEvent));
      return true;
    }));
    at += piece.size();
  }
  return events;
}

std::string
Garbage(RandomSource& aRandom, std::size_t aSize)
{
  // The terminating NUL of the literal is drawn too.
  static constexpr char kAlphabet[] =
    "data: event:\r\n\n{}[]\",0123456789\\\"sequence_number\":-e\xffx";
  std::string text;
  while (text.size() < aSize) {
    text += kAlphabet[aRandom.Below(sizeof(kAlphabet))];
  }
  return text;
}

SseEvent
Delta(const std::string& aData)
{
  return { "response.output_text.delta", aData };
}

} // namespace

/// \brief Engine input: event framing, sequence numbers, load reports.
class SseFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SseFuzzTest);
  CPPUNIT_TEST(TestAnySplitGivesTheSameEvents);
  CPPUNIT_TEST(TestGarbageIsRefusedOrSkipped);
  CPPUNIT_TEST(TestEventOverTheLimit);
  CPPUNIT_TEST(TestSequenceNumberInsideText);
  CPPUNIT_TEST(TestLoadReports);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against events that are lost or joined when a read ends in the
  /// middle of one.
  void TestAnySplitGivesTheSameEvents()
  {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      RandomSource random(seed);
      std::string text;
      std::vector<SseEvent> expected;
      for (int n = 0; n < 20; ++n) {
        const auto data = "{\"n\":" + std::to_string(n) + "}";
        const std::string end = random.Chance(0.5) ? "\r\n" : "\n";
        text += random.Chance(0.2) ? ": comment" + end : "";
        for (const auto& part :
             { std::string("event: t"), end, "data: " + data, end, end }) {
          text += part;
        }
        expected.push_back({ "t", data });
      }
      CPPUNIT_ASSERT(expected == ParseAll(text, random));
    }
  }

  /// Guards against crashes and against accepting an event without a valid
  /// sequence number.
  void TestGarbageIsRefusedOrSkipped()
  {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      RandomSource random(seed);
      for (auto& event : ParseAll(Garbage(random, 2000), random)) {
        const auto parsed = ParseEngineEvent(std::move(event));
        CPPUNIT_ASSERT(!parsed || parsed.value().mSequence >= 0);
      }
      static_cast<void>(ParseLoadReport(Garbage(random, 200)));
    }
  }

  /// Guards against an engine that makes the router buffer without bound.
  void TestEventOverTheLimit()
  {
    SseParser parser(1000);
    const auto ignore = [](SseEvent&&) { return true; };
    CPPUNIT_ASSERT(parser.Feed("data: x\n", ignore));
    CPPUNIT_ASSERT(!parser.Feed(std::string(2000, 'x'), ignore));
  }

  /// Guards against a sequence number taken from the generated text.
  void TestSequenceNumberInsideText()
  {
    const auto event = ParseEngineEvent(
      Delta(R"({"sequence_number":7,"delta":"\"sequence_number\":99,"})"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), event.value().mSequence);
    Section("a space after the colon", [] {
      const auto spaced =
        ParseEngineEvent(Delta(R"({"delta":"a","sequence_number": 8})"));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(8), spaced.value().mSequence);
    });
    Section("no usable number", [] {
      for (const auto* data : { "{}",
                                "{\"sequence_number\":-1}",
                                "{\"sequence_number\":\"1\"}",
                                "{\"sequence_number\":1",
                                "{\"sequence_number\":1e300}" }) {
        CPPUNIT_ASSERT(!ParseEngineEvent(Delta(data)));
      }
    });
  }

  /// Guards against a wrong load report that makes an engine look empty.
  void TestLoadReports()
  {
    const auto report = ParseLoadReport(
      R"({"named_metrics":{"memory_tokens":1000,"running":3}})");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), report.value().mMemoryTokens);
    CPPUNIT_ASSERT_EQUAL(3U, report.value().mRunning);
    CPPUNIT_ASSERT(!report.value().mReadyModels);
    Section("models that the report lists", [] {
      const auto listed = ParseLoadReport(
        R"({"named_metrics":{"ready_models":1,"model.a":1,"model.b":0}})");
      CPPUNIT_ASSERT(listed.value().mReadyModels ==
                     std::vector<ModelName>{ ModelName("a") });
      // An engine without a model must not be taken for one that lists none.
      const auto none =
        ParseLoadReport(R"({"named_metrics":{"ready_models":0}})");
      CPPUNIT_ASSERT(none.value().mReadyModels.has_value());
      CPPUNIT_ASSERT(none.value().mReadyModels->empty());
    });
    CPPUNIT_ASSERT(!ParseLoadReport("{}"));
    CPPUNIT_ASSERT(!ParseLoadReport(R"({"named_metrics":{"running":-1}})"));
    CPPUNIT_ASSERT(!ParseLoadReport(R"({"named_metrics":{"running":"3"}})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseFuzzTest);

} // namespace ragwortdeck
