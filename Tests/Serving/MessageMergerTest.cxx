#include "Serving/MessageMerger.h"
#include "Core/RandomSource.h"
#include "Support/Section.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// What one collector does when messages arrive at it at random times, a fifth
/// of them from its own failure domain.
struct Collected
{
  /// Datagrams a second that it sends to each host.
  double mDatagramsPerSecond = 0;
  /// Longest time that a message of its own domain waited.
  Duration mLongestWait{ 0 };
};

Collected
Collect(double aMessagesPerSecond)
{
  constexpr int kSeconds = 60;
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr std::uint64_t kDomains = 5;
  RandomSource random(11);
  MessageMerger merger;
  bool isPending = false;
  MonotonicTime due;
  MonotonicTime now;
  std::optional<MonotonicTime> ownSince;
  std::size_t datagrams = 0;
  Collected result;
  while (now.time_since_epoch() < std::chrono::seconds(kSeconds)) {
    now += std::chrono::microseconds(
      static_cast<std::int64_t>(-std::log(1 - random.Unit()) /
                                aMessagesPerSecond * kMicrosecondsPerSecond));
    if (isPending && due <= now) {
      datagrams += merger.Take(due).size();
      isPending = false;
      if (ownSince) {
        result.mLongestWait = std::max(result.mLongestWait, due - *ownSince);
        ownSince.reset();
      }
    }
    const bool isOwn = random.Below(kDomains) == 0;
    if (isOwn && !ownSince) {
      ownSince = now;
    }
    due = merger.Add("h" + std::to_string(random.Below(295)),
                     std::string(170, 'x'),
                     isOwn,
                     now);
    isPending = true;
  }
  result.mDatagramsPerSecond = static_cast<double>(datagrams) / kSeconds;
  return result;
}

} // namespace

/// \brief Tests how messages of several hosts are put together.
class MessageMergerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MessageMergerTest);
  CPPUNIT_TEST(TestMessages);
  CPPUNIT_TEST(TestLargeFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestMessages()
  {
    const MonotonicTime start{ std::chrono::seconds(100) };
    MessageMerger merger;
    Section("the first message sets the time, later ones join it", [&] {
      const auto due = start + MessageMerger::kInterval;
      CPPUNIT_ASSERT(merger.Add("a", "1", false, start) == due);
      CPPUNIT_ASSERT(merger.Add("b", "2", false, start + milliseconds(5)) ==
                     due);
    });
    Section("one of the own failure domain waits less, and takes the others "
            "with it",
            [&] {
              const auto now = start + milliseconds(8);
              const auto due = now + MessageMerger::kOwnDomainInterval;
              CPPUNIT_ASSERT(merger.Add("b", "2", true, now) == due);
              CPPUNIT_ASSERT(merger.Add("a", "0", false, now) == due);
            });
    Section("a newer message of the same host replaces the older one", [&] {
      merger.Add("a", "3", false, start + milliseconds(9));
      const auto datagrams = merger.Take(start + MessageMerger::kInterval);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), datagrams.size());
      CPPUNIT_ASSERT(datagrams[0] == std::vector<std::string>({ "3", "2" }));
    });
    Section("each is passed on once",
            [&] { CPPUNIT_ASSERT(merger.Take(start).empty()); });
    Section("the next message starts anew", [&] {
      CPPUNIT_ASSERT(merger.Add("a", "4", false, start) ==
                     start + MessageMerger::kInterval);
    });
    Section("this host was suspended: what it collected before is too old, "
            "what has arrived since is passed on",
            [&] {
              merger.Add("b", "5", false, start + milliseconds(3000));
              const auto datagrams = merger.Take(start + milliseconds(3001));
              CPPUNIT_ASSERT_EQUAL(std::size_t(1), datagrams.size());
              CPPUNIT_ASSERT(datagrams[0] == std::vector<std::string>({ "5" }));
            });
    Section("many messages take several datagrams, and none is lost", [&] {
      for (int i = 0; i < 295; ++i) {
        merger.Add(
          "h" + std::to_string(i), std::string(170, 'x'), false, start);
      }
      std::size_t n = 0;
      for (const auto& datagram : merger.Take(start)) {
        std::size_t bytes = 0;
        for (const auto& message : datagram) {
          bytes += message.size();
        }
        CPPUNIT_ASSERT(bytes <= MessageMerger::kMaxBytes);
        n += datagram.size();
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(295), n);
    });
    Section("a message larger than a datagram's share goes alone", [&] {
      merger.Add("a", "1", false, start);
      merger.Add(
        "b", std::string(MessageMerger::kMaxBytes + 1, 'x'), false, start);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), merger.Take(start).size());
    });
  }

  void TestLargeFleet()
  {
    // 295 hosts send 450 messages a second, of which each of the three
    // collectors of a domain gets a third.
    constexpr double kMessagesPerSecond = 450;
    const auto now = Collect(kMessagesPerSecond / 3);
    Section("each host receives less than a third as many datagrams", [&] {
      CPPUNIT_ASSERT(3 * now.mDatagramsPerSecond < kMessagesPerSecond / 3);
    });
    Section(
      "a fleet of four times the size receives less than twice as many", [&] {
        CPPUNIT_ASSERT(Collect(4 * kMessagesPerSecond / 3).mDatagramsPerSecond <
                       2 * now.mDatagramsPerSecond);
      });
    Section("a change in the own failure domain is passed on within 4 ms",
            [&] { CPPUNIT_ASSERT(now.mLongestWait <= milliseconds(4)); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageMergerTest);

} // namespace ragwortdeck
