#include "Policy/FairQueue.h"
#include "Core/RandomSource.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace ragwortdeck {

namespace {

const TeamName kLarge("large");
const TeamName kSmall("small");
constexpr MonotonicTime kStart{ Duration(1'000'000) };

QueuedRequest
Make(Ticket aTicket, const TeamName& aTeam, double aCost = 100.0)
{
  QueuedRequest request;
  request.mTicket = aTicket;
  request.mTeam = aTeam;
  request.mCost = aCost;
  request.mArrival = kStart;
  request.mDeadline = kStart + std::chrono::seconds(60);
  request.mLatestStart = kStart + std::chrono::seconds(50);
  return request;
}

} // namespace

/// \brief Fair queue. Many requests of one team must not delay another team,
/// and no request may starve or get lost.
class FairQueueTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(TestShares);
  CPPUNIT_TEST(TestIdleTeamGainsNoAdvantage);
  CPPUNIT_TEST(TestDeadlineOrderWithAging);
  CPPUNIT_TEST(TestLanesAndBlocking);
  CPPUNIT_TEST(TestBoundAndExpiry);
  CPPUNIT_TEST(TestNothingIsLost);
  CPPUNIT_TEST(TestServiceStaysNearShare);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestShares()
  {
    FairQueue queue;
    queue.SetShare(kLarge, 300);
    queue.SetShare(kSmall, 100);
    Ticket next = 1;
    for (int i = 0; i < 400; ++i) {
      queue.Push(Make(next++, kLarge));
      queue.Push(Make(next++, kSmall));
    }
    int large = 0;
    for (int i = 0; i < 400; ++i) {
      large += queue.Pop(KindClass::kLong).mTeam == kLarge ? 1 : 0;
    }
    CPPUNIT_ASSERT(large >= 299 && large <= 301);
  }

  void TestIdleTeamGainsNoAdvantage()
  {
    FairQueue queue;
    Ticket next = 1;
    for (int i = 0; i < 100; ++i) {
      queue.Push(Make(next++, kLarge));
      queue.Pop(KindClass::kLong);
    }
    for (int i = 0; i < 20; ++i) {
      queue.Push(Make(next++, kLarge));
      queue.Push(Make(next++, kSmall));
    }
    int small = 0;
    for (int i = 0; i < 20; ++i) {
      small += queue.Pop(KindClass::kLong).mTeam == kSmall ? 1 : 0;
    }
    CPPUNIT_ASSERT(small >= 9 && small <= 11);
  }

  void TestDeadlineOrderWithAging()
  {
    FairQueue queue;
    auto late = Make(1, kLarge);
    late.mDeadline = kStart + std::chrono::hours(1);
    auto urgent = Make(2, kLarge);
    urgent.mDeadline = kStart + std::chrono::seconds(10);
    queue.Push(late);
    queue.Push(urgent);
    auto after = Make(3, kLarge);
    after.mArrival = kStart + std::chrono::seconds(31);
    after.mDeadline = after.mArrival + std::chrono::seconds(1);
    queue.Push(after);
    CPPUNIT_ASSERT_EQUAL(Ticket{ 2 }, queue.Pop(KindClass::kLong).mTicket);
    CPPUNIT_ASSERT_EQUAL(Ticket{ 1 }, queue.Pop(KindClass::kLong).mTicket);
    CPPUNIT_ASSERT_EQUAL(Ticket{ 3 }, queue.Pop(KindClass::kLong).mTicket);
  }

  void TestLanesAndBlocking()
  {
    FairQueue queue;
    queue.Push(Make(1, kLarge));
    auto question = Make(2, kLarge);
    question.mClass = KindClass::kShort;
    queue.Push(question);
    queue.Push(Make(3, kSmall));
    queue.SetBlocked(kLarge, true);
    CPPUNIT_ASSERT(queue.Head(KindClass::kShort) == nullptr);
    CPPUNIT_ASSERT_EQUAL(Ticket{ 3 }, queue.Head(KindClass::kLong)->mTicket);
    queue.SetBlocked(kLarge, false);
    CPPUNIT_ASSERT_EQUAL(Ticket{ 2 }, queue.Head(KindClass::kShort)->mTicket);
  }

  void TestBoundAndExpiry()
  {
    FairQueue queue;
    for (std::size_t i = 0; i < FairQueue::kMaxPerTeam; ++i) {
      CPPUNIT_ASSERT(queue.Push(Make(i + 1, kLarge)));
    }
    CPPUNIT_ASSERT(!queue.Push(Make(5'000, kLarge)));
    CPPUNIT_ASSERT(queue.Push(Make(5'001, kSmall)));
    CPPUNIT_ASSERT(queue.TakeExpired(kStart).empty());
    const auto expired = queue.TakeExpired(kStart + std::chrono::seconds(51));
    CPPUNIT_ASSERT_EQUAL(FairQueue::kMaxPerTeam + 1, expired.size());
    CPPUNIT_ASSERT(queue.Head(KindClass::kLong) == nullptr);
    CPPUNIT_ASSERT_EQUAL(0.0, queue.ActiveShares());
  }

  void TestNothingIsLost()
  {
    CPPUNIT_ASSERT(rc::check("each request leaves exactly once", [] {
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      RandomSource random(seed);
      FairQueue queue;
      std::set<Ticket> queued;
      auto now = kStart;
      for (Ticket ticket = 1; ticket < 300; ++ticket) {
        now += Duration(random.Below(400'000));
        const TeamName team(std::to_string(random.Below(4)));
        auto request = Make(ticket, team, 1.0 + random.Below(500));
        request.mArrival = now;
        request.mClass =
          random.Chance(0.5) ? KindClass::kShort : KindClass::kLong;
        request.mLatestStart = now + Duration(random.Below(9'000'000));
        queue.SetShare(team, 1 + random.Below(1'000));
        RC_ASSERT(queue.Push(request));
        queued.insert(ticket);
        queue.SetBlocked(team, random.Chance(0.3));
        const auto lane =
          random.Chance(0.5) ? KindClass::kShort : KindClass::kLong;
        if (random.Chance(0.4) && queue.Head(lane) != nullptr) {
          RC_ASSERT(queued.erase(queue.Pop(lane).mTicket) == 1);
        }
        const auto candidate = 1 + random.Below(ticket);
        RC_ASSERT(queue.Remove(candidate) == (queued.erase(candidate) == 1));
        for (const auto expired : queue.TakeExpired(now)) {
          RC_ASSERT(queued.erase(expired) == 1);
        }
        RC_ASSERT(queue.Size() == queued.size());
      }
      queue.TakeExpired(now + std::chrono::seconds(10));
      RC_ASSERT(queue.Size() == 0);
    }));
  }

  void TestServiceStaysNearShare()
  {
    CPPUNIT_ASSERT(rc::check("backlogged teams stay near their shares", [] {
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      RandomSource random(seed);
      FairQueue queue;
      std::map<TeamName, double> shares;
      std::map<TeamName, double> service;
      Ticket next = 1;
      constexpr double kLargestCost = 1'000.0;
      for (int i = 0; i < 4; ++i) {
        const TeamName team(std::to_string(i));
        shares[team] = 1.0 + random.Below(1'000);
        queue.SetShare(team, shares[team]);
        for (int n = 0; n < 3; ++n) {
          queue.Push(Make(next++, team, 1.0 + random.Below(999)));
        }
      }
      for (int i = 0; i < 300; ++i) {
        const auto request = queue.Pop(KindClass::kLong);
        service[request.mTeam] += request.mCost;
        queue.Push(Make(next++, request.mTeam, 1.0 + random.Below(999)));
        for (const auto& [team, share] : shares) {
          for (const auto& [otherTeam, otherShare] : shares) {
            // The fairness bound of start-time fair queueing.
            RC_ASSERT(service[team] / share - service[otherTeam] / otherShare <=
                      kLargestCost / share + kLargestCost / otherShare + 1e-6);
          }
        }
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

} // namespace ragwortdeck
