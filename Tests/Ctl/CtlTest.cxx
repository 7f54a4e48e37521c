#include "Controllers/TableFromKeys.h"
#include "Controllers/TableKeys.h"
#include "Ctl/CsvSheet.h"
#include "Ctl/CtlContext.h"
#include "Support/FakeKeyValueStore.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QTemporaryDir>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief Commands of ragwort-ctl against the fake service: output, effects
/// and exit codes.
class CtlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CtlTest);
  CPPUNIT_TEST(TestEditAndShow);
  CPPUNIT_TEST(TestExitCodes);
  CPPUNIT_TEST(TestExportAndImport);
  CPPUNIT_TEST(TestImportAgainstBase);
  CPPUNIT_TEST(TestHistoryAndDiff);
  CPPUNIT_TEST(TestHosts);
  CPPUNIT_TEST(TestTeamKey);
  CPPUNIT_TEST(TestTimeline);
  CPPUNIT_TEST(TestCsv);
  CPPUNIT_TEST(TestFuzzedCsv);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mScheduler = std::make_unique<VirtualScheduler>();
    mService = std::make_shared<FakeKeyValueService>();
    mStore = std::make_unique<FakeKeyValueStore>(*mScheduler, mService);
    mJson = false;
  }

  void TestEditAndShow()
  {
    CPPUNIT_ASSERT_EQUAL(
      0, Run({ "table", "set", "teams/taa", "share=7", "priority=3" }));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted as version 1"),
                         mOut.substr(0, 21));
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "get", "teams/taa", "share" }));
    CPPUNIT_ASSERT_EQUAL(std::string("7\n"), mOut);
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "show" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string("version 1\nteams/taa  share=7  max_concurrent=(0)  "
                  "tokens_per_second=(0)  priority=3\n"),
      mOut);
    CPPUNIT_ASSERT_EQUAL(
      0, Run({ "table", "set", "models/org/m:7b", "adapters=a;b" }));
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "unset", "teams/taa", "share" }));
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "unset", "teams/taa" }));
    CPPUNIT_ASSERT_EQUAL(1, Run({ "table", "get", "teams/taa" }));
    mJson = true;
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "show", "models" }));
    const auto json =
      QJsonDocument::fromJson(QByteArray::fromStdString(mOut)).object();
    CPPUNIT_ASSERT_EQUAL(4, json["version"].toInt());
    CPPUNIT_ASSERT_EQUAL(
      std::string("a;b"),
      json["models"]["org/m:7b"]["adapters"]["value"].toString().toStdString());
  }

  void TestExitCodes()
  {
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage), Run({ "table", "sort" }));
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage), Run({ "table", "set", "taa" }));
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage),
                         Run({ "table", "set", "taa", "share=1" }));
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage),
                         Run({ "table", "set", "teams/taa", "share=0" }));
    CPPUNIT_ASSERT(mErr.find("sheet teams, row taa, column share: value '0'") !=
                   std::string::npos);
    Run({ "table", "set", "teams/taa", "share=5" });
    mArguments.mIfValues = { "4" };
    CPPUNIT_ASSERT_EQUAL(int(kExitConflict),
                         Run({ "table", "set", "teams/taa", "share=6" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string("conflict: teams/taa share is now 5, expected 4\n"), mErr);
    mArguments.mIfValues = { "5" };
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "set", "teams/taa", "share=6" }));
    mArguments.mIfValues = {};
    mStore->mFaultHook = [](std::uint64_t) { return KeyCallFault::kRefused; };
    CPPUNIT_ASSERT_EQUAL(int(kExitUnavailable), Run({ "table", "show" }));
    CPPUNIT_ASSERT_EQUAL(int(kExitUnavailable),
                         Run({ "table", "set", "teams/taa", "share=7" }));
    CPPUNIT_ASSERT(mErr.find("not applied") != std::string::npos);
    Section("an unknown outcome names the edit and can be settled", [&] {
      int calls = 0;
      mStore->mFaultHook = [&](std::uint64_t) {
        return ++calls == 1 ? KeyCallFault::kNone : KeyCallFault::kReplyLost;
      };
      CPPUNIT_ASSERT_EQUAL(int(kExitUnavailable),
                           Run({ "table", "set", "teams/taa", "share=8" }));
      const auto id = mErr.substr(mErr.rfind(' ') + 1, 36);
      mStore->mFaultHook = nullptr;
      CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "check", id }));
      CPPUNIT_ASSERT(mOut.find("accepted as version 3") == 0);
    });
  }

  void TestExportAndImport()
  {
    Run({ "table", "set", "teams/taa", "share=7" });
    Run({ "table", "set", "models/m", "adapters=a;b", "version=v2" });
    const QTemporaryDir directory;
    const auto path = directory.path().toStdString();
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "export", path }));
    const auto before = ReadTable();
    Section("importing an export changes nothing", [&] {
      CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "import", path }));
      CPPUNIT_ASSERT(ReadTable() == before);
    });
    Section("a file with one wrong cell changes nothing", [&] {
      Write(directory, "teams.csv", "row,share\r\ntaa,9\r\nsurjo,x\r\n");
      CPPUNIT_ASSERT_EQUAL(1, Run({ "table", "import", path }));
      CPPUNIT_ASSERT(mErr.find("record 3: sheet teams, row surjo, column "
                               "share: value 'x'") != std::string::npos);
      CPPUNIT_ASSERT(ReadTable() == before);
    });
    Section("columns and rows that are left out are not touched", [&] {
      Write(directory, "teams.csv", "row,priority\nsurjo,9\n");
      CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "import", path }));
      CPPUNIT_ASSERT_EQUAL(7U, ReadTable().mTeams.at(TeamName("taa")).mShare);
      CPPUNIT_ASSERT_EQUAL(9U,
                           ReadTable().mTeams.at(TeamName("surjo")).mPriority);
    });
  }

  void TestImportAgainstBase()
  {
    Run({ "table", "set", "teams/taa", "share=7", "priority=1" });
    const QTemporaryDir base;
    const QTemporaryDir edited;
    mArguments.mBase = base.path().toStdString();
    Write(base, "teams.csv", "row,share,priority\ntaa,7,1\n");
    Write(edited, "teams.csv", "row,share,priority\ntaa,8,1\n");
    Section("another operator's change of another cell survives", [&] {
      Run({ "table", "set", "teams/taa", "priority=2" });
      CPPUNIT_ASSERT_EQUAL(
        0, Run({ "table", "import", edited.path().toStdString() }));
      const auto row = ReadTable().mTeams.at(TeamName("taa"));
      CPPUNIT_ASSERT_EQUAL(8U, row.mShare);
      CPPUNIT_ASSERT_EQUAL(2U, row.mPriority);
    });
    Section("another operator's change of the same cell is a conflict", [&] {
      Run({ "table", "set", "teams/taa", "share=9" });
      CPPUNIT_ASSERT_EQUAL(
        int(kExitConflict),
        Run({ "table", "import", edited.path().toStdString() }));
      CPPUNIT_ASSERT_EQUAL(9U, ReadTable().mTeams.at(TeamName("taa")).mShare);
    });
  }

  void TestHistoryAndDiff()
  {
    Run({ "table", "set", "teams/taa", "share=7" });
    Run({ "table", "set", "teams/taa", "share=8" });
    Run({ "table", "history" });
    CPPUNIT_ASSERT(mOut.find("version 2  ann") < mOut.find("version 1  ann"));
    Run({ "table", "diff", "0", "2" });
    CPPUNIT_ASSERT_EQUAL(std::string("teams/taa share: (not set) -> 8\n"),
                         mOut);
    CPPUNIT_ASSERT_EQUAL(1, Run({ "table", "diff", "0", "9" }));
    CPPUNIT_ASSERT_EQUAL(2, Run({ "table", "diff", "2", "1" }));
    CPPUNIT_ASSERT_EQUAL(0, Run({ "table", "prune" }));
  }

  void TestHosts()
  {
    CPPUNIT_ASSERT_EQUAL(0, Run({ "hosts", "leave", "entry-1" }));
    CPPUNIT_ASSERT_EQUAL(0, Run({ "hosts", "list" }));
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1  leaving  by ann\n"), mOut);
    CPPUNIT_ASSERT_EQUAL(0, Run({ "hosts", "clear", "entry-1" }));
    Run({ "hosts", "list" });
    CPPUNIT_ASSERT(mOut.empty());
  }

  void TestTeamKey()
  {
    CPPUNIT_ASSERT_EQUAL(int(kExitSettings), Run({ "team-key", "taa" }));
    mKeys.emplace(KeyRing::Create({ { "k1", "0123456789abcdef" } }).value());
    CPPUNIT_ASSERT_EQUAL(0, Run({ "team-key", "taa" }));
    mOut.pop_back();
    CPPUNIT_ASSERT_EQUAL(std::string("taa"),
                         mKeys->VerifyTeamToken(mOut).value());
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage), Run({ "team-key", "a/b" }));
  }

  void TestTimeline()
  {
    const QTemporaryDir directory;
    Write(
      directory,
      "a.jsonl",
      R"({"time":"8192","type":"first-token","host":"a","process":"router"})"
      "\n");
    CPPUNIT_ASSERT_EQUAL(int(kExitUsage), Run({ "timeline" }));
    mArguments.mInputs = { directory.filePath("a.jsonl").toStdString() };
    CPPUNIT_ASSERT_EQUAL(0, Run({ "timeline" }));
    CPPUNIT_ASSERT_EQUAL(
      std::string("1970-01-01T00:00:00.000002Z  a/router  first-token\n"),
      mOut);
    mArguments.mFormat = "html";
    CPPUNIT_ASSERT_EQUAL(0, Run({ "timeline" }));
    CPPUNIT_ASSERT(mOut.find("<!DOCTYPE html>") == 0);
    mArguments.mInputs.push_back("/nonexistent");
    CPPUNIT_ASSERT_EQUAL(1, Run({ "timeline" }));
  }

  void TestCsv()
  {
    const std::vector<std::vector<std::string>> records = {
      { "a,b", "say \"x\"", "", " space ", "two\r\nlines" }, { "plain", "" }
    };
    CPPUNIT_ASSERT(ParseCsv(FormatCsv(records)).value() == records);
    CPPUNIT_ASSERT(ParseCsv("\xEF\xBB\xBFrow\n").value()[0][0] == "row");
    CPPUNIT_ASSERT(!ParseCsv("a,\"b\n"));
    CPPUNIT_ASSERT(!ParseCsv("a,b\"c\n"));
    for (const auto* text : { "",
                              "share\n1\n",
                              "row,share,share\n",
                              "row,colour\n",
                              "row,share\ntaa\n",
                              "row,share\ntaa,1,2\n",
                              "row,share\ntaa,1\ntaa,1\n",
                              "row,share\n,1\n" }) {
      Section(text,
              [&] { CPPUNIT_ASSERT(!SheetFromCsv(Sheet::kTeams, text)); });
    }
  }

  void TestFuzzedCsv()
  {
    // Guards against a crash and against a sheet that does not survive export.
    RandomSource random(4180);
    const std::string valid =
      "row,share,max_concurrent\r\ntaa,7,\r\n\"surjo\",300,4\r\n";
    int accepted = 0;
    for (int n = 0; n < 20'000; ++n) {
      auto text = valid;
      for (auto edits = random.Below(4); edits > 0; --edits) {
        text[random.Below(text.size())] = static_cast<char>(random.Below(256));
      }
      const auto sheet = SheetFromCsv(Sheet::kTeams, text);
      if (sheet) {
        ++accepted;
        CPPUNIT_ASSERT(
          SheetFromCsv(Sheet::kTeams, ToCsv(sheet.value())).value() ==
          sheet.value());
      }
    }
    CPPUNIT_ASSERT(accepted > 1000);
  }

private:
  int Run(std::vector<std::string> aWords)
  {
    std::ostringstream out;
    std::ostringstream err;
    CtlContext context{ *mScheduler, *mStore, mRandom, "ann", mKeys,
                        mJson,       out,     err,     {} };
    context.mWaitUntil = [this](const std::function<bool()>& aDone) {
      for (int n = 0; n < 100'000 && !aDone(); ++n) {
        mScheduler->Advance(1ms);
      }
      CPPUNIT_ASSERT(aDone());
    };
    auto arguments = mArguments;
    arguments.mWords = std::move(aWords);
    const auto commands = AllCtlCommands();
    const auto* command = FindCtlCommand(commands, arguments, err);
    const int code =
      command == nullptr ? kExitUsage : command->mRun(context, arguments);
    mOut = out.str();
    mErr = err.str();
    return code;
  }
  Table ReadTable()
  {
    return TableFromKeys(mService->mState.Range(TableKeys::kTablePrefix, true))
      .value();
  }
  static void Write(const QTemporaryDir& aDirectory,
                    const char* aName,
                    const char* aText)
  {
    QFile file(aDirectory.filePath(aName));
    CPPUNIT_ASSERT(file.open(QIODevice::WriteOnly));
    file.write(aText);
  }

  std::unique_ptr<VirtualScheduler> mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::unique_ptr<FakeKeyValueStore> mStore;
  RandomSource mRandom{ 12 };
  std::optional<KeyRing> mKeys;
  CtlArguments mArguments;
  bool mJson = false;
  std::string mOut;
  std::string mErr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

} // namespace ragwortdeck
