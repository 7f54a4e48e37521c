#include "Control/Fabric.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

constexpr Duration kEditGap = 700ms;

std::int64_t
Millis(Duration aTime)
{
  return aTime.count() / 1000;
}

} // namespace

/// \brief Table and marks of 20 hosts in 3 failure domains, in virtual time.
class TableSpreadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableSpreadTest);
  CPPUNIT_TEST(TestManyEdits);
  CPPUNIT_TEST(TestHalfOfThePeersKilled);
  CPPUNIT_TEST(TestStartDuringOutage);
  CPPUNIT_TEST(TestSplitFromTheService);
  CPPUNIT_TEST(TestMarkedHosts);
  CPPUNIT_TEST(TestCompaction);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against the promise of table-in-force: 2 s at the 99th percentile
  // on 20 hosts, with some loss between peers.
  void TestManyEdits()
  {
    Fabric fabric(20, 3, 11);
    fabric.mDrop = 0.01;
    fabric.Edit(1);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] {
      return fabric.AllAgree() && fabric.AllHave(1) &&
             fabric.Watchers().size() == 6;
    }));
    std::map<std::uint64_t, MonotonicTime> edited;
    for (std::uint32_t n = 0; n < 300; ++n) {
      edited[fabric.Edit(2 + n)] = fabric.mTime.Now();
      fabric.mTime.Advance(kEditGap);
    }
    fabric.mTime.Advance(5s);
    std::vector<Duration> times;
    for (const auto& [version, start] : edited) {
      Duration slowest{};
      for (const auto& host : fabric.mHosts) {
        const auto it = host.mInForce.lower_bound(version);
        CPPUNIT_ASSERT(it != host.mInForce.end());
        slowest = std::max(slowest, it->second - start);
      }
      times.push_back(slowest);
    }
    std::sort(times.begin(), times.end());
    const auto p99 = times[times.size() * 99 / 100];
    std::cout << "\n  in force on all 20 hosts: median "
              << Millis(times[times.size() / 2]) << " ms, 99th percentile "
              << Millis(p99) << " ms, worst " << Millis(times.back())
              << " ms\n";
    CPPUNIT_ASSERT(p99 <= 2s);
    CPPUNIT_ASSERT(!fabric.AnyReverted());
  }

  void TestHalfOfThePeersKilled()
  {
    Duration worst{};
    for (std::uint64_t seed = 100; seed < 130; ++seed) {
      Fabric fabric(20, 3, seed);
      fabric.Edit(1);
      fabric.StartAll();
      CPPUNIT_ASSERT(fabric.Until(
        30s, [&] { return fabric.AllAgree() && fabric.AllHave(1); }));
      // Once only the ranked hosts watch, all of them are killed: the worst
      // choice.
      fabric.mTime.Advance(15s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(6), fabric.Watchers().size());
      auto killed = fabric.Watchers();
      for (std::size_t n = 0; killed.size() < 10; ++n) {
        if (std::find(killed.begin(), killed.end(), n) == killed.end()) {
          killed.push_back(n);
        }
      }
      killed.resize(10);
      for (const auto host : killed) {
        fabric.Kill(host);
      }
      const auto version = fabric.Edit(2);
      const auto time =
        fabric.Until(20s, [&] { return fabric.AllHave(version); });
      CPPUNIT_ASSERT(time);
      worst = std::max(worst, *time);
    }
    std::cout << "\n  in force after half of 20 hosts, with all watchers, "
                 "were killed: worst of 30 seeds "
              << Millis(worst) << " ms\n";
    CPPUNIT_ASSERT(worst <= 5s);
  }

  void TestStartDuringOutage()
  {
    Fabric fabric(20, 3, 12);
    fabric.Edit(1);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(
      30s, [&] { return fabric.AllAgree() && fabric.AllHave(1); }));
    const auto version = fabric.Edit(5);
    CPPUNIT_ASSERT(fabric.Until(5s, [&] { return fabric.AllHave(version); }));
    fabric.mService->mDown = true;
    Section("a watcher and another host restart without the service", [&] {
      const auto watcher = fabric.Watchers().front();
      for (const auto host : { watcher, (watcher + 1) % 20 }) {
        fabric.Kill(host);
        fabric.Start(host);
      }
      CPPUNIT_ASSERT(
        fabric.Until(10s, [&] { return fabric.AllHave(version); }));
    });
    Section("calls during the outage stay bounded", [&] {
      fabric.mTime.Advance(30s);
      fabric.ResetCounters();
      fabric.mTime.Advance(60s);
      const auto calls = fabric.mService->mReads + fabric.mService->mWatches;
      // 6 watchers with 2 watches each, at most one call per pause of at
      // least 2.5 s.
      CPPUNIT_ASSERT(calls <= 12 * 60 / 2.5);
    });
    Section("the service returns", [&] {
      fabric.mService->mDown = false;
      fabric.mTime.Advance(10s);
      const auto next = fabric.Edit(6);
      CPPUNIT_ASSERT(fabric.Until(3s, [&] { return fabric.AllHave(next); }));
    });
    CPPUNIT_ASSERT(!fabric.AnyReverted());
  }

  void TestSplitFromTheService()
  {
    Fabric fabric(20, 3, 13);
    fabric.Edit(1);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(
      30s, [&] { return fabric.AllAgree() && fabric.AllHave(1); }));
    std::vector<std::size_t> left;
    std::vector<std::size_t> right;
    for (std::size_t n = 0; n < 20; ++n) {
      (n % 3 == 0 ? left : right).push_back(n);
    }
    fabric.Split(left, right);
    for (const auto host : left) {
      fabric.mHosts[host].mStore->mCutOff = true;
    }
    const auto version = fabric.Edit(2);
    fabric.mTime.Advance(60s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         fabric.mHosts[0].mView.mTable.mVersion);
    CPPUNIT_ASSERT_EQUAL(version, fabric.mHosts[1].mView.mTable.mVersion);
    Section("peers bring the version although the service stays away", [&] {
      fabric.Heal();
      CPPUNIT_ASSERT(fabric.Until(
        60s, [&] { return fabric.AllAgree() && fabric.AllHave(version); }));
    });
    CPPUNIT_ASSERT(!fabric.AnyReverted());
  }

  // Guards leaving-gets-no-work: the mark must be in the view of every host
  // within 3 s, for entry hosts and targets.
  void TestMarkedHosts()
  {
    Fabric fabric(20, 3, 14);
    fabric.mDrop = 0.01;
    fabric.Edit(1);
    fabric.StartAll();
    std::vector<DirectoryHost> list;
    for (const auto& host : fabric.mHosts) {
      list.push_back({ host.mId.Value(),
                       HostRole::kEntry,
                       host.mId.Value(),
                       host.mDomain,
                       false,
                       {},
                       false });
    }
    list.push_back(
      { "engine-1", HostRole::kEngine, "e:1", {}, false, {}, false });
    CPPUNIT_ASSERT(fabric.Until(
      30s, [&] { return fabric.AllAgree() && fabric.AllHave(1); }));
    for (auto& host : fabric.mHosts) {
      host.mCore->OnHostList(list);
    }
    fabric.mTime.Advance(5s);
    const auto inForce = [&](bool aMarked) {
      return std::all_of(
        fabric.mHosts.begin(), fabric.mHosts.end(), [&](FabricHost& aHost) {
          const auto& engine = aHost.mView.mTargets.at(TargetId("engine-1"));
          const bool leaving = engine.mState == TargetState::kLeaving;
          const bool self = aHost.mId == HostId("entry-5");
          return leaving == aMarked &&
                 aHost.mView.mThisHostLeaving == (aMarked && self);
        });
    };
    const auto mark = [&] {
      fabric.Mark("engine-1", R"({"state":"leaving"})");
      fabric.Mark("entry-5", R"({"state":"leaving"})");
    };
    Duration worst{};
    for (int n = 0; n < 20; ++n) {
      mark();
      const auto marked = fabric.Until(10s, [&] { return inForce(true); });
      CPPUNIT_ASSERT(marked);
      worst = std::max(worst, *marked);
      fabric.Unmark("engine-1");
      fabric.Unmark("entry-5");
      CPPUNIT_ASSERT(fabric.Until(10s, [&] { return inForce(false); }));
    }
    std::cout << "\n  leaving marks in force on all 20 hosts: worst of 20 "
              << Millis(worst) << " ms\n";
    CPPUNIT_ASSERT(worst <= 3s);
    Section("a host that starts during an outage learns the marks", [&] {
      mark();
      CPPUNIT_ASSERT(fabric.Until(10s, [&] { return inForce(true); }));
      fabric.mService->mDown = true;
      fabric.Kill(5);
      fabric.Start(5);
      fabric.mHosts[5].mCore->OnHostList(list);
      CPPUNIT_ASSERT(fabric.Until(
        10s, [&] { return fabric.mHosts[5].mView.mThisHostLeaving; }));
    });
  }

  // Guards against a watch that ends because its revision is gone.
  void TestCompaction()
  {
    Fabric fabric(6, 3, 15);
    fabric.mService->mState = KeyValueState(20);
    fabric.Edit(1);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(
      30s, [&] { return fabric.AllAgree() && fabric.AllHave(1); }));
    Section("the history is compacted while the watchers are cut off", [&] {
      for (auto& host : fabric.mHosts) {
        host.mStore->mCutOff = true;
      }
      std::uint64_t version = 0;
      for (std::uint32_t n = 0; n < 100; ++n) {
        version = fabric.Edit(10 + n);
      }
      fabric.mTime.Advance(10s);
      for (auto& host : fabric.mHosts) {
        host.mStore->mCutOff = false;
      }
      CPPUNIT_ASSERT(
        fabric.Until(10s, [&] { return fabric.AllHave(version); }));
    });
    CPPUNIT_ASSERT(!fabric.AnyReverted());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableSpreadTest);

} // namespace ragwortdeck
