#include "Controllers/TableCodec.h"
#include "Controllers/TableFromKeys.h"
#include "Controllers/TableKeys.h"
#include "Core/RandomSource.h"
#include "StandIns/KeyValueState.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Rows survive the way to JSON and back, and a wrong cell never
/// reaches a host.
class TableCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableCodecTest);
  CPPUNIT_TEST(TestRoundTrip);
  CPPUNIT_TEST(TestErrorsNameThePlace);
  CPPUNIT_TEST(TestWholeTable);
  CPPUNIT_TEST(TestBatches);
  CPPUNIT_TEST(TestFuzzedRows);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRoundTrip()
  {
    const TeamRow team{ TeamName("taa"), 1000, 40, 90'000, 9 };
    CPPUNIT_ASSERT(
      TableCodec::TeamFromJson("taa", TableCodec::ToJson(team)).value() ==
      team);
    const KindRow kind{ KindName("run-sheet"),
                        KindClass::kShort,
                        30,
                        0,
                        512,
                        RepeatRule::kAtMostOnce,
                        25 };
    CPPUNIT_ASSERT(
      TableCodec::KindFromJson("run-sheet", TableCodec::ToJson(kind)).value() ==
      kind);
    const ModelRow model{ ModelName("org/m:7b"), 3, "2026-11", { "a", "b/c" } };
    CPPUNIT_ASSERT(
      TableCodec::ModelFromJson("org/m:7b", TableCodec::ToJson(model))
        .value() == model);
    Section("absent cells have the schema's defaults, which equal those of "
            "the typed rows",
            [] {
              TeamRow defaults;
              defaults.mTeam = TeamName("x");
              CPPUNIT_ASSERT(TableCodec::TeamFromJson("x", "{}").value() ==
                             defaults);
              KindRow kindDefaults;
              kindDefaults.mKind = KindName("x");
              CPPUNIT_ASSERT(TableCodec::KindFromJson("x", "{}").value() ==
                             kindDefaults);
              ModelRow modelDefaults;
              modelDefaults.mModel = ModelName("x");
              CPPUNIT_ASSERT(TableCodec::ModelFromJson("x", "{}").value() ==
                             modelDefaults);
            });
  }

  void TestErrorsNameThePlace()
  {
    const auto errorOf = [](const char* aJson) {
      return ToText(
        TableCodec::CellsFromJson(Sheet::kTeams, "taa", aJson).error());
    };
    CPPUNIT_ASSERT_EQUAL(
      std::string("sheet teams, row taa, column share: value '0': expected an "
                  "integer from 1 to 1000"),
      errorOf(R"({"share":0})"));
    for (const auto* json : { R"({"share":"10"})",
                              R"({"share":1.5})",
                              R"({"share":1e300})",
                              R"({"share":null})",
                              R"({"shares":10})",
                              R"([1])",
                              "",
                              R"({"share":10)" }) {
      Section(json, [&] {
        CPPUNIT_ASSERT(errorOf(json).find("expected") != std::string::npos);
      });
    }
    CPPUNIT_ASSERT(!TableCodec::CellsFromJson(Sheet::kTeams, "a/b", "{}"));
    CPPUNIT_ASSERT(!TableCodec::CellsFromJson(
      Sheet::kModels, "m", R"({"adapters":["a;b"]})"));
    CPPUNIT_ASSERT(!TableCodec::CellsFromJson(
      Sheet::kModels, "m", R"({"adapters":["a","a"]})"));
    CPPUNIT_ASSERT(!TableCodec::CellsFromJson(
      Sheet::kTeams, "taa", std::string(100'000, ' ')));
  }

  void TestWholeTable()
  {
    KeyValueState state;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ReadTable(state).value().mVersion);
    Put(state, "/ragwort/table/teams/taa", R"({"share":7})");
    Section("rows without a head are not a table",
            [&] { CPPUNIT_ASSERT(!ReadTable(state)); });
    Put(state, TableKeys::kHead, "1");
    Put(state, TableKeys::kHead, "2");
    const auto table = ReadTable(state).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), table.mVersion);
    CPPUNIT_ASSERT_EQUAL(7U, table.mTeams.at(TeamName("taa")).mShare);
    Put(state, "/ragwort/table/teams/bad", R"({"share":-7})");
    Section("an invalid row refuses the whole table",
            [&] { CPPUNIT_ASSERT(!ReadTable(state)); });
  }

  void TestBatches()
  {
    KeyValueState state;
    const auto edit = [&](const KeyOperation& aOperation) {
      state
        .Commit(
          { {}, { aOperation, KeyOperation::Put(TableKeys::kHead, "") }, {} })
        .value();
    };
    edit(KeyOperation::Put("/ragwort/table/teams/taa", R"({"share":7})"));
    edit(KeyOperation::Put("/ragwort/table/teams/taa", R"({"share":8})"));
    edit(KeyOperation::Delete("/ragwort/table/teams/taa"));
    const auto batches = state.EventsSince(TableKeys::kTablePrefix, 0).value();
    Table table;
    for (const auto& batch : batches) {
      table = TableAfter(table, batch).value();
    }
    CPPUNIT_ASSERT(table == ReadTable(state).value());
    Section("an old batch changes nothing", [&] {
      CPPUNIT_ASSERT(TableAfter(table, batches[0]).value() == table);
    });
    Section("a skipped version is noticed", [&] {
      CPPUNIT_ASSERT(TableAfter(Table{}, batches[1]).error().mCode ==
                     ErrorCode::kConflict);
    });
  }

  void TestFuzzedRows()
  {
    // Guards against a crash or an accepted cell outside its range.
    RandomSource random(20261204);
    const std::string valid =
      R"({"adapters":["a","b"],"replicas":3,"version":"v1"})";
    for (int n = 0; n < 20'000; ++n) {
      auto json = valid;
      for (auto edits = random.Below(6); edits > 0; --edits) {
        const auto at = random.Below(json.size());
        json[at] = static_cast<char>(random.Below(256));
      }
      const auto cells = TableCodec::CellsFromJson(Sheet::kModels, "m", json);
      if (cells) {
        CPPUNIT_ASSERT(
          TableCodec::CellsFromJson(
            Sheet::kModels,
            "m",
            TableCodec::JsonFromCells(Sheet::kModels, cells.value()))
            .value() == cells.value());
      }
    }
  }

private:
  static void Put(KeyValueState& aState,
                  const std::string& aKey,
                  const std::string& aValue)
  {
    aState.Commit({ {}, { KeyOperation::Put(aKey, aValue) }, {} }).value();
  }
  static Result<Table> ReadTable(const KeyValueState& aState)
  {
    return TableFromKeys(aState.Range(TableKeys::kTablePrefix, true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableCodecTest);

} // namespace ragwortdeck
