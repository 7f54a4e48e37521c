#include "Serving/CachedTable.h"
#include "Serving/TargetDirectory.h"
#include "Serving/TargetListChange.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;

MonotonicTime
At(int aMs)
{
  return MonotonicTime(milliseconds(aMs));
}

Route
MakeRoute(const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.mName = aPrefix;
  route.mHost = "Shop.Example";
  route.mPathPrefix = aPrefix;
  route.mServices = { { aService, 1 } };
  return route;
}

std::shared_ptr<const ServingTable>
MakeTable(std::int64_t aVersion, std::optional<std::vector<TeamSpec>> aTeams)
{
  auto open = MakeRoute("/open/", "s");
  open.mPublic = true;
  return std::make_shared<const ServingTable>(ServingTable::Create(
    { aVersion },
    { MakeRoute("/a/", "s"), MakeRoute("/a/b/", "longer"), open },
    { { "s", 10, std::nullopt } },
    {},
    std::move(aTeams)));
}

/// A version of a store that states no era.
StoreVersion
AtRevision(std::int64_t aRevision)
{
  return { {}, aRevision };
}

Target
MakeTarget(const std::string& aId, std::int64_t aBorn = 0)
{
  Target target;
  target.mId = aId;
  target.mBorn = aBorn;
  target.mService = "s";
  target.mEndpoint = { "10.0.0.1", 80 };
  return target;
}

} // namespace

/// \brief Tests the serving table, its cached copy, and the target directory.
class TableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(TestRoutes);
  CPPUNIT_TEST(TestWeightedServices);
  CPPUNIT_TEST(TestTableVersions);
  CPPUNIT_TEST(TestTableAge);
  CPPUNIT_TEST(TestTableInLaterEra);
  CPPUNIT_TEST(TestTableThatRevokesAllKeys);
  CPPUNIT_TEST(TestLeavingTargets);
  CPPUNIT_TEST(TestRestartedTargets);
  CPPUNIT_TEST(TestReportOfUnlistedTarget);
  CPPUNIT_TEST(TestStoreOutage);
  CPPUNIT_TEST(TestListOfLaterEra);
  CPPUNIT_TEST(TestTargetsOfOlderCopy);
  CPPUNIT_TEST(TestListChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRoutes()
  {
    const auto table = MakeTable(1, {});
    CPPUNIT_ASSERT_EQUAL(
      std::string("longer"),
      table->FindRoute("shop.example", "/a/b/c")->mServices[0].mService);
    CPPUNIT_ASSERT_EQUAL(
      std::string("/a/"),
      table->FindRoute("SHOP.example:80", "/a/bc?x=/a/b/")->mPathPrefix);
    CPPUNIT_ASSERT(!table->FindRoute("shop.example", "/a"));
    CPPUNIT_ASSERT(!table->FindRoute("other.example", "/a/"));
  }

  void TestWeightedServices()
  {
    auto route = MakeRoute("/a/", "big");
    route.mServices = { { "big", 90 }, { "small", 10 }, { "none", 0 } };
    int small = 0;
    for (int n = 0; n < 2000; ++n) {
      const auto id = "request-" + std::to_string(n);
      const auto& service = ChooseService(route, id);
      CPPUNIT_ASSERT(service != "none");
      CPPUNIT_ASSERT_EQUAL(service, ChooseService(route, id));
      small += service == "small" ? 1 : 0;
    }
    CPPUNIT_ASSERT(small > 140 && small < 260);
  }

  void TestTableVersions()
  {
    CachedTable cached({ milliseconds(4700), milliseconds(1700) });
    CPPUNIT_ASSERT(cached.Apply(MakeTable(7, {})));
    Section("an older table does not replace a newer one", [&] {
      CPPUNIT_ASSERT(!cached.Apply(MakeTable(6, {})));
      CPPUNIT_ASSERT(cached.Version() == TableVersion{ 7 });
    });
    Section("confirming an older table has no effect", [&] {
      cached.ConfirmCurrent({ 6 }, At(1000));
      CPPUNIT_ASSERT(!cached.ConfirmedAt());
    });
  }

  void TestTableAge()
  {
    CachedTable cached({ milliseconds(4700), milliseconds(1700) });
    Section("nothing is denied while no table is known", [&] {
      const auto admission = cached.Admit("shop.example", "/no/", "", At(0));
      CPPUNIT_ASSERT(!admission.mRoute &&
                     admission.mDenial == Denial::kTableNotCurrent);
    });
    cached.Apply(
      MakeTable(5, std::vector<TeamSpec>{ { "team", { "k" }, std::nullopt } }));
    cached.ConfirmCurrent({ 5 }, At(10000));
    const auto admit = [&](const char* aPath, const char* aKey, int aMs) {
      return cached.Admit("shop.example", aPath, aKey, At(aMs));
    };
    Section("a key is accepted while the table was confirmed recently",
            [&] { CPPUNIT_ASSERT(admit("/a/", "k", 14600).mTeam); });
    Section("after that, keyed requests are refused and public ones served",
            [&] {
              CPPUNIT_ASSERT(!admit("/a/", "k", 14700).mRoute);
              CPPUNIT_ASSERT(admit("/a/", "k", 14700).mDenial ==
                             Denial::kTableNotCurrent);
              CPPUNIT_ASSERT(admit("/open/", "", 14700).mRoute);
            });
    Section("only a recently confirmed table denies", [&] {
      CPPUNIT_ASSERT(admit("/a/", "x", 11000).mDenial == Denial::kUnknownKey);
      CPPUNIT_ASSERT(admit("/x/", "k", 11000).mDenial == Denial::kNoRoute);
      CPPUNIT_ASSERT(admit("/a/", "x", 11700).mDenial ==
                     Denial::kTableNotCurrent);
      CPPUNIT_ASSERT(admit("/x/", "k", 11700).mDenial ==
                     Denial::kTableNotCurrent);
    });
    Section("an earlier confirmation does not replace a later one", [&] {
      cached.ConfirmCurrent({ 5 }, At(9000));
      CPPUNIT_ASSERT(*cached.ConfirmedAt() == At(10000));
    });
  }

  /// Guards against a table of an older copy that counts as the newest one.
  void TestTableInLaterEra()
  {
    const std::vector<TeamSpec> teams = { { "team", { "k" }, std::nullopt } };
    const auto accepts = [](const CachedTable& aTable, int aMs) {
      return aTable.AcceptsKeyedRequests(At(aMs));
    };
    Section("a host that was up to date goes on", [&] {
      CachedTable cached({ milliseconds(4700), milliseconds(1700) });
      cached.Apply(MakeTable(5, teams));
      cached.ConfirmCurrent({ 5 }, At(10000));
      cached.BeginEra(At(11000));
      cached.ConfirmCurrent({ 5 }, At(11100));
      CPPUNIT_ASSERT(accepts(cached, 15700));
    });
    Section("one that was not waits to hear from another host", [&] {
      CachedTable cached({ milliseconds(4700), milliseconds(1700) });
      cached.Apply(MakeTable(5, teams));
      cached.ConfirmCurrent({ 5 }, At(10000));
      cached.BeginEra(At(15000));
      cached.ConfirmCurrent({ 5 }, At(16999));
      CPPUNIT_ASSERT(!accepts(cached, 16999));
      Section("which has the same table", [&] {
        auto other = cached;
        other.HostHeard(TableVersion{ 5 });
        other.ConfirmCurrent({ 5 }, At(16999));
        CPPUNIT_ASSERT(accepts(other, 16999));
      });
      Section("which has none, as when all hosts start", [&] {
        auto other = cached;
        other.HostHeard(std::nullopt);
        other.ConfirmCurrent({ 5 }, At(16999));
        CPPUNIT_ASSERT(accepts(other, 16999));
      });
      Section("which has a newer one: it is needed first", [&] {
        auto other = cached;
        other.HostHeard(TableVersion{ 7 });
        other.HostHeard(TableVersion{ 4 });
        other.ConfirmCurrent({ 5 }, At(30000));
        CPPUNIT_ASSERT(!accepts(other, 30000));
        CPPUNIT_ASSERT(other.Apply(MakeTable(7, teams)));
        other.ConfirmCurrent({ 7 }, At(30000));
        CPPUNIT_ASSERT(accepts(other, 30000));
      });
      Section("or until it has heard of nobody for long enough", [&] {
        cached.ConfirmCurrent({ 5 }, At(17000));
        CPPUNIT_ASSERT(accepts(cached, 17000));
        cached.ConfirmCurrent({ 5 }, At(17001));
        CPPUNIT_ASSERT(accepts(cached, 17001));
      });
    });
    Section("the first era that a starting host learns of is no exception",
            [&] {
              CachedTable cached({ milliseconds(4700), milliseconds(1700) });
              cached.BeginEra(At(0));
              cached.Apply(MakeTable(5, teams));
              cached.ConfirmCurrent({ 5 }, At(100));
              CPPUNIT_ASSERT(!accepts(cached, 100));
            });
    Section("but it may have heard from another host before", [&] {
      CachedTable cached({ milliseconds(4700), milliseconds(1700) });
      cached.HostHeard(std::nullopt);
      cached.BeginEra(At(0));
      cached.Apply(MakeTable(5, teams));
      cached.ConfirmCurrent({ 5 }, At(100));
      CPPUNIT_ASSERT(accepts(cached, 100));
    });
  }

  /// Guards against routes that are open to everybody once all teams, or all
  /// keys, are removed.
  void TestTableThatRevokesAllKeys()
  {
    const std::vector<TeamSpec> withKey = { { "team", { "k" }, std::nullopt } };
    const auto admit = [&](std::optional<std::vector<TeamSpec>> aTeams,
                           const char* aPath,
                           const char* aKey,
                           int aMs) {
      CachedTable cached({ milliseconds(4700), milliseconds(1700) });
      cached.Apply(MakeTable(1, withKey));
      cached.Apply(MakeTable(2, std::move(aTeams)));
      cached.ConfirmCurrent({ 2 }, At(10000));
      return cached.Admit("shop.example", aPath, aKey, At(aMs));
    };
    const std::vector<TeamSpec> noTeam;
    const std::vector<TeamSpec> noKeys = { { "team", {}, std::nullopt } };
    const std::vector<TeamSpec> emptyKey = { { "team", { "" }, std::nullopt } };
    for (const auto& teams : { noTeam, noKeys, emptyKey }) {
      Section("a removed key, one that never was, and none are denied", [&] {
        for (const auto* key : { "k", "x", "" }) {
          const auto admission = admit(teams, "/a/", key, 11000);
          CPPUNIT_ASSERT(!admission.mRoute);
          CPPUNIT_ASSERT(admission.mDenial == Denial::kUnknownKey);
        }
      });
      Section("once the table may be out of date, they are refused", [&] {
        const auto admission = admit(teams, "/a/", "k", 14700);
        CPPUNIT_ASSERT(!admission.mRoute);
        CPPUNIT_ASSERT(admission.mDenial == Denial::kTableNotCurrent);
      });
      Section("public routes are served", [&] {
        CPPUNIT_ASSERT(admit(teams, "/open/", "", 14700).mRoute);
      });
    }
    Section("a table without a list of teams requires no key", [&] {
      const auto admission = admit(std::nullopt, "/a/", "", 14700);
      CPPUNIT_ASSERT(admission.mRoute && !admission.mTeam);
    });
  }

  void TestLeavingTargets()
  {
    TargetDirectory directory;
    directory.Apply({ AtRevision(1), { { "t", MakeTarget("t") } } }, At(0));
    Section("an entry that is missing while the store answers is leaving", [&] {
      const auto left = directory.Apply({ AtRevision(2), {} }, At(200));
      CPPUNIT_ASSERT(left == std::vector<std::string>{ "t" });
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
    });
    Section("a leaving target is reported once", [&] {
      CPPUNIT_ASSERT(directory.Apply({ AtRevision(3), {} }, At(400)).empty());
    });
    Section("an older list changes nothing", [&] {
      directory.Apply({ AtRevision(1), { { "t", MakeTarget("t") } } }, At(500));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
    });
    Section("the report of a target itself overrides the list", [&] {
      directory.Apply({ AtRevision(4), { { "u", MakeTarget("u") } } }, At(600));
      CPPUNIT_ASSERT(directory.MarkLeaving("u", 0, At(700)));
      CPPUNIT_ASSERT(!directory.MarkLeaving("u", 0, At(800)));
      directory.Apply({ AtRevision(5), { { "u", MakeTarget("u") } } }, At(900));
      CPPUNIT_ASSERT(directory.Find("u")->mLeaving);
    });
  }

  void TestRestartedTargets()
  {
    const auto list = [](std::int64_t aRevision, std::int64_t aBorn) {
      return TargetList{ AtRevision(aRevision),
                         { { "t", MakeTarget("t", aBorn) } } };
    };
    Section("a target that started again is no longer leaving", [&] {
      TargetDirectory directory;
      directory.Apply(list(1, 1000), At(0));
      CPPUNIT_ASSERT(directory.MarkLeaving("t", 1000, At(100)));
      directory.Apply(list(2, 1000), At(200));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
      directory.Apply(list(3, 2000), At(300));
      CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
      Section("an entry of its earlier start changes nothing", [&] {
        CPPUNIT_ASSERT(directory.MarkLeaving("t", 2000, At(400)));
        directory.Apply(list(4, 1000), At(500));
        directory.Apply(list(5, 2000), At(600));
        CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
      });
      Section("nor does a late report of its earlier start", [&] {
        directory.Apply(list(6, 3000), At(700));
        CPPUNIT_ASSERT(!directory.MarkLeaving("t", 2000, At(800)));
        CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
      });
    });
    Section("a start that the list does not state yet", [&] {
      TargetDirectory directory;
      directory.Apply(list(1, 1000), At(0));
      CPPUNIT_ASSERT(directory.MarkLeaving("t", 2000, At(100)));
      directory.Apply(list(2, 2000), At(200));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
    });
    Section("a list that states no start, or states it later", [&] {
      TargetDirectory directory;
      directory.Apply(list(1, 0), At(0));
      CPPUNIT_ASSERT(directory.MarkLeaving("t", 0, At(100)));
      directory.Apply(list(2, 1000), At(200));
      directory.Apply(list(3, 0), At(300));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
      directory.Apply(list(4, 2000), At(400));
      CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
    });
    Section("a resumed run reaches a leaving target for a short time", [&] {
      TargetDirectory directory;
      directory.Apply(list(1, 1000), At(0));
      CPPUNIT_ASSERT(directory.Accepts("t", milliseconds(0), At(100)));
      directory.MarkLeaving("t", 1000, At(100));
      CPPUNIT_ASSERT(!directory.Accepts("t", milliseconds(0), At(100)));
      CPPUNIT_ASSERT(directory.Accepts("t", milliseconds(500), At(599)));
      CPPUNIT_ASSERT(!directory.Accepts("t", milliseconds(500), At(600)));
      CPPUNIT_ASSERT(!directory.Accepts("u", milliseconds(500), At(100)));
    });
  }

  void TestReportOfUnlistedTarget()
  {
    const TargetList listed{ AtRevision(2),
                             { { "t", MakeTarget("t", 1000) } } };
    Section("it takes effect when the target is listed", [&] {
      TargetDirectory directory;
      directory.Apply({ AtRevision(1), {} }, At(0));
      CPPUNIT_ASSERT(!directory.MarkLeaving("t", 1000, At(100)));
      const auto leaving = directory.Apply(listed, At(200));
      CPPUNIT_ASSERT(leaving == std::vector<std::string>{ "t" });
    });
    Section("it outlives an entry that was missing for long", [&] {
      TargetDirectory directory;
      directory.Apply(listed, At(0));
      directory.MarkLeaving("t", 1000, At(100));
      directory.Apply({ AtRevision(3), {} }, At(200));
      directory.Apply({ AtRevision(4), {} }, At(60000));
      CPPUNIT_ASSERT(!directory.Find("t"));
      directory.Apply({ AtRevision(5), listed.mTargets }, At(61000));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
    });
    Section("reports of any number of ids take bounded memory", [&] {
      TargetDirectory directory;
      directory.Apply({ AtRevision(1), {} }, At(0));
      for (std::size_t n = 0; n <= TargetDirectory::kMaxReports; ++n) {
        directory.MarkLeaving("i-" + std::to_string(n), 0, At(100));
      }
      TargetList list{ AtRevision(2), {} };
      for (const auto* id : { "i-0", "i-10000" }) {
        list.mTargets.emplace(id, MakeTarget(id));
      }
      directory.Apply(list, At(200));
      CPPUNIT_ASSERT(directory.Find("i-0")->mLeaving);
      CPPUNIT_ASSERT(!directory.Find("i-10000")->mLeaving);
    });
  }

  /// Guards against a list that is ignored, or targets that are given up, when
  /// the store comes back from a copy.
  void TestListOfLaterEra()
  {
    TargetDirectory directory;
    directory.Apply({ { { 1 }, 500 },
                      { { "t", MakeTarget("t") }, { "u", MakeTarget("u") } } },
                    At(0));
    Section("it replaces one of a higher revision", [&] {
      auto leaving = MakeTarget("t");
      leaving.mLeaving = true;
      const auto left =
        directory.Apply({ { { 2 }, 100 }, { { "t", leaving } } }, At(100));
      CPPUNIT_ASSERT(left == std::vector<std::string>{ "t" });
    });
    Section("a target that it lacks may register again", [&] {
      CPPUNIT_ASSERT(!directory.Find("u")->mLeaving);
      CPPUNIT_ASSERT(directory.Expire(At(1600)).empty());
    });
    Section("as long as after an outage", [&] {
      const auto left = directory.Expire(At(1700));
      CPPUNIT_ASSERT(left == std::vector<std::string>{ "u" });
    });
    Section("one of an earlier era changes nothing", [&] {
      directory.Apply({ { { 1 }, 900 }, { { "v", MakeTarget("v") } } },
                      At(1800));
      directory.Apply({ AtRevision(900), { { "v", MakeTarget("v") } } },
                      At(1800));
      CPPUNIT_ASSERT(!directory.Find("v"));
    });
  }

  /// Guards against an older copy of the list that undoes what is known of its
  /// targets.
  void TestTargetsOfOlderCopy()
  {
    const auto listOf = [](std::int64_t aEra, const Target& aTarget) {
      return TargetList{ { { aEra }, 100 }, { { aTarget.mId, aTarget } } };
    };
    const auto ready = MakeTarget("t", 1000);
    auto leaving = ready;
    leaving.mLeaving = true;
    Section("a target that was leaving, or gone, stays so", [&] {
      for (const auto& newest :
           { listOf(1, leaving), TargetList{ { { 1 }, 101 }, {} } }) {
        TargetDirectory directory;
        directory.Apply(listOf(1, ready), At(0));
        directory.Apply(newest, At(100));
        CPPUNIT_ASSERT(directory.Apply(listOf(2, ready), At(200)).empty());
        CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
        Section("also after a second return", [&] {
          directory.Apply(listOf(3, ready), At(9000));
          directory.Expire(At(10300));
          CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
        });
        Section("until it has been listed long enough", [&] {
          CPPUNIT_ASSERT(directory.Expire(At(18999)).empty());
          CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
          CPPUNIT_ASSERT(directory.Expire(At(19000)).empty());
          CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
        });
      }
    });
    Section("one whose entry lapses is gone", [&] {
      TargetDirectory directory;
      directory.Apply(listOf(1, leaving), At(0));
      directory.Apply(listOf(2, ready), At(100));
      directory.Apply({ { { 2 }, 101 }, {} }, At(4000));
      directory.Expire(At(20000));
      CPPUNIT_ASSERT(directory.Find("t")->mLeaving);
    });
    Section("a later start is used at once", [&] {
      TargetDirectory directory;
      directory.Apply(listOf(1, leaving), At(0));
      directory.Apply(listOf(2, MakeTarget("t", 2000)), At(100));
      CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
    });
    Section("the end of an earlier start does not end a later one", [&] {
      TargetDirectory directory;
      directory.Apply(listOf(1, MakeTarget("t", 2000)), At(0));
      CPPUNIT_ASSERT(directory.Apply(listOf(2, leaving), At(100)).empty());
      CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
    });
    Section("a target that has warmed up is not cold again", [&] {
      TargetDirectory directory;
      auto cold = ready;
      cold.mWarmUpMs = 900;
      directory.Apply(listOf(1, cold), At(0));
      directory.Apply(listOf(1, ready), At(1000));
      directory.Apply(listOf(2, cold), At(1100));
      CPPUNIT_ASSERT(directory.Find("t")->mWarmUpEnd <= At(1100));
      Section("unless it has started again", [&] {
        cold.mBorn = 2000;
        directory.Apply(listOf(2, cold), At(1200));
        CPPUNIT_ASSERT(directory.Find("t")->mWarmUpEnd == At(2100));
      });
    });
  }

  void TestListChange()
  {
    TargetList before;
    before.mVersion = AtRevision(10);
    for (int n = 0; n < 60; ++n) {
      const auto id = "i-" + std::to_string(n);
      before.mTargets.emplace(id, MakeTarget(id));
    }
    auto after = before;
    after.mVersion = AtRevision(12);
    after.mTargets["i-3"].mLeaving = true;
    after.mTargets.erase("i-4");
    after.mTargets.emplace("new", MakeTarget("new"));
    const auto change = TargetListChange::Between(before, after);
    Section("a change contains only the entries that differ", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), change.mUpdated.size());
      CPPUNIT_ASSERT(change.mRemoved == std::vector<std::string>{ "i-4" });
    });
    Section("applying it to the first list gives the second list", [&] {
      CPPUNIT_ASSERT(change.ApplyTo(before, after.mVersion) == after);
    });
    Section("it cannot be applied to any other list", [&] {
      auto other = before;
      other.mTargets.erase("i-7");
      CPPUNIT_ASSERT(!change.ApplyTo(other, after.mVersion));
    });
    Section("it applies to the same targets at another revision", [&] {
      auto later = before;
      later.mVersion = AtRevision(99);
      CPPUNIT_ASSERT_EQUAL(FingerprintOf(before), FingerprintOf(later));
      CPPUNIT_ASSERT(change.ApplyTo(later, after.mVersion) == after);
    });
    Section("it is unchanged by packing and unpacking", [&] {
      msgpack::sbuffer bytes;
      msgpack::pack(bytes, change);
      TargetListChange read;
      msgpack::unpack(bytes.data(), bytes.size()).get().convert(read);
      CPPUNIT_ASSERT(read == change);
      CPPUNIT_ASSERT(bytes.size() < 400);
    });
  }

  void TestStoreOutage()
  {
    TargetDirectory directory;
    directory.Apply(
      { AtRevision(1), { { "t", MakeTarget("t") }, { "u", MakeTarget("u") } } },
      At(0));
    Section("entries that expired while the store was unavailable are kept",
            [&] {
              CPPUNIT_ASSERT(
                directory.Apply({ AtRevision(2), {} }, At(5000)).empty());
              CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
            });
    Section("a target that registers again is kept", [&] {
      directory.Apply({ AtRevision(3), { { "t", MakeTarget("t") } } },
                      At(6000));
      CPPUNIT_ASSERT(!directory.Find("t")->mLeaving);
    });
    Section("a target that does not is leaving within two seconds", [&] {
      CPPUNIT_ASSERT(directory.Expire(At(6500)).empty());
      const auto left = directory.Expire(At(6900));
      CPPUNIT_ASSERT(left == std::vector<std::string>{ "u" });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

} // namespace ragwortdeck
