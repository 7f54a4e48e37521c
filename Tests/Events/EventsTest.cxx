#include "Core/RandomSource.h"
#include "Events/EventMerger.h"
#include "Events/EventRecorder.h"
#include "Events/TimelineRenderer.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>
#include <thread>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

Event
MakeEvent(const char* aHost, std::uint64_t aTime, const char* aRequest)
{
  Event event;
  event.mTime = { aTime };
  event.mType = EventType::kFirstToken;
  event.mHost = HostId(aHost);
  event.mProcess = "router";
  event.mRequest = RequestId(aRequest);
  return event;
}

} // namespace

/// \brief Hybrid time respects causes, rings lose only the oldest events and
/// say so, and a time line shows every event once.
class EventsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(TestClockFollowsCauses);
  CPPUNIT_TEST(TestClockRefusesWrongRemoteClock);
  CPPUNIT_TEST(TestRecorderKeepsNewest);
  CPPUNIT_TEST(TestRecorderCutsLongTexts);
  CPPUNIT_TEST(TestRecorderUnderConcurrentReaders);
  CPPUNIT_TEST(TestThreadsReuseRings);
  CPPUNIT_TEST(TestMerger);
  CPPUNIT_TEST(TestEventJsonAndMsgpack);
  CPPUNIT_TEST(TestHtml);
  CPPUNIT_TEST(TestFuzzedEventInput);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestClockFollowsCauses()
  {
    CPPUNIT_ASSERT(rc::check("messages never go back in time", [] {
      RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
      std::vector<WallTime> wall(4, WallTime(1'000s));
      std::vector<std::unique_ptr<HybridClock>> clocks;
      for (std::size_t n = 0; n < wall.size(); ++n) {
        clocks.push_back(
          std::make_unique<HybridClock>([&wall, n] { return wall[n]; }));
      }
      std::vector<HybridTime> last(wall.size());
      for (int n = 0; n < 200; ++n) {
        const auto to = random.Below(wall.size());
        const auto from = random.Below(wall.size());
        // Clocks run at different rates and sometimes jump back.
        wall[to] += Duration(random.Below(50));
        if (random.Chance(0.1)) {
          wall[to] -= Duration(random.Below(5'000));
        }
        const auto sent = clocks[from]->Tick();
        RC_ASSERT(clocks[to]->Observe(sent));
        const auto received = clocks[to]->Tick();
        RC_ASSERT(received > sent);
        RC_ASSERT(received > last[to]);
        last[from] = std::max(last[from], sent);
        last[to] = received;
      }
    }));
  }

  void TestClockRefusesWrongRemoteClock()
  {
    const WallTime now(1'000s);
    HybridClock clock([now] { return now; });
    CPPUNIT_ASSERT(!clock.Observe(HybridTime::FromWall(now + 61s)));
    CPPUNIT_ASSERT(clock.Tick().Wall() == now);
    CPPUNIT_ASSERT(clock.Observe(HybridTime::FromWall(now + 59s)));
    CPPUNIT_ASSERT(clock.Tick().Wall() == now + 59s);
    Section("a full counter carries on without going back", [&] {
      auto last = clock.Tick();
      for (int n = 0; n < 10'000; ++n) {
        const auto next = clock.Tick();
        CPPUNIT_ASSERT(next > last);
        last = next;
      }
    });
  }

  void TestRecorderKeepsNewest()
  {
    HybridClock clock([] { return WallTime(1'000s); });
    EventRecorder recorder(HostId("entry-1"), "router", clock, { 8, 4 });
    EventFields fields;
    for (std::uint64_t n = 1; n <= 20; ++n) {
      fields.mTableVersion = n;
      recorder.Record(fields);
    }
    const auto snapshot = recorder.Snapshot();
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), snapshot.mEvents.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), snapshot.mLost);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13),
                         snapshot.mEvents.front().mTableVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"),
                         snapshot.mEvents.front().mHost.Value());
  }

  void TestRecorderCutsLongTexts()
  {
    HybridClock clock([] { return WallTime(1'000s); });
    EventRecorder recorder(HostId("entry-1"), "router", clock, {});
    const std::string longText(1000, 'x');
    recorder.Record(
      { EventType::kRequestReceived, longText, "t", 1, 2, -3, "v", longText });
    const auto event = recorder.Snapshot().mEvents.at(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(39), event.mRequest.Value().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(47), event.mDetail.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(-3), event.mLease);
  }

  void TestRecorderUnderConcurrentReaders()
  {
    // Guards against events that mix the fields of two, which a reader could
    // see while a slot is overwritten.
    constexpr std::uint64_t kEvents = 200'000;
    HybridClock clock([] { return WallTime(1'000s); });
    EventRecorder recorder(HostId("entry-1"), "router", clock, { 16, 4 });
    std::atomic<bool> stop{ false };
    std::vector<std::thread> writers;
    writers.reserve(2);
    for (int writer = 0; writer < 2; ++writer) {
      writers.emplace_back([&] {
        EventFields fields;
        for (std::uint64_t n = 1; n <= kEvents; ++n) {
          const auto text = std::to_string(n);
          fields.mTableVersion = n;
          fields.mRequest = text;
          fields.mDetail = text;
          recorder.Record(fields);
        }
      });
    }
    std::atomic<std::uint64_t> mixed{ 0 };
    std::thread reader([&] {
      while (!stop.load()) {
        for (const auto& event : recorder.Snapshot().mEvents) {
          const auto text = std::to_string(event.mTableVersion);
          mixed += event.mRequest.Value() != text || event.mDetail != text;
        }
      }
    });
    for (auto& writer : writers) {
      writer.join();
    }
    stop.store(true);
    reader.join();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mixed.load());
    const auto rest = recorder.Snapshot();
    CPPUNIT_ASSERT_EQUAL(2 * kEvents, rest.mLost + rest.mEvents.size());
  }

  void TestThreadsReuseRings()
  {
    HybridClock clock([] { return WallTime(1'000s); });
    EventRecorder recorder(HostId("entry-1"), "router", clock, { 64, 2 });
    for (int n = 0; n < 10; ++n) {
      std::thread([&] { recorder.Record({}); }).join();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), recorder.Snapshot().mEvents.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), recorder.Snapshot().mLost);
    Section("threads above the limit are counted as lost", [&] {
      recorder.Record({});
      std::thread([&] {
        recorder.Record({});
        std::thread([&] { recorder.Record({}); }).join();
      }).join();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), recorder.Snapshot().mLost);
    });
  }

  void TestMerger()
  {
    const auto micros = [](std::uint64_t aMicros) {
      return aMicros << HybridTime::kCounterBits;
    };
    const std::vector<Event> first = { MakeEvent("a", micros(10), "r1"),
                                       MakeEvent("a", micros(30), "r2") };
    const std::vector<Event> second = { MakeEvent("b", micros(20), "r1"),
                                        MakeEvent("b", micros(30), "r1") };
    const auto merge = [&](const EventFilter& aFilter) {
      EventMerger merger(aFilter);
      merger.Add(second);
      merger.Add(first);
      merger.Add(first);
      return merger.Merged();
    };
    const auto all = merge({});
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), all.size());
    CPPUNIT_ASSERT(all[1] == second[0] && all[2] == first[1]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         merge({ RequestId("r1"), {}, {}, {} }).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         merge({ {}, HostId("a"), {}, {} }).size());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t(1),
      merge({ {}, {}, WallTime(Duration(11)), WallTime(Duration(29)) }).size());
    Section("a wrong line is named and nothing of its file is added", [&] {
      EventMerger merger;
      const auto added = merger.AddJsonLines(
        TimelineRenderer::JsonLines(first) + "\nnonsense\n", "a.jsonl");
      CPPUNIT_ASSERT_EQUAL(std::string("a.jsonl:4: expected a JSON object"),
                           added.error().mMessage);
      CPPUNIT_ASSERT(merger.Merged().empty());
    });
  }

  void TestEventJsonAndMsgpack()
  {
    auto event = MakeEvent("a", (std::uint64_t(1) << 63) + 12345, "r<1>");
    event.mTarget = TargetId("engine-1");
    event.mAttempt = 2;
    event.mTableVersion = 9;
    event.mLease = -5;
    event.mVerdict = "generation_lost";
    event.mDetail = "line\nbreak \"quoted\"";
    CPPUNIT_ASSERT(EventFromJson(ToJson(event)).value() == event);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, event);
    const auto handle = msgpack::unpack(buffer.data(), buffer.size());
    CPPUNIT_ASSERT(handle.get().as<Event>() == event);
    for (int n = 0; n <= static_cast<int>(EventType::kStoreAvailable); ++n) {
      const auto type = static_cast<EventType>(n);
      CPPUNIT_ASSERT(EventTypeFromText(ToText(type)) == type);
    }
  }

  void TestHtml()
  {
    std::vector<Event> events;
    for (int host = 0; host < 20; ++host) {
      const auto name = "entry-" + std::to_string(host);
      events.push_back(
        MakeEvent(name.c_str(), 5000 + host, "<script>alert(1)</script>"));
    }
    const auto html = TimelineRenderer::Html(events);
    const auto count = [&html](const std::string& aText) {
      std::size_t n = 0;
      for (auto at = html.find(aText); at != std::string::npos;
           at = html.find(aText, at + 1)) {
        ++n;
      }
      return n;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), count("<i class="));
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), count("<span style="));
    Section("texts of events cannot become markup, and nothing is loaded", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), count("<script"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), count("http"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(" src="));
    });
  }

  void TestFuzzedEventInput()
  {
    RandomSource random(1311);
    const auto valid = ToJson(MakeEvent("a", 77'777, "r1"));
    int accepted = 0;
    for (int n = 0; n < 20'000; ++n) {
      auto line = valid;
      for (auto edits = random.Below(4); edits > 0; --edits) {
        line[random.Below(line.size())] = static_cast<char>(random.Below(256));
      }
      const auto event = EventFromJson(line);
      if (event) {
        ++accepted;
        CPPUNIT_ASSERT(EventFromJson(ToJson(event.value())).value() ==
                       event.value());
        CPPUNIT_ASSERT(!TimelineRenderer::Html({ event.value() }).empty());
      }
    }
    CPPUNIT_ASSERT(accepted > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

} // namespace ragwortdeck
