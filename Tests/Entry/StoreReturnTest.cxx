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

} // namespace

/// \brief Tests hosts whose store comes back from an older copy of itself.
class StoreReturnTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreReturnTest);
  CPPUNIT_TEST(TestRevisionOfLostTable);
  CPPUNIT_TEST(TestRevisionBelowLostTables);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnTest);

} // namespace ragwortdeck
