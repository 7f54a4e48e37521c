#include "FleetCodec.h"
#include "Support/Section.h"

#include <QByteArray>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace ragwortdeck {

namespace {

std::string
Base64(const std::string& aText)
{
  return QByteArray::fromStdString(aText).toBase64().toStdString();
}

/// An item of the store with a target's entry.
std::string
Item(const std::string& aId, const std::string& aValue)
{
  return "{\"key\":\"servers/" + aId + "\",\"value\":\"" + Base64(aValue) +
         "\",\"revision\":3}";
}

constexpr const char* kEntry =
  R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":1,)"
  R"("slots":24,"state":"ready","cold_remaining_ms":250.5,"sequence":2,)"
  R"("born":1700000000000})";

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

/// Arrays in one another, deeper than a recursion could follow.
std::string
Nested()
{
  constexpr std::size_t kLevels = 100000;
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

constexpr const char* kTable = R"({"version":7,"routes":[
 {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming",
  "timeout_ms":6000,"goal_ms":1500,"priority":0,"service":"s1",
  "max_attempts":2,"public":false,"resumable":true,"gap_target_ms":180},
 {"name":"r2","host":"h","path_prefix":"/b/","kind":"safe","timeout_ms":1000,
  "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
 "services":[{"name":"s1","max_connections":538,"engine":{"slots":24,
  "kv_token_capacity":34149,"token_kv_bytes":163840,"link_mbps":24000.0,
  "moves":true,"stride":4}},{"name":"s2","max_connections":244}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}],"new":{}})";

} // namespace

/// \brief Tests decoding and encoding of the platform's messages.
class FleetCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetCodecTest);
  CPPUNIT_TEST(TestTable);
  CPPUNIT_TEST(TestTableWithoutTeams);
  CPPUNIT_TEST(TestHosts);
  CPPUNIT_TEST(TestHugeNumbers);
  CPPUNIT_TEST(TestTargets);
  CPPUNIT_TEST(TestOddEntries);
  CPPUNIT_TEST(TestNestedWithoutEnd);
  CPPUNIT_TEST(TestKeysThatAreNoText);
  CPPUNIT_TEST(TestNumbersOutOfRange);
  CPPUNIT_TEST(TestHeaderLines);
  CPPUNIT_TEST(TestRequests);
  CPPUNIT_TEST(TestResponses);
  CPPUNIT_TEST(TestCalls);
  CPPUNIT_TEST(TestStoreEra);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestTable()
  {
    const FleetCodec codec;
    const auto table = codec.ReadTable(kTable).value();
    CPPUNIT_ASSERT(table.Version() == TableVersion{ 7 });
    const auto* route = table.FindRoute("h", "/a/x");
    CPPUNIT_ASSERT(route && route->mKind == RouteKind::kStream);
    CPPUNIT_ASSERT(route->mResumable &&
                   route->mEventGapGoal == Milliseconds(180));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         table.FindRoute("h", "/b/")->mServices.size());
    const auto& engine = *table.FindService("s1")->mEngine;
    CPPUNIT_ASSERT_EQUAL(std::int64_t(34149), engine.mMemoryTokens);
    CPPUNIT_ASSERT_EQUAL(4, engine.mTokensPerEvent);
    CPPUNIT_ASSERT(!table.FindService("s2")->mEngine);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(100), table.Limits().mBodyBytes);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), table.FindTeam("k2")->mName);
    Section("an invalid table is an error, not an empty table", [&] {
      CPPUNIT_ASSERT(!codec.ReadTable("{"));
      CPPUNIT_ASSERT(!codec.ReadTable("{\"version\":\"x\",\"routes\":[]}"));
      CPPUNIT_ASSERT(!codec.ReadTable("[]"));
    });
  }

  /// Guards against a list of teams that is read as if the table had none.
  void TestTableWithoutTeams()
  {
    const FleetCodec codec;
    const auto read = [&](const std::string& aTeams) {
      return codec.ReadTable(R"({"version":1,"routes":[],"services":[])" +
                             aTeams + "}");
    };
    Section("no list: requests need no key",
            [&] { CPPUNIT_ASSERT(!read("").value().RequiresKeys()); });
    Section("an empty list, or a team without keys: no key is accepted", [&] {
      for (const auto* teams :
           { R"(,"tenants":[])",
             R"(,"tenants":[{"name":"t"}])",
             R"(,"tenants":[{"name":"t","api_keys":[]}])" }) {
        const auto table = read(teams).value();
        CPPUNIT_ASSERT_MESSAGE(teams, table.RequiresKeys());
        CPPUNIT_ASSERT_MESSAGE(teams, !table.FindTeam("k"));
      }
    });
    Section("what is no list is an invalid table", [&] {
      for (const auto* teams : { "null", "{}", "0", "false", "\"\"" }) {
        CPPUNIT_ASSERT_MESSAGE(teams,
                               !read(R"(,"tenants":)" + std::string(teams)));
      }
    });
  }

  void TestHosts()
  {
    const FleetCodec codec;
    Section("the host list of a large site comes in pages", [&] {
      const auto page = codec
                          .ReadHosts("{\"items\":[{\"key\":\"entry/10.0.0.1\","
                                     "\"value\":\"" +
                                     Base64("10.0.0.1") +
                                     "\"}],\"has_more\":true,"
                                     "\"current_rev\":7}")
                          .value();
      CPPUNIT_ASSERT(page.mHosts == std::vector<std::string>{ "10.0.0.1" });
      CPPUNIT_ASSERT_EQUAL(std::string("entry/10.0.0.1"), page.mNext);
      CPPUNIT_ASSERT(codec.HostsRead(page.mNext, false)
                       .mPath.ends_with("&after=entry/10.0.0.1"));
      CPPUNIT_ASSERT(codec.HostsRead(page.mNext, true)
                       .mPath.ends_with("&after=entry/10.0.0.1&allow_stale=1"));
    });
  }

  void TestHugeNumbers()
  {
    // Without a limit, the conversion of such a number is undefined, and sums
    // with others overflow.
    const FleetCodec codec;
    for (const auto* text : { "1e300", "-1e300", "inf", "nan" }) {
      HttpFields fields;
      fields.set("Deadline-Ms", text);
      fields.set("Length-Hint", text);
      fields.set("Token-Count", "9223372036854775807,9223372036854775807");
      const auto headers = codec.ReadCallerHeaders(fields);
      CPPUNIT_ASSERT(std::abs(headers.mTimeLeft->count()) <= 1'000'000'000'000);
      CPPUNIT_ASSERT(std::abs(headers.mExpectedOutputTokens) <=
                     1'000'000'000'000);
      CPPUNIT_ASSERT(headers.mPromptTokens + headers.mMaxOutputTokens > 0);
    }
  }

  void TestTargets()
  {
    const FleetCodec codec;
    const auto item = [](const std::string& aId, const std::string& aValue) {
      return "{\"key\":\"servers/" + aId + "\",\"value\":\"" + Base64(aValue) +
             "\",\"revision\":3}";
    };
    const std::string good =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":24,)"
      R"("state":"draining","cold_remaining_ms":250.5})";
    const auto page =
      codec
        .ReadTargets(
          "{\"items\":[" + item("i-1", good) + "," + item("i-2", "not json") +
          "," + item("i-3", R"({"service":"s"})") + "," +
          item("i-4",
               R"({"service":"s","address":"x","zone":"a","slots":1,)"
               R"("state":"ready"})") +
          "," +
          item("i-5",
               R"({"service":"s","address":"1.1.1.1:1","zone":"a",)"
               R"("slots":1,"state":"odd"})") +
          "],\"has_more\":true,\"current_rev\":530}")
        .value();
    Section("a valid entry is a target", [&] {
      const auto& target = page.mTargets.at("i-1");
      CPPUNIT_ASSERT(target.mEndpoint == (Endpoint{ "10.0.0.9", 8080 }));
      CPPUNIT_ASSERT(target.mLeaving);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(250), target.mWarmUpMs);
    });
    Section("an invalid entry is reported and gives no target", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.mTargets.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), page.mUnreadable.size());
    });
    Section("the start of a target", [&] {
      const auto targetBorn = [&](const std::string& aBorn) {
        auto value = good;
        value.back() = ',';
        const auto targets =
          codec
            .ReadTargets("{\"items\":[" +
                         item("i-1", value + "\"born\":" + aBorn + "}") +
                         "],\"current_rev\":1}")
            .value()
            .mTargets;
        const auto it = targets.find("i-1");
        return it == targets.end() ? std::nullopt
                                   : std::optional(it->second.mBorn);
      };
      CPPUNIT_ASSERT(targetBorn("1780000000123") == 1780000000123);
      Section("one that is out of range is not known", [&] {
        for (const auto* odd :
             { "0", "1780000000123000000", "18446744073709551615" }) {
          CPPUNIT_ASSERT(targetBorn(odd) == 0);
        }
      });
      Section("an entry with one that is no whole number is odd", [&] {
        for (const auto* odd :
             { "-5", "1780000000123.5", "\"1780000000123\"", "[1]", "null" }) {
          CPPUNIT_ASSERT(!targetBorn(odd));
        }
      });
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), page.mTargets.at("i-1").mBorn);
    });
    Section("changes name the newest state of each target", [&] {
      const auto changes =
        codec
          .ReadTargetChanges(
            "{\"events\":[" + item("i-1", "not json") + "," +
            item("i-1", good) + "," + item("i-2", good) +
            ",{\"key\":\"servers/i-2\",\"revision\":9,\"tombstone\":true}," +
            item("i-3", "{}") + "],\"current_rev\":541}")
          .value();
      CPPUNIT_ASSERT_EQUAL(std::int64_t(541), changes.mRevision);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes.mTargets.size());
      CPPUNIT_ASSERT(changes.mTargets.at("i-1").has_value());
      CPPUNIT_ASSERT(!changes.mTargets.at("i-2").has_value());
      CPPUNIT_ASSERT(!changes.mTargets.at("i-3").has_value());
    });
    Section("malformed changes are an error", [&] {
      CPPUNIT_ASSERT(!codec.ReadTargetChanges("{\"events\":[{}]}"));
      CPPUNIT_ASSERT(!codec.ReadTargetChanges("{\"current_rev\":3}"));
      CPPUNIT_ASSERT(!codec.ReadTargetChanges(
        "{\"current_rev\":3,\"events\":[{\"key\":4}]}"));
    });
    Section("the next page begins after the last key", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("servers/i-5"), page.mNext);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(530), page.mRevision);
    });
  }

  void TestOddEntries()
  {
    // An entry of another writer names no target to use; the others hold.
    const FleetCodec codec;
    const auto good = Item("i-1", kEntry);
    const auto isUsed = [&](const std::string& aItem) {
      const auto page = codec.ReadTargets("{\"items\":[" + aItem + "," + good +
                                          "],\"current_rev\":3}");
      const auto changes = codec.ReadTargetChanges(
        "{\"events\":[" + aItem + "," + good + "],\"current_rev\":3}");
      CPPUNIT_ASSERT(page && changes);
      const auto& list = page.value().mTargets;
      const auto& changed = changes.value().mTargets;
      CPPUNIT_ASSERT(list.contains("i-1") && changed.at("i-1"));
      const auto used = list.size() - 1;
      CPPUNIT_ASSERT_EQUAL(
        used,
        static_cast<std::size_t>(
          std::count_if(changed.begin(),
                        changed.end(),
                        [](const auto& it) { return it.second.has_value(); }) -
          1));
      return used == 1;
    };
    const auto isUsedWith = [&](const char* aFrom, const std::string& aTo) {
      return isUsed(Item("odd", Replaced(kEntry, aFrom, aTo)));
    };
    Section("a target's own entry",
            [&] { CPPUNIT_ASSERT(isUsed(Item("i-2", kEntry))); });
    Section("without the fields that are not needed", [&] {
      CPPUNIT_ASSERT(isUsedWith(",\"born\":1700000000000", ""));
      CPPUNIT_ASSERT(isUsedWith("\"version\":1", "\"version\":\"1.2\""));
    });
    Section("a number out of range", [&] {
      for (const auto* slots : { "4294967297",
                                 "2147483648",
                                 "9223372036854775808",
                                 "18446744073709551617",
                                 "1e400",
                                 "-1" }) {
        CPPUNIT_ASSERT(
          !isUsedWith("\"slots\":24", "\"slots\":" + std::string(slots)));
      }
      for (const auto* cold : { "1e300", "-1e300", "1e400", "\"250\"", "{}" }) {
        CPPUNIT_ASSERT(!isUsedWith("250.5", cold));
      }
      for (const auto* sequence : { "1e400", "2.5", "\"2\"", "-1" }) {
        CPPUNIT_ASSERT(!isUsedWith("\"sequence\":2",
                                   "\"sequence\":" + std::string(sequence)));
      }
    });
    Section("a start time or a state of another type", [&] {
      for (const auto* odd : { "\"1700000000000\"", "1.5", "null", "[]" }) {
        CPPUNIT_ASSERT(!isUsedWith("1700000000000", odd));
      }
      for (const auto* odd : { "1", "null", "[\"ready\"]", "\"Ready\"" }) {
        CPPUNIT_ASSERT(!isUsedWith("\"ready\"", odd));
      }
    });
    Section("an address that cannot be connected to", [&] {
      for (const auto* odd : { "10.0.0.9:0",
                               "10.0.0.9:65536",
                               "10.0.0.9:-1",
                               "10.0.0.9:99999999999999999999",
                               "10.0.0.9:8080x",
                               "10.0.0.9:",
                               "10.0.0:8080",
                               "10.0.0.256:8080",
                               "a.example:8080",
                               "10.0.0.9\\u0000:8080",
                               "0.0.0.0:8080",
                               "224.0.0.1:8080",
                               "255.255.255.255:8080",
                               ":8080" }) {
        CPPUNIT_ASSERT_MESSAGE(odd, !isUsedWith("10.0.0.9:8080", odd));
      }
    });
    Section("text with control characters", [&] {
      CPPUNIT_ASSERT(!isUsed(Item("i\\r\\nHold: 1", kEntry)));
      CPPUNIT_ASSERT(!isUsed(Item("i\\u0000", kEntry)));
      CPPUNIT_ASSERT(!isUsed(Item("", kEntry)));
      CPPUNIT_ASSERT(
        !isUsedWith("\"service\":\"s\"", "\"service\":\"s\\r\\n\""));
      CPPUNIT_ASSERT(!isUsedWith("\"service\":\"s\"", "\"service\":\"\""));
      CPPUNIT_ASSERT(!isUsedWith("\"zone\":\"a\"", "\"zone\":\"\\n\""));
    });
    Section("bytes that are not JSON in UTF-8", [&] {
      CPPUNIT_ASSERT(!isUsedWith("\"zone\":\"a\"", "\"zone\":\"\xff\""));
      CPPUNIT_ASSERT(!isUsed(Item("odd", "")));
      CPPUNIT_ASSERT(!isUsed(Item("odd", std::string(3, '\0'))));
    });
    Section("an entry that turns odd is a target that has gone", [&] {
      const auto changes =
        codec.ReadTargetChanges("{\"events\":[" + good + "," +
                                Item("i-1", Nested()) + "],\"current_rev\":3}");
      CPPUNIT_ASSERT(!changes.value().mTargets.at("i-1"));
    });
  }

  void TestNestedWithoutEnd()
  {
    const FleetCodec codec;
    const auto nested = Nested();
    Section("in an entry", [&] {
      for (const auto& value :
           { nested,
             "{\"service\":" + nested + "}",
             Replaced(kEntry, "\"version\":1", "\"x\":" + nested),
             nested.substr(0, nested.size() / 2) }) {
        const auto page = codec.ReadTargets(
          "{\"items\":[" + Item("odd", value) + "],\"current_rev\":3}");
        CPPUNIT_ASSERT(page);
      }
    });
    Section("in a reply of the store or of a target", [&] {
      CPPUNIT_ASSERT(
        !codec.ReadTargets("{\"items\":" + nested + ",\"current_rev\":3}"));
      CPPUNIT_ASSERT(!codec.ReadTargetChanges("{\"events\":" + nested + "}"));
      CPPUNIT_ASSERT(!codec.ReadHosts("{\"items\":" + nested + "}"));
      CPPUNIT_ASSERT(!codec.ReadStoreValue("{\"value\":" + nested + "}"));
      CPPUNIT_ASSERT(!codec.ReadTable("{\"routes\":" + nested + "}"));
      CPPUNIT_ASSERT(!codec.ReadReport(nested));
      CPPUNIT_ASSERT(!codec.ReadLease("{\"lease\":" + nested + "}"));
    });
    Section("as the handle of a copy", [&] {
      CPPUNIT_ASSERT(!codec.ReadMove("{\"handle\":" + nested + "}"));
    });
  }

  void TestKeysThatAreNoText()
  {
    // A store repeats a key as it was written; the list is followed all the
    // same.
    const FleetCodec codec;
    for (const auto* key :
         { "\xff\xfe", "\\ud800", "\\udc00x", "\\\\\\ud800" }) {
      const auto items = "[" + Item(key, kEntry) + "," + Item("i-1", kEntry) +
                         ",{\"key\":\"servers/i-2\",\"tombstone\":true}]";
      const auto page =
        codec.ReadTargets("{\"items\":" + items + ",\"current_rev\":3}");
      CPPUNIT_ASSERT_MESSAGE(key, page);
      CPPUNIT_ASSERT(page.value().mTargets.contains("i-1"));
      const auto changes =
        codec.ReadTargetChanges("{\"events\":" + items + ",\"current_rev\":3}");
      CPPUNIT_ASSERT(changes && changes.value().mTargets.at("i-1") &&
                     !changes.value().mTargets.at("i-2"));
      const auto hosts =
        codec.ReadHosts("{\"items\":[" + Item(key, "10.0.0.1") + "," +
                        Item("x", "10.0.0.2") + "],\"has_more\":false}");
      CPPUNIT_ASSERT(hosts && hosts.value().mHosts.back() == "10.0.0.2");
    }
    Section("valid escapes are kept", [&] {
      const auto page = codec.ReadTargets(
        "{\"items\":[" + Item("\\ud83d\\ude00", kEntry) + "," +
        Item("\\ud800", kEntry) + "],\"current_rev\":3}");
      CPPUNIT_ASSERT(page.value().mTargets.contains("\xf0\x9f\x98\x80"));
    });
  }

  void TestNumbersOutOfRange()
  {
    // Without a limit, such numbers are narrowed without notice.
    const FleetCodec codec;
    const auto tableWith = [&](const char* aFrom, const std::string& aTo) {
      return codec.ReadTable(Replaced(kTable, aFrom, aTo));
    };
    Section("in the table", [&] {
      for (const auto* number :
           { "4294967298", "1e300", "9223372036854775808" }) {
        const std::string text = number;
        auto table = tableWith("\"slots\":24", "\"slots\":" + text);
        CPPUNIT_ASSERT(table.value().FindService("s1")->mEngine->mSlots >
                       1'000'000);
        table =
          tableWith("\"max_connections\":538", "\"max_connections\":" + text);
        CPPUNIT_ASSERT(table.value().FindService("s1")->mMaxConnections >
                       1'000'000);
        table = tableWith("34149", text);
        CPPUNIT_ASSERT(table.value().FindService("s1")->mEngine->mMemoryTokens >
                       1'000'000);
        table = tableWith("\"stride\":4", "\"stride\":" + text);
        CPPUNIT_ASSERT(
          table.value().FindService("s1")->mEngine->mTokensPerEvent >
          1'000'000);
        table = tableWith("\"max_attempts\":2", "\"max_attempts\":" + text);
        CPPUNIT_ASSERT(table.value().FindRoute("h", "/a/")->mMaxAttempts >
                       1'000'000);
        table = tableWith("\"priority\":0", "\"priority\":" + text);
        CPPUNIT_ASSERT(table.value().FindRoute("h", "/a/")->mPriority >
                       1'000'000);
        table =
          tableWith("\"max_body_bytes\":100", "\"max_body_bytes\":" + text);
        CPPUNIT_ASSERT(table.value().Limits().mBodyBytes > 1'000'000);
        table = tableWith("\"priority\":1", "\"priority\":" + text);
        CPPUNIT_ASSERT(table);
      }
      CPPUNIT_ASSERT(!tableWith("\"version\":7", "\"version\":1e300"));
      CPPUNIT_ASSERT(!tableWith("\"version\":7", "\"version\":1e400"));
      CPPUNIT_ASSERT(
        !tableWith("\"version\":7", "\"version\":9223372036854775808"));
    });
    Section("in a revision", [&] {
      for (const auto* number : { "1e300", "9223372036854775808", "1e400" }) {
        const std::string text = number;
        CPPUNIT_ASSERT(
          !codec.ReadTargets("{\"items\":[],\"current_rev\":" + text + "}"));
        CPPUNIT_ASSERT(!codec.ReadTargetChanges(
          "{\"events\":[],\"current_rev\":" + text + "}"));
        CPPUNIT_ASSERT(
          !codec.ReadStoreValue("{\"value\":\"\",\"revision\":" + text + "}"));
        CPPUNIT_ASSERT(!codec.ReadLease("{\"lease\":" + text + "}"));
      }
    });
    Section("in the load that a target states", [&] {
      HttpFields fields;
      fields.set("Server-Load", "4294967298,2147483647,-4294967295");
      const auto load = *codec.ReadTargetResponseHeaders(fields).mLoad;
      CPPUNIT_ASSERT(load.mRunning > 1'000'000 && load.mWaiting > 1'000'000);
      CPPUNIT_ASSERT(load.mRunning <=
                     std::numeric_limits<int>::max() - load.mWaiting);
      CPPUNIT_ASSERT(load.mSlots <= 0);
    });
    Section("in the answer to a copy call", [&] {
      const auto move = codec.ReadMove(R"({"handle":"h1","created_at":1e300})");
      CPPUNIT_ASSERT(move && move.value().mEvents > 1'000'000);
    });
  }

  void TestHeaderLines()
  {
    // What another process states must not end a line of a request's header.
    const FleetCodec codec;
    Section("the handle of a copy", [&] {
      CPPUNIT_ASSERT(!codec.ReadMove(R"({"handle":"h\r\nHold: 1"})"));
      CPPUNIT_ASSERT(!codec.ReadMove(R"({"handle":""})"));
      CPPUNIT_ASSERT(!codec.ReadMove(R"({"handle":{"a":1}})"));
      CPPUNIT_ASSERT_EQUAL(std::string("12"),
                           codec.ReadMove(R"({"handle":12})").value().mHandle);
    });
    Section("the id of an event", [&] {
      TargetRequestHeaders to;
      to.mTarget = "i-1";
      to.mLastEventId = "17\rHold: 1";
      HttpFields out;
      codec.WriteTargetRequestHeaders(to, out);
      CPPUNIT_ASSERT(out.find("Last-Event-Id") == out.end());
    });
  }

  void TestRequests()
  {
    const FleetCodec codec;
    HttpFields fields;
    fields.set("Attempt-Id", "id1");
    fields.set("Deadline-Ms", "39000");
    fields.set("Token-Count", "1460,80");
    fields.set("Length-Hint", "55");
    fields.set("Api-Key", "k");
    const auto headers = codec.ReadCallerHeaders(fields);
    CPPUNIT_ASSERT_EQUAL(std::string("id1"), headers.mId);
    CPPUNIT_ASSERT(*headers.mTimeLeft == Milliseconds(39000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1460), headers.mPromptTokens);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(80), headers.mMaxOutputTokens);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(55), headers.mExpectedOutputTokens);
    Section("the last part of a prompt belongs to the request alone", [&] {
      const auto partsOf = [&](const std::string& aText) {
        fields.set("Prefix-Hash", aText);
        return codec.ReadCallerHeaders(fields).mPromptParts;
      };
      using Parts = std::vector<std::string>;
      CPPUNIT_ASSERT(headers.mPromptParts.empty());
      CPPUNIT_ASSERT(partsOf("5c1e:800").empty());
      CPPUNIT_ASSERT(partsOf("5C1e07a2:800, 91bd:410,e440:250") ==
                     Parts({ "5c1e07a2", "91bd" }));
      for (const auto* malformed : { "5c1e,91bd:410",
                                     "5c1e:800,",
                                     ":800,91bd:410",
                                     "5c1e:x,91bd:410",
                                     "part:800,91bd:410" }) {
        CPPUNIT_ASSERT(partsOf(malformed).empty());
      }
      CPPUNIT_ASSERT(partsOf(std::string(65, 'a') + ":1,91bd:410").empty());
      std::string many;
      for (int i = 0; i < 200; ++i) {
        many += std::to_string(i) + ":1,";
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(32), partsOf(many + "e4:1").size());
    });
    Section("headers that callers must not set, and their key, are reserved",
            [&] {
              for (const auto* name : { "api-key",
                                        "Tenant",
                                        "Expect-Instance",
                                        "HOLD",
                                        "Kv-From",
                                        "Kv-Backup",
                                        "Pin-Ms",
                                        "Request-Priority" }) {
                CPPUNIT_ASSERT(codec.IsReservedHeader(name));
              }
              CPPUNIT_ASSERT(!codec.IsReservedHeader("Attempt-Id"));
              CPPUNIT_ASSERT(!codec.IsReservedHeader("Prefix-Hash"));
            });
    Section("a run is resumed from its copied memory", [&] {
      TargetRequestHeaders to;
      to.mTarget = "i-1";
      to.mTeam = "t";
      to.mTimeLeft = Milliseconds(1200);
      to.mMemory = RunMemory{ { "10.0.0.9", 8080 }, "h1" };
      to.mLastEventId = "17";
      HttpFields out;
      codec.WriteTargetRequestHeaders(to, out);
      CPPUNIT_ASSERT(out["Kv-From"] == "10.0.0.9:8080/h1");
      CPPUNIT_ASSERT(out["Last-Event-Id"] == "17");
      CPPUNIT_ASSERT(out["Deadline-Ms"] == "1200");
      CPPUNIT_ASSERT(out["Tenant"] == "t");
      CPPUNIT_ASSERT(out["Expect-Instance"] == "i-1");
    });
  }

  void TestResponses()
  {
    const FleetCodec codec;
    HttpFields fields;
    fields.set("Attempt-Id", "id1");
    fields.set("Server-Load", "3,0,8");
    fields.set("Not-Executed", "1");
    const auto responseHeaders = codec.ReadTargetResponseHeaders(fields);
    CPPUNIT_ASSERT(responseHeaders.mNotRun && !responseHeaders.mSigned);
    CPPUNIT_ASSERT_EQUAL(3, responseHeaders.mLoad->mRunning);
    CPPUNIT_ASSERT_EQUAL(8, responseHeaders.mLoad->mSlots);
    Section("a load that cannot be read is not an idle target", [&] {
      for (const auto* value :
           { "x", "", ",,", "a,b,c", "3,,8", "3,0,", "3,0,8x", "3;0;8" }) {
        fields.set("Server-Load", value);
        CPPUNIT_ASSERT_MESSAGE(value,
                               !codec.ReadTargetResponseHeaders(fields).mLoad);
      }
    });
    Section("a target states in seconds when a request may come again", [&] {
      const auto read = [&](const char* aValue) {
        fields.set("Retry-After", aValue);
        return codec.ReadTargetResponseHeaders(fields).mRetryAfter;
      };
      CPPUNIT_ASSERT(!codec.ReadTargetResponseHeaders(fields).mRetryAfter);
      CPPUNIT_ASSERT(read("2") == Milliseconds(2000));
      CPPUNIT_ASSERT(read("0.2501") == Milliseconds(251));
      CPPUNIT_ASSERT(read("300") == Milliseconds(300000));
      CPPUNIT_ASSERT(*read("1e300") <= Milliseconds(1'000'000'000'000));
      for (const auto* value : { "Wed, 21 Oct 2015 07:28:00 GMT",
                                 "-1",
                                 "0",
                                 "",
                                 "soon",
                                 "1s",
                                 "1, 2",
                                 "inf",
                                 "nan" }) {
        CPPUNIT_ASSERT(!read(value));
      }
    });
    Section("a leaving target says so with one value only", [&] {
      CPPUNIT_ASSERT(!codec.ReadTargetResponseHeaders(fields).mLeaving);
      for (const auto* value : { "0", "", "true", "01", "1, 1", "-1" }) {
        fields.set("Server-Leaving", value);
        CPPUNIT_ASSERT(!codec.ReadTargetResponseHeaders(fields).mLeaving);
      }
      fields.set("server-leaving", "1");
      CPPUNIT_ASSERT(codec.ReadTargetResponseHeaders(fields).mLeaving);
    });
  }

  void TestCalls()
  {
    const FleetCodec codec;
    Section(
      "a copy call has the run, its destination and whether it is final", [&] {
        const auto call = codec.MoveCall("id1", { "10.0.0.9", 8080 }, true);
        CPPUNIT_ASSERT_EQUAL(
          std::string(R"({"final":true,"id":"id1","to":"10.0.0.9:8080"})"),
          call.mBody);
      });
    Section("the response to a copy call has the number of events", [&] {
      const auto move =
        codec.ReadMove(R"({"handle":"h1","created_at":47})").value();
      CPPUNIT_ASSERT_EQUAL(std::string("h1"), move.mHandle);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(47), move.mEvents);
      CPPUNIT_ASSERT(!codec.ReadMove("{}"));
    });
    Section("an engine reports that it is leaving", [&] {
      CPPUNIT_ASSERT(!codec.ReadReport(R"({"stage":"both"})").value().mLeaving);
      CPPUNIT_ASSERT(
        codec.ReadReport(R"({"state":"draining"})").value().mLeaving);
      const auto report = codec.ReadReport(R"({"leaves_ms":1670.5})").value();
      CPPUNIT_ASSERT(report.mLeaving &&
                     *report.mLeavesIn == Milliseconds(1670));
    });
    Section("an engine reports when it started", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::int64_t(1780000000123),
        codec.ReadReport(R"({"born":1780000000123})").value().mBorn);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                           codec.ReadReport(R"({"born":null})").value().mBorn);
    });
    Section("a value of the store is decoded", [&] {
      const auto value = codec
                           .ReadStoreValue("{\"value\":\"" + Base64("x") +
                                           "\",\"revision\":412}")
                           .value();
      CPPUNIT_ASSERT_EQUAL(std::string("x"), value.mValue);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(412), value.mRevision);
      CPPUNIT_ASSERT(!codec.ReadStoreValue("{\"value\":1}"));
    });
  }

  void TestStoreEra()
  {
    const FleetCodec codec;
    const auto read = [&](const std::vector<std::string>& aValues) {
      HttpFields fields;
      for (const auto& value : aValues) {
        fields.insert("Store-Era", value);
      }
      return codec.ReadStoreEra(fields);
    };
    Section("a decimal number is the era", [&] {
      CPPUNIT_ASSERT(read({ "0" }).value() == StoreEra{ 0 });
      CPPUNIT_ASSERT(read({ "17" }).value() == StoreEra{ 17 });
      CPPUNIT_ASSERT(read({ "1000000000000000" }).value() ==
                     StoreEra{ 1'000'000'000'000'000 });
    });
    Section("a store that states none has an unknown one",
            [&] { CPPUNIT_ASSERT(!read({}).value().IsKnown()); });
    Section("anything else is malformed", [&] {
      for (const auto* text : { "",
                                "x",
                                "-1",
                                "-0",
                                "+2",
                                "2.0",
                                "2e3",
                                "0x2",
                                "2, 3",
                                "1000000000000001",
                                "99999999999999999999999" }) {
        CPPUNIT_ASSERT_MESSAGE(text, !read({ text }));
      }
      CPPUNIT_ASSERT(!read({ "2", "2" }));
    });
    Section("an error repeats only the beginning of it", [&] {
      CPPUNIT_ASSERT(read({ std::string(5000, 'x') }).error().mMessage.size() <
                     100);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCodecTest);

} // namespace ragwortdeck
