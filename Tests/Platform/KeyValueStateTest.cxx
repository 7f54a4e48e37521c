#include "StandIns/KeyValueState.h"
#include "Support/FakeKeyValueStore.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief The fake key-value service has the semantics that controllers rely
/// on, and its faults do what their names say.
class KeyValueStateTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyValueStateTest);
  CPPUNIT_TEST(TestCompareAndSwap);
  CPPUNIT_TEST(TestLeaseExpiryRemovesKeys);
  CPPUNIT_TEST(TestCompactedHistory);
  CPPUNIT_TEST(TestLostReplyTakesEffect);
  CPPUNIT_TEST(TestWatchDeliversInOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestCompareAndSwap()
  {
    KeyValueState state;
    const KeyTransaction create{
      { { "k", KeyCompare::Field::kCreateRevision, 0 } },
      { KeyOperation::Put("k", "1") },
      { KeyOperation::Range("k") }
    };
    CPPUNIT_ASSERT(state.Commit(create).value().mSucceeded);
    const auto second = state.Commit(create).value();
    CPPUNIT_ASSERT(!second.mSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), second.mRanges[0][0].mValue);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), state.Revision());
  }

  void TestLeaseExpiryRemovesKeys()
  {
    KeyValueState state;
    const MonotonicTime start{ 0s };
    const auto lease = state.GrantLease(5s, start);
    state.Commit({ {}, { KeyOperation::Put("k", "1", lease) }, {} }).value();
    state.KeepAlive(lease, start + 4s);
    state.ExpireLeases(start + 8s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.Range("k", false).mKeys.size());
    state.ExpireLeases(start + 9s);
    CPPUNIT_ASSERT(state.Range("k", false).mKeys.empty());
    CPPUNIT_ASSERT(!state.KeepAlive(lease, start + 9s));
    CPPUNIT_ASSERT(
      !state.Commit({ {}, { KeyOperation::Put("k", "1", lease) }, {} }));
  }

  void TestCompactedHistory()
  {
    KeyValueState state(2);
    for (int n = 0; n < 4; ++n) {
      state.Commit({ {}, { KeyOperation::Put("k", "v") }, {} }).value();
    }
    CPPUNIT_ASSERT(!state.EventsSince("k", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), state.EventsSince("k", 4)->size());
  }

  void TestLostReplyTakesEffect()
  {
    VirtualScheduler scheduler;
    auto service = std::make_shared<FakeKeyValueService>();
    FakeKeyValueStore store(scheduler, service);
    store.mFaultHook = [](std::uint64_t aIndex) {
      return aIndex == 0 ? KeyCallFault::kReplyLost
                         : KeyCallFault::kRequestLost;
    };
    int unknown = 0;
    const auto callback = [&](
                            const KeyValueResult<KeyTransactionReply>& aReply) {
      CPPUNIT_ASSERT(!aReply);
      CPPUNIT_ASSERT(aReply.error().mEffect == KeyValueError::Effect::kUnknown);
      ++unknown;
    };
    store.Commit({ {}, { KeyOperation::Put("a", "1") }, {} }, callback);
    store.Commit({ {}, { KeyOperation::Put("b", "1") }, {} }, callback);
    scheduler.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(2, unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         service->mState.Range("a", false).mKeys.size());
    CPPUNIT_ASSERT(service->mState.Range("b", false).mKeys.empty());
  }

  void TestWatchDeliversInOrder()
  {
    VirtualScheduler scheduler;
    auto service = std::make_shared<FakeKeyValueService>();
    FakeKeyValueStore store(scheduler, service);
    std::vector<std::int64_t> revisions;
    bool failed = false;
    auto watch = store.Watch(
      "t/",
      0,
      [&](const KeyEventBatch& aBatch) {
        revisions.push_back(aBatch.mRevision);
      },
      [&](const KeyValueError&) { failed = true; });
    for (const auto* key : { "t/1", "u/1", "t/2" }) {
      service->mState.Commit({ {}, { KeyOperation::Put(key, "") }, {} })
        .value();
    }
    scheduler.Advance(1s);
    CPPUNIT_ASSERT(revisions == (std::vector<std::int64_t>{ 2, 4 }));
    service->mDown = true;
    scheduler.Advance(1s);
    CPPUNIT_ASSERT(failed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyValueStateTest);

} // namespace ragwortdeck
