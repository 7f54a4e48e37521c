#include "Controllers/TableReplica.h"
#include "Controllers/HostDirectory.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <QByteArray>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace ragwortdeck {

namespace {

/// Tables of versions 0 to aCount, each with a change of its own.
std::vector<Table>
Versions(std::size_t aCount)
{
  std::vector<Table> tables(1);
  for (std::size_t n = 1; n <= aCount; ++n) {
    auto table = tables.back();
    table.mVersion = n;
    const TeamName changed("team-" + std::to_string(n % 5));
    table.mTeams[changed] = { changed, std::uint32_t(n), 0, 0, 5 };
    if (n % 4 == 0) {
      table.mTeams.erase(TeamName("team-" + std::to_string((n + 2) % 5)));
    }
    const KindName kind("kind-" + std::to_string(n % 3));
    table.mKinds[kind].mKind = kind;
    tables.push_back(table);
  }
  return tables;
}

} // namespace

/// \brief Replica and host directory: what is newer wins, nothing reverts.
class TableReplicaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableReplicaTest);
  CPPUNIT_TEST(TestNeverRevertsUnderReordering);
  CPPUNIT_TEST(TestGapAndCatchUp);
  CPPUNIT_TEST(TestMergeRules);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards table-in-force against late, duplicated and reordered messages:
  // each table shown is one of the real versions, whole, and newer than the
  // one before.
  void TestNeverRevertsUnderReordering()
  {
    qputenv("RC_PARAMS", "seed=20261204 max_success=500");
    const auto tables = Versions(20);
    const bool holds = rc::check("replica only moves forward", [&] {
      std::uint64_t last = 0;
      TableReplica replica([&](const std::shared_ptr<const Table>& aTable) {
        RC_ASSERT(aTable->mVersion > last);
        RC_ASSERT(*aTable == tables[aTable->mVersion]);
        last = aTable->mVersion;
      });
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 21), rc::gen::inRange(0, 21)));
      std::uint64_t newestWhole = 0;
      for (const auto& [from, to] : steps) {
        if (from >= to) {
          newestWhole = std::max(newestWhole, std::uint64_t(to));
          replica.OfferTable(tables[std::size_t(to)]);
        } else {
          replica.OfferDelta(TableReplica::Difference(tables[std::size_t(from)],
                                                      tables[std::size_t(to)]));
        }
        RC_ASSERT(replica.Version() >= newestWhole);
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void TestGapAndCatchUp()
  {
    const auto tables = Versions(100);
    TableReplica ahead([](const std::shared_ptr<const Table>&) {});
    for (const auto& table : tables) {
      ahead.OfferTable(table);
    }
    TableReplica behind([](const std::shared_ptr<const Table>&) {});
    behind.OfferTable(tables[60]);
    Section("a delta that does not connect changes nothing", [&] {
      const auto delta = TableReplica::Difference(tables[61], tables[62]);
      CPPUNIT_ASSERT(behind.OfferDelta(delta) == ReplicaResult::kGap);
      CPPUNIT_ASSERT(*behind.Current() == tables[60]);
    });
    Section("the log of the one ahead connects", [&] {
      const auto deltas = ahead.DeltasSince(60);
      CPPUNIT_ASSERT(deltas);
      for (const auto& delta : *deltas) {
        CPPUNIT_ASSERT(behind.OfferDelta(delta) == ReplicaResult::kApplied);
      }
      CPPUNIT_ASSERT(*behind.Current() == tables[100]);
    });
    Section("the log is bounded", [&] {
      CPPUNIT_ASSERT(!ahead.DeltasSince(5));
      CPPUNIT_ASSERT(!ahead.DeltasSince(100));
    });
  }

  void TestMergeRules()
  {
    VirtualScheduler scheduler;
    int changes = 0;
    int loads = 0;
    HostDirectory directory(
      scheduler,
      HostId("entry-1"),
      [&] { ++changes; },
      [&](const TargetId&) { ++loads; });
    const DirectoryHost entry{
      "entry-1", HostRole::kEntry, "a:1", {}, false, {}, false
    };
    DirectoryHost engine{ "engine-1", HostRole::kEngine, "e:1", {}, false, {},
                          false };
    const auto stateOf = [&](const char* aTarget) {
      return directory.Targets().at(TargetId(aTarget)).mState;
    };
    directory.OnHostList({ entry, engine });
    Section("probes show a live target as down and up again", [&] {
      directory.OnReachable(TargetId("engine-1"), false);
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kDown);
      directory.OnReachable(TargetId("engine-1"), true);
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kLive);
    });
    Section("a report that changes only the load is no change of the view",
            [&] {
              LoadReport report;
              report.mMemoryTokens = 100;
              directory.OnLoad(TargetId("engine-1"), report, {});
              scheduler.Advance(std::chrono::seconds(1));
              const auto before = changes;
              report.mRunning = 7;
              directory.OnLoad(TargetId("engine-1"), report, {});
              CPPUNIT_ASSERT_EQUAL(before, changes);
              CPPUNIT_ASSERT_EQUAL(1, loads);
              CPPUNIT_ASSERT_EQUAL(
                7U, directory.LoadOf(TargetId("engine-1"))->mRunning);
            });
    Section(
      "a report that lists other models is one, and overrides the list", [&] {
        LoadReport report;
        report.mMemoryTokens = 100;
        report.mReadyModels = { ModelName("m") };
        scheduler.Advance(std::chrono::seconds(1));
        const auto before = changes;
        directory.OnLoad(TargetId("engine-1"), report, {});
        CPPUNIT_ASSERT(changes > before);
        CPPUNIT_ASSERT(directory.Targets().at(TargetId("engine-1")).mModels ==
                       std::vector<ModelName>{ ModelName("m") });
      });
    HostMarks marks{ 5, {} };
    Section("a leaving mark overrides the list and probes", [&] {
      marks.mMarks["engine-1"].mKind = MarkKind::kLeaving;
      directory.OnMarks(marks);
      directory.OnReachable(TargetId("engine-1"), false);
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kLeaving);
      directory.OnReachable(TargetId("engine-1"), true);
    });
    Section("older marks change nothing", [&] {
      directory.OnMarks({ 4, {} });
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kLeaving);
    });
    Section("leaving in the list overrides a joining mark", [&] {
      marks.mRevision = 6;
      marks.mMarks["engine-1"].mKind = MarkKind::kJoining;
      directory.OnMarks(marks);
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kLive);
      engine.mLeaving = true;
      directory.OnHostList({ entry, engine });
      CPPUNIT_ASSERT(stateOf("engine-1") == TargetState::kLeaving);
    });
    Section("a joining mark admits a host that is not listed", [&] {
      marks.mRevision = 7;
      marks.mMarks["engine-2"] = {
        MarkKind::kJoining, "engine", "e:2", {}, {}, false
      };
      directory.OnMarks(marks);
      CPPUNIT_ASSERT(stateOf("engine-2") == TargetState::kLive);
    });
    Section("an empty list is a fault of the list", [&] {
      directory.OnHostList({});
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory.Targets().size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.EntryHosts().size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableReplicaTest);

} // namespace ragwortdeck
