#include "Entry/SiteFleet.h"
#include "Support/Section.h"

#include <QByteArray>
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

/// Whether all hosts have the target list of aVersion or a later one.
bool
HaveList(const SiteFleet& aFleet, const StoreVersion& aVersion)
{
  return aFleet.All([&](const SiteFleet::Host& aHost) {
    return aHost.mContext->mTargets.Version() >= aVersion;
  });
}

/// Whether all hosts have a target list of aEra.
bool
HaveEra(const SiteFleet& aFleet, std::int64_t aEra)
{
  return HaveList(aFleet, { { aEra }, 0 });
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

/// The address of a host that a test speaks for.
constexpr int kForeignHost = 90;

std::string
Packed(const std::string& aBytes)
{
  return qCompress(QByteArray::fromStdString(aBytes)).toStdString();
}

std::string
PackedTable(std::int64_t aVersion, const std::vector<std::string>& aKeys)
{
  return Packed(SiteFleet::TableOf(aVersion, aKeys));
}

/// A list of one target.
std::string
PackedList(const std::string& aTarget)
{
  Target target;
  target.mId = aTarget;
  target.mService = "s";
  target.mEndpoint = { "127.0.5.250", 9 };
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, std::map<std::string, Target>{ { aTarget, target } });
  return Packed({ bytes.data(), bytes.size() });
}

/// Takes leases as another writer; returns the last number.
std::int64_t
TakeLeases(StoreState& aState, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aState.mLeases.insert(++aState.mLastLease);
  }
  return aState.mLastLease;
}

/// Whether the first aCount hosts are in the store's host list, under leases
/// with higher numbers than aAfter.
bool
AreListed(SiteFleet& aFleet, int aCount, std::int64_t aAfter)
{
  const auto& items = aFleet.Store().State().mItems;
  for (int i = 0; i < aCount; ++i) {
    const auto it = items.find("entry/" + SiteFleet::AddressOf(i));
    if (it == items.end() || it->second.mLease <= aAfter) {
      return false;
    }
  }
  return true;
}

/// Whether the first aCount hosts have read the host list after they wrote
/// their entries, which ends a registration.
bool
HaveRegistered(SiteFleet& aFleet, int aCount)
{
  std::set<int> hosts;
  for (const auto& call : aFleet.Store().Calls()) {
    if (call.mTarget.find("path_prefix=entry/") != std::string::npos &&
        call.mTarget.find("allow_stale") == std::string::npos) {
      hosts.insert(call.mHost);
    }
  }
  return AreListed(aFleet, aCount, 0) &&
         hosts.size() == static_cast<std::size_t>(aCount);
}

/// Starts aCount hosts, with the table 10 and the target "t"; returns a copy of
/// the store.
StoreState
Begin(SiteFleet& aFleet, int aCount, const std::vector<std::string>& aKeys)
{
  aFleet.WriteTable(10, aKeys);
  aFleet.WriteTarget("t");
  aFleet.StartAll(aCount);
  return aFleet.Store().State();
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
  CPPUNIT_TEST(TestWatchAnsweredInLaterEra);
  CPPUNIT_TEST(TestTargetsOfCopy);
  CPPUNIT_TEST(TestTwoReturns);
  CPPUNIT_TEST(TestHangingWatches);
  CPPUNIT_TEST(TestHostAtLostStore);
  CPPUNIT_TEST(TestStartingHost);
  CPPUNIT_TEST(TestFrozenHost);
  CPPUNIT_TEST(TestLeases);
  CPPUNIT_TEST(TestLeaseRenewedByNumber);
  CPPUNIT_TEST(TestMessagesOfEarlierEra);
  CPPUNIT_TEST(TestMessagesOfEarlierBuild);
  CPPUNIT_TEST(TestStoreWithoutEra);
  CPPUNIT_TEST(TestMalformedEras);
  CPPUNIT_TEST(TestCallsAfterReturn);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a table that is never applied since it has the revision of
  /// a lost one, so that a removed key goes on being admitted (review/11).
  void TestRevisionOfLostTable()
  {
    SiteFleet fleet;
    const auto copy = Begin(fleet, 3, { "first", "second", "steady" });
    fleet.WriteTarget("u");
    const auto lost = fleet.WriteTable(14, { "first", "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().LeaveAndReturn(copy);
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
    fleet.Store().LeaveAndReturn(copy);
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
    const auto copy = Begin(fleet, 3, { "removed", "steady" });
    fleet.WriteTable(14, { "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().LeaveAndReturn(copy);
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
      fleet.Store().LeaveAndReturn(empty);
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
    const auto copy = Begin(fleet, 3, removed);
    fleet.WriteTable(14, removed);
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().LeaveAndReturn(copy);
    fleet.Store().mDrops = [](int aHost, const std::string&) {
      return aHost != 0;
    };
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
    fleet.WriteTarget("u");
    const auto copy = Begin(fleet, 3, { "steady" });
    // More than the entries of the hosts themselves.
    for (int warmUp = 20; warmUp > 0; --warmUp) {
      fleet.WriteTarget("u", "ready", 1000, warmUp);
    }
    const auto lost = fleet.Store().State().mRevision;
    fleet.RunUntil([&] { return HaveList(fleet, { { 1 }, lost }); });
    fleet.Store().LeaveAndReturn(copy);
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
    fleet.WriteTarget("u");
    const auto copy = Begin(fleet, 3, { "steady" });
    fleet.WriteTarget("u", "ready", 1000, 500);
    fleet.WriteTarget("u", "ready", 1000, 1);
    const auto lost = fleet.Store().State().mRevision;
    fleet.RunUntil([&] { return HaveList(fleet, { { 1 }, lost }); });
    fleet.Store().LeaveAndReturn(copy);
    fleet.WriteTarget("t", "draining");
    fleet.WriteTarget("u");
    CPPUNIT_ASSERT_EQUAL(lost, fleet.Store().State().mRevision);
    fleet.RunUntil([&] { return NoneUses(fleet, "t"); });
    CPPUNIT_ASSERT(AllUse(fleet, "u"));
  }

  /// Guards against changes of a later era that are put on a list of an earlier
  /// one.
  void TestWatchAnsweredInLaterEra()
  {
    SiteFleet fleet;
    const auto copy = Begin(fleet, 2, { "steady" });
    fleet.WriteTarget("t", "draining");
    fleet.RunUntil([&] { return NoneUses(fleet, "t"); });
    const auto isWatch = [](const std::string& aTarget) {
      return aTarget.find("/kv-watch") != std::string::npos;
    };
    fleet.Store().mDrops = [&](int, const std::string& aTarget) {
      return !isWatch(aTarget);
    };
    fleet.Store().Return(copy);
    // A write of the target that was under way before.
    fleet.WriteTarget("u");
    fleet.WriteTarget("t");
    fleet.RunUntil([&] {
      CPPUNIT_ASSERT(NoneUses(fleet, "t"));
      return fleet.At(0).mContext->mEra.Latest() == StoreEra{ 2 };
    });
    fleet.RunFor(milliseconds(500),
                 [&] { CPPUNIT_ASSERT(NoneUses(fleet, "t")); });
    fleet.Store().mDrops = [](int, const std::string&) { return false; };
    fleet.RunUntil([&] {
      CPPUNIT_ASSERT(NoneUses(fleet, "t"));
      return AllUse(fleet, "u");
    });
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
    fleet.Store().LeaveAndReturn(copy);
    Section("one that left is not used again, and a new one is kept", [&] {
      fleet.RunUntil([&] {
        check();
        return HaveEra(fleet, 2);
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
    fleet.WriteTarget("u");
    const auto copy = Begin(fleet, 3, { "removed", "steady" });
    for (int warmUp = 1; warmUp < 10; ++warmUp) {
      fleet.WriteTarget("u", "ready", 1000, warmUp);
    }
    fleet.WriteTable(14, { "removed", "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    for (const int version : { 15, 16 }) {
      fleet.Store().LeaveAndReturn(copy);
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
    fleet.WriteTarget("u");
    const auto copy = Begin(fleet, 3, { "steady" });
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
      fleet.RunUntil([&] { return NoneUses(fleet, "t") && HaveEra(fleet, 2); });
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
    const auto copy = Begin(fleet, 3, { "removed", "steady" });
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
    Section("but the lost store proves nothing", [&] {
      fleet.At(2).mIsFrozen = true;
      fleet.RunUntil([&] {
        return !fleet.At(0).Admits("steady") && !fleet.At(1).Admits("steady");
      });
    });
  }

  /// Guards against a host that learns the table of the copy when it starts,
  /// while others have a newer one.
  void TestStartingHost()
  {
    SiteFleet fleet;
    const auto copy = Begin(fleet, 3, { "removed", "steady" });
    fleet.WriteTable(14, { "steady" });
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().LeaveAndReturn(copy);
    Section("it gets the newer one from them", [&] {
      const auto& host = fleet.Start(3);
      fleet.RunUntil([&] {
        CPPUNIT_ASSERT(!host.Admits("removed"));
        return host.Admits("steady");
      });
      CPPUNIT_ASSERT_EQUAL(std::int64_t(14), host.TableVersion());
    });
    Section("one that hears from nobody waits before it trusts the copy", [&] {
      const auto began = fleet.HostClock().Now();
      const auto& host = fleet.Start(4, true);
      fleet.RunUntil([&] { return host.TableVersion() == 10; });
      fleet.RunUntil([&] {
        CPPUNIT_ASSERT(host.Admits("", "look"));
        return host.Admits("steady");
      });
      CPPUNIT_ASSERT(fleet.HostClock().Now() - began >=
                     CachedTable::kHostSearch);
    });
  }

  /// Guards against a host that missed the lost table, and takes the copy for
  /// the newest.
  void TestFrozenHost()
  {
    SiteFleet fleet;
    const auto copy = Begin(fleet, 3, { "removed", "steady" });
    auto& frozen = fleet.At(2);
    frozen.mIsFrozen = true;
    fleet.WriteTable(14, { "steady" });
    fleet.WriteTarget("t", "draining");
    fleet.RunFor(kLongerThanProof);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(14), fleet.At(0).TableVersion());
    fleet.Store().LeaveAndReturn(copy);
    fleet.RunFor(milliseconds(500));
    frozen.mIsFrozen = false;
    fleet.RunUntil([&] {
      CPPUNIT_ASSERT(!frozen.Admits("removed"));
      return frozen.Admits("steady");
    });
    CPPUNIT_ASSERT_EQUAL(std::int64_t(14), frozen.TableVersion());
  }

  /// Guards against entries of the host list that stay lost.
  void TestLeases()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    fleet.WriteTarget("t");
    const auto copy = fleet.Store().State();
    fleet.StartAll(3);
    fleet.RunUntil([&] { return AreListed(fleet, 3, 0); });
    fleet.Store().LeaveAndReturn(copy);
    auto& state = fleet.Store().State();
    const auto others = TakeLeases(state, 3);
    fleet.RunUntil([&] { return AreListed(fleet, 3, others); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.Store().CountCalls("/kv-keep/"));
  }

  /// Guards against a lease whose number is another's in the later era.
  void TestLeaseRenewedByNumber()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "steady" });
    fleet.WriteTarget("t");
    const auto copy = fleet.Store().State();
    fleet.StartAll(3);
    fleet.RunUntil([&] { return HaveRegistered(fleet, 3); });
    fleet.Store().Return(copy);
    const auto others = TakeLeases(fleet.Store().State(), 3);
    fleet.Store().mDrops = [](int, const std::string& aTarget) {
      return aTarget.find("/kv-keep/") == std::string::npos;
    };
    fleet.HostClock().Advance(std::chrono::minutes(3));
    Section("a renewal is the first call that reaches the later era", [&] {
      fleet.RunUntil([&] { return fleet.Store().CountCalls("/kv-keep/") > 0; });
    });
    Section("its host lists itself again, under a lease of its own", [&] {
      fleet.Store().mDrops = [](int, const std::string&) { return false; };
      fleet.RunUntil([&] { return AreListed(fleet, 3, others); });
    });
  }

  /// Guards against contents and proofs of hosts that are behind.
  void TestMessagesOfEarlierEra()
  {
    SiteFleet fleet;
    fleet.WriteTable(10, { "removed", "steady" });
    fleet.WriteTarget("t");
    fleet.StartAll(2);
    auto& host = fleet.At(0);
    const auto copy = fleet.Store().State();
    fleet.Store().Return(copy);
    fleet.RunUntil([&] { return HaveEra(fleet, 2); });
    std::int64_t sent = 0;
    const auto message = [&](std::int64_t aEra) {
      HostMessage it;
      it.mHost = SiteFleet::AddressOf(kForeignHost);
      it.mIncarnation = 99;
      it.mSentAt = host.mContext->Now().time_since_epoch().count() + ++sent;
      it.mFailureDomain = "a";
      it.mStoreEra = { aEra };
      it.mTableVersion = TableVersion{ 10 };
      it.mListVersion = { { aEra }, 999 };
      it.mListFingerprint = 1;
      it.mList = PackedList("foreign");
      it.mStatesVersions = true;
      return it;
    };
    const auto send = [&](const HostMessage& aMessage) {
      fleet.SendRaw(kForeignHost, 0, aMessage);
      fleet.RunUntil([&] {
        const auto& peers = host.mExchange->Peers();
        const auto it = peers.find(aMessage.mHost);
        return it != peers.end() && it->second.mSentAt == aMessage.mSentAt;
      });
    };
    Section("a list of an earlier era is ignored", [&] {
      send(message(1));
      send(message(StoreEra::kUnknown));
      CPPUNIT_ASSERT(!host.Uses("foreign"));
      CPPUNIT_ASSERT(host.Uses("t"));
    });
    Section("so is a proof", [&] {
      fleet.Store().Leave();
      fleet.RunUntil([&] { return !host.Admits("steady"); });
      auto proof = message(1);
      proof.mProvenIncarnation = host.mExchange->Incarnation();
      proof.mProvenAt = host.mContext->Now().time_since_epoch().count();
      send(proof);
      CPPUNIT_ASSERT(!host.Admits("steady"));
      Section("while one of the latest era counts", [&] {
        proof.mStoreEra = { 2 };
        proof.mListVersion = {};
        proof.mProvenAt = host.mContext->Now().time_since_epoch().count();
        proof.mSentAt = proof.mProvenAt + ++sent;
        send(proof);
        CPPUNIT_ASSERT(host.Admits("steady"));
      });
    });
    Section("a newer table is taken from any era", [&] {
      auto newer = message(1);
      newer.mTableVersion = TableVersion{ 12 };
      newer.mTable = PackedTable(12, { "steady" });
      send(newer);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(12), host.TableVersion());
      CPPUNIT_ASSERT(!host.Admits("removed"));
    });
    Section("a list of a later era is taken", [&] {
      send(message(3));
      CPPUNIT_ASSERT(host.Uses("foreign"));
    });
  }

  /// Guards against messages of builds that state revisions only.
  void TestMessagesOfEarlierBuild()
  {
    for (const bool statesEra : { true, false }) {
      SiteFleet fleet;
      if (!statesEra) {
        fleet.Store().mWriteEra = [](int, std::int64_t, http::fields&) {};
      }
      fleet.WriteTable(10, { "removed", "steady" });
      fleet.WriteTarget("t");
      fleet.StartAll(2);
      auto& host = fleet.At(0);
      fleet.Store().Leave();
      fleet.RunUntil([&] { return !host.Admits("steady"); });
      HostMessage message;
      message.mHost = SiteFleet::AddressOf(kForeignHost);
      message.mIncarnation = 99;
      message.mSentAt = host.mContext->Now().time_since_epoch().count();
      message.mFailureDomain = "a";
      message.mFormerTableRevision = 999;
      message.mFormerListRevision = 999;
      message.mTable = PackedTable(12, { "foreign" });
      message.mList = PackedList("foreign");
      message.mTableRead = true;
      message.mListRead = true;
      message.mProvenIncarnation = host.mExchange->Incarnation();
      message.mProvenAt = message.mSentAt;
      fleet.SendRaw(kForeignHost, 0, message);
      fleet.RunUntil(
        [&] { return host.mExchange->Peers().contains(message.mHost); });
      CPPUNIT_ASSERT_EQUAL(std::int64_t(10), host.TableVersion());
      CPPUNIT_ASSERT(!host.Admits("steady") && !host.Admits("foreign"));
      CPPUNIT_ASSERT(host.Uses("t") && !host.Uses("foreign"));
    }
  }

  /// Guards against a change of what a store without eras is used for.
  void TestStoreWithoutEra()
  {
    SiteFleet fleet;
    fleet.Store().mWriteEra = [](int, std::int64_t, http::fields&) {};
    fleet.WriteTable(10, { "removed", "steady" });
    fleet.WriteTarget("t");
    fleet.StartAll(3);
    fleet.WriteTable(14, { "steady" });
    fleet.WriteTarget("t", "draining");
    fleet.WriteTarget("u");
    fleet.RunUntil([&] {
      return HaveTable(fleet, 14) && NoneUses(fleet, "t") && AllUse(fleet, "u");
    });
    CPPUNIT_ASSERT(NoneAdmits(fleet, "removed"));
    CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
    for (const auto* name : { "entry_store_answers_without_era_total",
                              "entry_outdated_store_answers_total",
                              "entry_store_returns_total" }) {
      CPPUNIT_ASSERT(fleet.All([&](const SiteFleet::Host& aHost) {
        return aHost.mContext->mMetrics.Value(name) == 0;
      }));
    }
  }

  /// Guards against answers without a usable era that move a host back.
  void TestMalformedEras()
  {
    for (const char* text : { "", "x", "-7", "99999999999999999999", "1" }) {
      Section(std::string("a host is told \"") + text + "\"", [&] {
        SiteFleet fleet;
        fleet.Store().State().mEra = 2;
        fleet.WriteTable(10, { "removed", "steady" });
        fleet.WriteTarget("t");
        fleet.StartAll(2);
        const auto lost = std::make_shared<StoreState>(fleet.Store().State());
        lost->mRevision += 50;
        fleet.WriteTable(14, { "steady" });
        fleet.WriteTarget("t", "draining");
        fleet.RunUntil(
          [&] { return HaveTable(fleet, 14) && NoneUses(fleet, "t"); });
        fleet.Store().AnswerFrom(0, lost);
        fleet.Store().mWriteEra =
          [&](int aHost, std::int64_t aEra, http::fields& aFields) {
            aFields.set("Store-Era", aHost == 0 ? text : std::to_string(aEra));
          };
        const auto& host = fleet.At(0);
        const std::string counted = std::string(text) == "1"
                                      ? "entry_outdated_store_answers_total"
                                      : "entry_store_answers_without_era_total";
        fleet.RunUntil([&] {
          CPPUNIT_ASSERT_EQUAL(std::int64_t(14), host.TableVersion());
          CPPUNIT_ASSERT(!host.Uses("t") && !host.Admits("removed"));
          CPPUNIT_ASSERT(AllAdmit(fleet, "steady"));
          return host.mContext->mMetrics.Value(counted) >= 5;
        });
        CPPUNIT_ASSERT(host.mContext->mEra.Latest() == StoreEra{ 2 });
      });
    }
  }

  /// Guards against a rush of all hosts to the store once it is back.
  void TestCallsAfterReturn()
  {
    constexpr int kHosts = 12;
    SiteFleet fleet;
    const auto copy = Begin(fleet, kHosts, { "steady" });
    fleet.WriteTable(14, { "steady" });
    fleet.WriteTarget("u");
    fleet.RunUntil([&] { return HaveTable(fleet, 14); });
    fleet.Store().Leave();
    fleet.RunFor(milliseconds(1000));
    const auto wholeReads = fleet.Store().CountCalls("path_prefix=servers/") -
                            fleet.Store().CountCalls("/kv-watch");
    fleet.Store().Return(copy);
    fleet.RunUntil([&] { return HaveEra(fleet, 2); });
    fleet.RunFor(milliseconds(1000));
    const auto after = fleet.Store().CountCalls("path_prefix=servers/") -
                       fleet.Store().CountCalls("/kv-watch");
    CPPUNIT_ASSERT(after > wholeReads);
    CPPUNIT_ASSERT(after - wholeReads < kHosts / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReturnTest);

} // namespace ragwortdeck
