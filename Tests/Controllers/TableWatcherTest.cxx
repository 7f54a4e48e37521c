#include "Controllers/TableWatcher.h"
#include "Controllers/TableKeys.h"
#include "Support/FakeKeyValueStore.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

/// \brief Client whose watches never deliver anything, as over a connection
/// that stalls without an error.
class StallingStore : public FakeKeyValueStore
{
public:
  using FakeKeyValueStore::FakeKeyValueStore;

  std::unique_ptr<KeyWatch> Watch(
    const std::string&,
    std::int64_t,
    std::function<void(const KeyEventBatch&)>,
    std::function<void(const KeyValueError&)>) override
  {
    return std::make_unique<KeyWatch>();
  }
};

} // namespace

/// \brief The watcher under faults of its calls.
class TableWatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableWatcherTest);
  CPPUNIT_TEST(TestStalledWatch);
  CPPUNIT_TEST(TestFailingCallsAreBounded);
  CPPUNIT_TEST(TestBadMarks);
  CPPUNIT_TEST_SUITE_END();

  VirtualScheduler mTime;
  std::shared_ptr<FakeKeyValueService> mService =
    std::make_shared<FakeKeyValueService>();
  TableReplica mReplica{ [](const std::shared_ptr<const Table>&) {} };
  HostMarks mMarks;

  std::unique_ptr<TableWatcher> Follow(KeyValueStore& aStore)
  {
    auto watcher = std::make_unique<TableWatcher>(
      mTime,
      RandomSource(1),
      aStore,
      TableWatcher::Hooks{
        [this](Table aTable) { mReplica.OfferTable(std::move(aTable)); },
        [this](HostMarks aMarks) { mMarks = std::move(aMarks); },
        [this] { return mReplica.Current(); },
        [this]() -> const HostMarks& { return mMarks; } });
    watcher->Start();
    return watcher;
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    mService->mState.Commit({ {}, { KeyOperation::Put(aKey, aValue) }, {} })
      .value();
  }

public:
  // Guards against a table that stays old behind a watch that stalls.
  void TestStalledWatch()
  {
    StallingStore store(mTime, mService);
    Put(TableKeys::kHead, "1");
    auto watcher = Follow(store);
    mTime.Advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mReplica.Version());
    Put(TableKeys::kHead, "2");
    Put(TableKeys::Host("engine-1"), R"({"state":"leaving"})");
    mTime.Advance(6s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), mReplica.Version());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), mMarks.mMarks.size());
  }

  // Guards against a client that uses up the service's rate limits while its
  // calls fail or its data are unusable.
  void TestFailingCallsAreBounded()
  {
    FakeKeyValueStore store(mTime, mService);
    Put(TableKeys::Row({ Sheet::kTeams, "taa" }), "no JSON");
    Put(TableKeys::kHead, "1");
    auto watcher = Follow(store);
    mTime.Advance(300s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mReplica.Version());
    const auto unusable = mService->mReads;
    CPPUNIT_ASSERT(unusable < 300);
    store.mFaultHook = [](std::uint64_t) { return KeyCallFault::kRefused; };
    mTime.Advance(300s);
    CPPUNIT_ASSERT(mService->mReads - unusable < 400);
    store.mFaultHook = {};
    Put(TableKeys::Row({ Sheet::kTeams, "taa" }), "{}");
    mTime.Advance(10s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mReplica.Version());
  }

  void TestBadMarks()
  {
    const std::string prefix = TableKeys::kHostPrefix;
    const auto marks = TableWatcher::ParseMarks(
      { { prefix + "a", R"({"state":"leaving"})", 1, 1, 1, 0 },
        { prefix + "b", "[]", 1, 1, 1, 0 },
        { prefix + "c", R"({"state":"asleep"})", 1, 1, 1, 0 },
        { prefix + "d", "\xff{", 1, 1, 1, 0 } });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), marks.size());
    CPPUNIT_ASSERT(marks.at("a").mKind == MarkKind::kLeaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatcherTest);

} // namespace ragwortdeck
