#include "Core/MemoryCharge.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <vector>

namespace ragwortdeck {

namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;
constexpr auto kRequest = MemoryUse::kRequest;

class StoppedClock : public Clock
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override { return {}; }
  void Advance(Duration aTime) { mNow += aTime; }

private:
  MonotonicTime mNow{};
};

/// \brief A connection that may be closed to make room.
class Connection
{
public:
  explicit Connection(MemoryAccount& aAccount)
    : mCharge(aAccount, kRequest)
  {
    mCharge.SetOnEvict([this] { ++mClosed; });
  }
  bool Receive(std::size_t aBytes)
  {
    mCharge.AddProgress(aBytes);
    return mCharge.Grow(aBytes);
  }
  bool IsClosed() const { return mClosed > 0; }

  int mClosed = 0;
  MemoryCharge mCharge;
};

} // namespace

class MemoryAccountTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MemoryAccountTest);
  CPPUNIT_TEST(TestCharges);
  CPPUNIT_TEST(TestLeastProgress);
  CPPUNIT_TEST(TestSmallCharges);
  CPPUNIT_TEST(TestOneLargeRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestCharges()
  {
    // 24 MB for requests, of which large ones take 18.
    MemoryAccount account(mClock, 96 * kMegabyte);
    const auto used = [&] { return account.Used(kRequest); };
    Section("bytes are counted until their charge goes", [&] {
      {
        MemoryCharge charge(account, kRequest);
        CPPUNIT_ASSERT(charge.Resize(3 * kMegabyte));
        CPPUNIT_ASSERT(charge.Grow(kMegabyte));
        CPPUNIT_ASSERT_EQUAL(4 * kMegabyte, used());
        MemoryCharge moved(std::move(charge));
        CPPUNIT_ASSERT_EQUAL(4 * kMegabyte, used());
        MemoryCharge other(account, kRequest);
        CPPUNIT_ASSERT(other.Resize(kMegabyte));
        other = std::move(moved);
        CPPUNIT_ASSERT_EQUAL(4 * kMegabyte, used());
        CPPUNIT_ASSERT(other.Resize(kKilobyte));
        CPPUNIT_ASSERT_EQUAL(kKilobyte, used());
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), used());
    });
    Section("a charge without room is unchanged", [&] {
      MemoryCharge first(account, kRequest);
      MemoryCharge second(account, kRequest);
      CPPUNIT_ASSERT(first.Resize(17 * kMegabyte));
      CPPUNIT_ASSERT(!second.Resize(2 * kMegabyte));
      CPPUNIT_ASSERT_EQUAL(17 * kMegabyte, used());
      CPPUNIT_ASSERT(!second.IsEvicted());
      Section("another use has a limit of its own", [&] {
        MemoryCharge answer(account, MemoryUse::kAnswer);
        CPPUNIT_ASSERT(answer.Resize(2 * kMegabyte));
        CPPUNIT_ASSERT_EQUAL(2 * kMegabyte, account.Used(MemoryUse::kAnswer));
      });
    });
    Section("a charge to no account is free", [&] {
      MemoryCharge none;
      CPPUNIT_ASSERT(none.Resize(1000 * kMegabyte));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), none.Bytes());
    });
  }

  void TestLeastProgress()
  {
    MemoryAccount account(mClock, 96 * kMegabyte);
    Connection stalled(account);
    Connection served(account);
    CPPUNIT_ASSERT(served.Receive(2 * kMegabyte));
    served.mCharge.SetOnEvict(nullptr);
    CPPUNIT_ASSERT(stalled.Receive(3 * kMegabyte));
    mClock.Advance(std::chrono::seconds(2));
    Connection active(account);
    CPPUNIT_ASSERT(active.Receive(12 * kMegabyte));
    mClock.Advance(std::chrono::milliseconds(500));
    Section("a newcomer closes the one that has stalled", [&] {
      Connection newcomer(account);
      CPPUNIT_ASSERT(newcomer.Receive(3 * kMegabyte));
      CPPUNIT_ASSERT(stalled.IsClosed());
      CPPUNIT_ASSERT(stalled.mCharge.IsEvicted());
      CPPUNIT_ASSERT(!active.IsClosed());
      CPPUNIT_ASSERT_EQUAL(17 * kMegabyte, account.Used(kRequest));
      Section("which gets no more memory", [&] {
        CPPUNIT_ASSERT(!stalled.Receive(1));
        CPPUNIT_ASSERT_EQUAL(1, stalled.mClosed);
      });
    });
    Section("and is refused where all others make more progress", [&] {
      Connection newcomer(account);
      CPPUNIT_ASSERT(newcomer.Receive(4 * kMegabyte));
      CPPUNIT_ASSERT(!newcomer.Receive(kMegabyte));
      CPPUNIT_ASSERT(!newcomer.IsClosed());
      CPPUNIT_ASSERT(!active.IsClosed());
    });
    Section("what is served is not closed", [&] {
      Connection newcomer(account);
      while (newcomer.Receive(kMegabyte)) {
      }
      CPPUNIT_ASSERT(!served.IsClosed());
    });
  }

  void TestSmallCharges()
  {
    MemoryAccount account(mClock, 16 * kMegabyte);
    // 4 MB for requests, of which large ones take 3.
    std::vector<std::unique_ptr<Connection>> large;
    for (int n = 0; n < 8; ++n) {
      large.push_back(std::make_unique<Connection>(account));
      while (large.back()->Receive(kMegabyte / 4) &&
             large.back()->mCharge.Bytes() < kMegabyte) {
      }
    }
    CPPUNIT_ASSERT(account.Used(kRequest) <= 3 * kMegabyte);
    Section("small requests are admitted beside large ones", [&] {
      Connection small(account);
      CPPUNIT_ASSERT(small.Receive(60 * kKilobyte));
      CPPUNIT_ASSERT(!small.IsClosed());
    });
    Section("and beside any number of other small ones", [&] {
      std::vector<std::unique_ptr<Connection>> crowd;
      for (int n = 0; n < 200; ++n) {
        crowd.push_back(std::make_unique<Connection>(account));
        CPPUNIT_ASSERT(crowd.back()->Receive(60 * kKilobyte));
        CPPUNIT_ASSERT(account.Used(kRequest) <= 4 * kMegabyte);
      }
      Connection small(account);
      CPPUNIT_ASSERT(small.Receive(kKilobyte));
      CPPUNIT_ASSERT(!small.IsClosed());
    });
    Section("a connection is closed for its descriptor, stalled ones first",
            [&] {
              Connection idle(account);
              CPPUNIT_ASSERT(idle.mCharge.Resize(kKilobyte));
              Connection stalled(account);
              CPPUNIT_ASSERT(stalled.mCharge.Resize(2 * kKilobyte));
              large.clear();
              CPPUNIT_ASSERT(account.EvictOne(kRequest));
              CPPUNIT_ASSERT(stalled.IsClosed());
              CPPUNIT_ASSERT(!idle.IsClosed());
              CPPUNIT_ASSERT(account.EvictOne(kRequest));
              CPPUNIT_ASSERT(idle.IsClosed());
              CPPUNIT_ASSERT(!account.EvictOne(kRequest));
            });
  }

  void TestOneLargeRequest()
  {
    MemoryAccount account(mClock, 64 * kMegabyte);
    Section("a limit rises to fit one request of the largest size", [&] {
      Connection connection(account);
      CPPUNIT_ASSERT(!connection.Receive(20 * kMegabyte));
      account.FitOne(kRequest, 20 * kMegabyte);
      CPPUNIT_ASSERT(connection.Receive(20 * kMegabyte));
    });
    Section("but not beyond half of the memory", [&] {
      account.FitOne(kRequest, 1000 * kMegabyte);
      CPPUNIT_ASSERT_EQUAL(32 * kMegabyte, account.Limit(kRequest));
    });
  }

private:
  StoppedClock mClock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);

} // namespace ragwortdeck
