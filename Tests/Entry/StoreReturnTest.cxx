#include "Entry/SiteFleet.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

/// Longer than a proof that the table is current holds (EntrySettings).
constexpr milliseconds kLongerThanProof{ 5500 };

bool
HaveTable(const SiteFleet& aFleet, std::int64_t aVersion)
{
  return aFleet.All([&](const SiteFleet::Host& aHost) {
    return aHost.TableVersion() == aVersion;
  });
}

bool
AllAdmit(const SiteFleet& aFleet, const std::string& aKey)
{
  return aFleet.All(
    [&](const SiteFleet::Host& aHost) { return aHost.Admits(aKey); });
}

bool
NoneAdmits(const SiteFleet& aFleet, const std::string& aKey)
{
  return aFleet.All(
    [&](const SiteFleet::Host& aHost) { return !aHost.Admits(aKey); });
}

/// Whether all hosts have the target list of aRevision or a later one.
bool
HaveList(const SiteFleet& aFleet, std::int64_t aRevision)
{
  return aFleet.All([&](const SiteFleet::Host& aHost) {
    return aHost.mContext->mTargets.Version().mRevision >= aRevision;
  });
}

bool
AllUse(const SiteFleet& aFleet, const std::string& aTarget)
{
  return aFleet.All(
    [&](const SiteFleet::Host& aHost) { return aHost.Uses(aTarget); });
}

bool
NoneUses(const SiteFleet& aFleet, const std::string& aTarget)
{
  return aFleet.All(
    [&](const SiteFleet::Host& aHost) { return !aHost.Uses(aTarget); });
}

} // namespace

/// \brief Tests hosts whose store comes back from an older copy of itself.
class StoreReturnTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreReturnTest);
  CPPUNIT_TEST(TestRevisionOfLostTable);
  CPPUNIT_TEST(TestRevisionBelowLostTables);
  CPPUNIT_TEST(TestOlderTable);
  CPPUNIT_TEST(TestTableInParts);
  CPPUNIT_TEST(TestRevisionBelowLostList);
  CPPUNIT_TEST(TestRevisionOfLostList);
  CPPUNIT_TEST(TestTargetsOfCopy);
  CPPUNIT_TEST(TestTwoReturns);
  CPPUNIT_TEST(TestHangingWatches);
  CPPUNIT_TEST(TestHostAtLostStore);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a table that is never applied since it has the revision of
  /// a lost one, so that a removed key goes on being admitted (review/11).
  void TestRevisionOfLostTable()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "first", "second", "steady" });
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTarget("u");
    const auto lost = fleet.WriteTable(14, { "first", "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    fleet.WriteTable(14, { "first", "steady" });
    CPPUNIT_ASSERT_EQUAL(lost, fleet.WriteTable(19, { "steady" }));
    Section("the next table comes into force on all hosts", [&] {
      fleet.RunUntil([&] { return HaveTable(fleet, 19); });
      CPPUNIT_ASSERT(NoneAdmits(fleet, "first"));
    });
    Section("other callers are served on", [&] {
      fleet.RunFor(kLongerThanProof, [&] {
        CPPUNIT_ASSERT(NoneAdmits(fleet, "first"));
        CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
      });
    });
  }

  /// Guards against tables that are ignored, and callers that are refused for
  /// good, since revisions went back (review/12).
  void TestRevisionBelowLostTables()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" }, { "old" });
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    for (const int version : { 11, 13, 14 }) {
      fleet.WriteTable(version, { "steady" }, { "old" });
    }
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    fleet.WriteTable(14, { "steady" }, { "old" });
    Section("the table that is written again confirms the one that hosts have",
            [&] {
              fleet.RunFor(kLongerThanProof,
                           [&] { CPPUNIT_ASSERT(AllAdmit(fleet, "steady")); });
            });
    Section("the next one comes into force on all hosts", [&] {
      fleet.WriteTable(19, { "steady" });
      fleet.RunUntil([&] { return HaveTable(fleet, 19); });
      CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
      CPPUNIT_ASSERT(fleet.All([](const SiteFleet::Host& aHost) {
        return !aHost.Admits("", "old") && aHost.Admits("", "look");
      }));
    });
  }

  /// Guards against a host that goes back to the table of a copy, or refuses
  /// callers since the copy is older.
  void TestOlderTable()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "removed", "steady" });
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTable(14, { "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    Section("until the operator has written it again, the newer one holds",
            [&] {
              fleet.RunFor(kLongerThanProof, [&] {
                CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
                CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
              });
            });
    Section("a copy from before the first table changes nothing either", [&] {
      auto empty = copy;
      empty.mItems.erase("op/config");
      fleet.Store().Leave();
      fleet.Store().Return(empty);
      fleet.RunFor(kLongerThanProof, [&] {
        CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
        CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
      });
    });
  }

  /// Guards against parts of a large table that are told apart by revisions.
  void TestTableInParts()
  {
    SiteFleet fleet;
    RandomSource random(5);
    std::vector<std::string> keys = { "steady" };
    for (int i = 0; i < 8000; ++i) {
      keys.push_back(std::to_string(random.Below(1ULL << 60U)));
    }
    auto removed = keys;
    removed.emplace_back("removed");
    fleet.WriteTable(10, removed);
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTable(14, removed);
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    fleet.Store().Refuse(1);
    fleet.Store().Refuse(2);
    const auto revision = fleet.WriteTable(19, keys);
    CPPUNIT_ASSERT(revision <= copy.mRevision + 1);
    Section("hosts that the store refuses get the next table in parts", [&] {
      fleet.RunUntil([&] { return HaveTable(fleet, 19); });
      CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
      CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
    });
  }

  /// Guards against a leaving target that goes on being used since the list's
  /// revision is below that of a lost one (review/13).
  void TestRevisionBelowLostList()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    fleet.WriteTarget("t");
    fleet.WriteTarget("u");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    for (const int warmUp : { 900, 500, 1 }) {
      fleet.WriteTarget("u", "ready", 1000, warmUp);
    }
    const auto lost = fleet.Store().State().mRevision;
    fleet.RunUntil([&] { return HaveList(fleet, lost); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    fleet.WriteTarget("u");
    fleet.RunFor(milliseconds(500));
    fleet.WriteTarget("t", "draining");
    CPPUNIT_ASSERT(fleet.Store().State().mRevision < lost);
    fleet.RunUntil([&] { return NoneUses(fleet, "t"); });
    CPPUNIT_ASSERT(AllUse(fleet, "u"));
  }

  /// Guards against changes that are not seen since a watch goes on from the
  /// revision of a lost list, which is given out again.
  void TestRevisionOfLostList()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    fleet.WriteTarget("t");
    fleet.WriteTarget("u");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTarget("u", "ready", 1000, 500);
    fleet.WriteTarget("u", "ready", 1000, 1);
    const auto lost = fleet.Store().State().mRevision;
    fleet.RunUntil([&] { return HaveList(fleet, lost); });
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    fleet.WriteTarget("t", "draining");
    fleet.WriteTarget("u");
    CPPUNIT_ASSERT_EQUAL(lost, fleet.Store().State().mRevision);
    fleet.RunUntil([&] { return NoneUses(fleet, "t"); });
    CPPUNIT_ASSERT(AllUse(fleet, "u"));
  }

  /// Guards against what the list of a copy says of targets that changed after
  /// it.
  void TestTargetsOfCopy()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    for (const auto* id : { "leaving", "gone", "steady" }) {
      fleet.WriteTarget(id);
    }
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTarget("new");
    fleet.WriteTarget("leaving", "draining");
    fleet.Store().State().Remove("servers/gone");
    fleet.RunUntil([&] {
      return AllUse(fleet, "new") && NoneUses(fleet, "leaving") &&
             NoneUses(fleet, "gone");
    });
    const auto check = [&] {
      CPPUNIT_ASSERT(NoneUses(fleet, "leaving"));
      CPPUNIT_ASSERT(NoneUses(fleet, "gone"));
      CPPUNIT_ASSERT(AllUse(fleet, "new"));
      CPPUNIT_ASSERT(AllUse(fleet, "steady"));
    };
    fleet.Store().Leave();
    fleet.Store().Return(copy);
    Section("one that left is not used again, and a new one is kept", [&] {
      fleet.RunUntil([&] {
        check();
        return HaveList(fleet, copy.mRevision);
      });
      fleet.RunFor(milliseconds(800), check);
    });
    Section("so it is once they have written their entries again", [&] {
      fleet.WriteTarget("new");
      fleet.WriteTarget("leaving", "draining");
      fleet.Store().State().Remove("servers/gone");
      fleet.RunFor(milliseconds(2500), check);
    });
    Section("a later start of one that left is used", [&] {
      fleet.WriteTarget("gone", "ready", 2000);
      fleet.RunUntil([&] { return AllUse(fleet, "gone"); });
    });
  }

  /// Guards against the second of two returns being taken for the first.
  void TestTwoReturns()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "removed", "steady" });
    fleet.WriteTarget("t");
    fleet.WriteTarget("u");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    for (int warmUp = 1; warmUp < 10; ++warmUp) {
      fleet.WriteTarget("u", "ready", 1000, warmUp);
    }
    fleet.WriteTable(14, { "removed", "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    for (const int version : { 15, 16 }) {
      fleet.Store().Leave();
      fleet.Store().Return(copy);
      fleet.WriteTable(version, { "removed", "steady" });
      fleet.WriteTarget("u", "ready", 1000, version);
      fleet.RunFor(milliseconds(300));
    }
    Section("what is written after the second one holds", [&] {
      fleet.WriteTable(19, { "steady" });
      fleet.WriteTarget("t", "draining");
      fleet.RunUntil([&] {
        CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
        return HaveTable(fleet, 19) && NoneUses(fleet, "t");
      });
      CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
    });
  }

  /// Guards against a watch of an earlier era that is answered late.
  void TestHangingWatches()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    fleet.WriteTarget("t");
    fleet.WriteTarget("u");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    for (int i = 0; i < 3; ++i) {
      fleet.Store().HoldWatches(i);
    }
    fleet.WriteTarget("v");
    fleet.RunFor(milliseconds(100));
    fleet.Store().Return(copy);
    fleet.WriteTarget("t", "draining");
    fleet.WriteTarget("u", "ready", 1000, 1);
    fleet.RunFor(milliseconds(100));
    for (int i = 0; i < 3; ++i) {
      fleet.Store().Release(i);
    }
    Section("the list of the later era holds, now and later", [&] {
      const auto revision = fleet.Store().State().mRevision;
      fleet.RunUntil(
        [&] { return NoneUses(fleet, "t") && HaveList(fleet, revision); });
      fleet.RunFor(milliseconds(2500),
                   [&] { CPPUNIT_ASSERT(NoneUses(fleet, "t")); });
      CPPUNIT_ASSERT(NoneUses(fleet, "v"));
      CPPUNIT_ASSERT(AllUse(fleet, "u"));
    });
  }

  /// Guards against a host, and those that it tells, whose calls still reach
  /// what the store was before it came back.
  void TestHostAtLostStore()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "removed", "steady" });
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    const auto copy = fleet.Store().State();
    fleet.WriteTable(14, { "removed", "steady" });
    fleet.WriteTarget("t", "ready", 1000, 1);
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    const auto lost = std::make_shared<StoreState>(fleet.Store().State());
    // It goes on changing.
    lost->Put("servers/u", SiteFleet::EntryOf());
    for (const int host : { 0, 1 }) {
      fleet.Store().AnswerFrom(host, lost);
    }
    fleet.Store().Return(copy);
    fleet.WriteTable(19, { "steady" });
    fleet.WriteTarget("t", "draining");
    Section("all hosts follow the later era", [&] {
      fleet.RunUntil(
        [&] { return HaveTable(fleet, 19) && NoneUses(fleet, "t"); });
    });
    Section("and stay there, and serve", [&] {
      fleet.RunFor(kLongerThanProof, [&] {
        CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
        CPPUNIT_ASSERT(NoneUses(fleet, "t"));
        CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
      });
      CPPUNIT_ASSERT(NoneUses(fleet, "u"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnTest);

} // namespace ragwortdeck
