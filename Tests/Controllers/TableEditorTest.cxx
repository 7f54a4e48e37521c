#include "Controllers/TableEditor.h"
#include "Controllers/EditHistory.h"
#include "Controllers/TableCodec.h"
#include "Controllers/TableFromKeys.h"
#include "Controllers/TableWatcher.h"
#include "Support/Section.h"
#include "Support/SimulatedProcess.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;
using State = EditOutcome::State;

namespace {

const RowAddress kTaa{ Sheet::kTeams, "taa" };

CellEdit
Set(const RowAddress& aRow, const char* aColumn, const char* aValue)
{
  return { aRow, aColumn, aValue, {}, false };
}

/// \brief An operator with a client and an editor of their own.
struct Operator
{
  Operator(VirtualScheduler& aScheduler,
           const std::shared_ptr<FakeKeyValueService>& aService,
           const char* aName,
           std::uint64_t aSeed)
    : mStore(aScheduler, aService)
    , mEditor(aScheduler, mStore, RandomSource(aSeed), aName)
  {
  }
  TableEditor::Done Keep()
  {
    return
      [this](const EditOutcome& aOutcome) { mOutcomes.push_back(aOutcome); };
  }
  State LastState() const { return mOutcomes.back().mState; }

  FakeKeyValueStore mStore;
  TableEditor mEditor;
  std::vector<EditOutcome> mOutcomes;
};

} // namespace

/// \brief Edits end as the design page says, and their reports are true.
class TableEditorTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableEditorTest);
  CPPUNIT_TEST(TestEditAndHistory);
  CPPUNIT_TEST(TestTwoOperators);
  CPPUNIT_TEST(TestGuardedEdit);
  CPPUNIT_TEST(TestLostReply);
  CPPUNIT_TEST(TestLostAttemptCannotOvertakeItsConflict);
  CPPUNIT_TEST(TestUnknownAndSettled);
  CPPUNIT_TEST(TestOutageIsNotApplied);
  CPPUNIT_TEST(TestInvalid);
  CPPUNIT_TEST(TestDeletion);
  CPPUNIT_TEST(TestImportInParts);
  CPPUNIT_TEST(TestHostMarks);
  CPPUNIT_TEST(TestRetention);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mScheduler = std::make_unique<VirtualScheduler>();
    mService = std::make_shared<FakeKeyValueService>();
    mAnn = std::make_unique<Operator>(*mScheduler, mService, "ann", 1);
    mBob = std::make_unique<Operator>(*mScheduler, mService, "bob", 2);
  }

  void TestEditAndHistory()
  {
    mAnn->mEditor.Edit({ Set(kTaa, "share", "7"), Set(kTaa, "priority", "3") },
                       mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mAnn->mOutcomes.back().mVersion);
    CPPUNIT_ASSERT_EQUAL(7U, ReadTable().mTeams.at(TeamName("taa")).mShare);
    mScheduler->JumpWallClock(24h);
    mAnn->mEditor.Edit({ Set(kTaa, "share", "8") }, mAnn->Keep());
    mScheduler->Advance(1s);
    Section("the same value again writes nothing", [&] {
      mAnn->mEditor.Edit({ Set(kTaa, "share", "8") }, mAnn->Keep());
      mScheduler->Advance(1s);
      CPPUNIT_ASSERT(mAnn->LastState() == State::kUnchanged);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ReadTable().mVersion);
    });
    const auto records = History(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), records.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), records[0].mVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("ann"), records[0].mAuthor);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), History(1).size());
    const std::vector<CellDelta> share = {
      { "teams", "taa", "share", "7", "8" }
    };
    CPPUNIT_ASSERT(DiffVersions(records, 1, 2).value() == share);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         DiffVersions(records, 0, 2).value().size());
    CPPUNIT_ASSERT(!DiffVersions(records, 0, 3));
  }

  void TestTwoOperators()
  {
    Section("the same cell: one wins, the other sees the current value", [&] {
      mAnn->mEditor.Edit({ Set(kTaa, "share", "1") }, mAnn->Keep());
      mBob->mEditor.Edit({ Set(kTaa, "share", "2") }, mBob->Keep());
      mScheduler->Advance(5s);
      const bool annWins = mAnn->LastState() == State::kAccepted;
      const auto& loser = annWins ? *mBob : *mAnn;
      CPPUNIT_ASSERT(loser.LastState() == State::kConflict);
      CPPUNIT_ASSERT_EQUAL(std::string(annWins ? "1" : "2"),
                           *loser.mOutcomes.back().mConflicts.at(0).mCurrent);
    });
    Section("different cells of one row: both succeed", [&] {
      mAnn->mEditor.Edit({ Set(kTaa, "priority", "1") }, mAnn->Keep());
      mBob->mEditor.Edit({ Set(kTaa, "max_concurrent", "9") }, mBob->Keep());
      mScheduler->Advance(5s);
      CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
      CPPUNIT_ASSERT(mBob->LastState() == State::kAccepted);
      const auto row = ReadTable().mTeams.at(TeamName("taa"));
      CPPUNIT_ASSERT_EQUAL(1U, row.mPriority);
      CPPUNIT_ASSERT_EQUAL(9U, row.mMaxConcurrent);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), ReadTable().mVersion);
    });
  }

  void TestGuardedEdit()
  {
    mAnn->mEditor.Edit({ Set(kTaa, "share", "5") }, mAnn->Keep());
    mScheduler->Advance(1s);
    mAnn->mEditor.Edit({ { kTaa, "share", "6", "4", true } }, mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kConflict);
    mAnn->mEditor.Edit({ { kTaa, "share", "6", "5", true } }, mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    Section("expecting a cell that is not set", [&] {
      mAnn->mEditor.Edit({ { kTaa, "priority", "6", {}, true } }, mAnn->Keep());
      mScheduler->Advance(1s);
      CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    });
  }

  void TestLostReply()
  {
    // Call 0 reads, call 1 writes.
    mAnn->mStore.mFaultHook = [](std::uint64_t aIndex) {
      return aIndex == 1 ? KeyCallFault::kReplyLost : KeyCallFault::kNone;
    };
    mAnn->mEditor.Edit({ Set(kTaa, "share", "7") }, mAnn->Keep());
    mScheduler->Advance(100ms);
    Section("another edit of the same cell in between hides nothing", [&] {
      mBob->mEditor.Edit({ Set(kTaa, "share", "8") }, mBob->Keep());
      mScheduler->Advance(5s);
    });
    CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), mAnn->mOutcomes.back().mVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), ReadTable().mVersion);
  }

  void TestLostAttemptCannotOvertakeItsConflict()
  {
    // A mark that was missing, set by another operator and cleared again is
    // missing once more; the delayed attempt must not take effect then.
    SimulatedProcess process(*mScheduler);
    ProcessKeyValueStore store(process, mService);
    int calls = 0;
    store.mFaultHook = [&] {
      return ++calls == 2 ? ProcessCallFault::kDelayedLong
                          : ProcessCallFault::kNone;
    };
    TableEditor editor(process, store, RandomSource(4), "carol");
    std::optional<State> state;
    editor.MarkHost("entry-1", "leaving", [&](const EditOutcome& aOutcome) {
      state = aOutcome.mState;
    });
    mScheduler->Advance(100ms);
    mBob->mEditor.MarkHost("entry-1", "joining", mBob->Keep());
    mScheduler->Advance(2s);
    CPPUNIT_ASSERT(state == State::kConflict);
    mBob->mEditor.MarkHost("entry-1", std::nullopt, mBob->Keep());
    mScheduler->Advance(30s);
    CPPUNIT_ASSERT(
      mService->mState.Range(TableKeys::kHostPrefix, true).mKeys.empty());
  }

  void TestUnknownAndSettled()
  {
    mAnn->mStore.mFaultHook = [](std::uint64_t aIndex) {
      return aIndex == 0 ? KeyCallFault::kNone : KeyCallFault::kReplyLost;
    };
    mAnn->mEditor.Edit({ Set(kTaa, "share", "7") }, mAnn->Keep());
    mScheduler->Advance(20s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kUnknown);
    Section("settling finds the applied edit",
            [&] { CPPUNIT_ASSERT(Settle(*mAnn) == State::kAccepted); });
    auto carol = std::make_unique<Operator>(*mScheduler, mService, "carol", 3);
    carol->mStore.mFaultHook = [](std::uint64_t aIndex) {
      return aIndex == 0 ? KeyCallFault::kNone : KeyCallFault::kRequestLost;
    };
    carol->mEditor.Edit({ Set(kTaa, "share", "9") }, carol->Keep());
    mScheduler->Advance(20s);
    CPPUNIT_ASSERT(carol->LastState() == State::kUnknown);
    Section("settling rules out an edit that was not applied", [&] {
      CPPUNIT_ASSERT(Settle(*carol) == State::kNotApplied);
      CPPUNIT_ASSERT(Settle(*carol) == State::kNotApplied);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), ReadTable().mVersion);
    });
    Section("an edit older than the records cannot be settled", [&] {
      mScheduler->JumpWallClock(8 * 24h);
      CPPUNIT_ASSERT(Settle(*carol) == State::kInvalid);
    });
  }

  void TestOutageIsNotApplied()
  {
    mAnn->mStore.mFaultHook = [](std::uint64_t) {
      return KeyCallFault::kRefused;
    };
    mAnn->mEditor.Edit({ Set(kTaa, "share", "7") }, mAnn->Keep());
    mScheduler->Advance(60s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kNotApplied);
    Section("calls are bounded while the service is away",
            [&] { CPPUNIT_ASSERT(mService->mWrites < 25); });
  }

  void TestInvalid()
  {
    const auto refuses = [&](std::vector<CellEdit> aCells) {
      mAnn->mEditor.Edit(std::move(aCells), mAnn->Keep());
      mScheduler->Advance(1s);
      return mAnn->LastState() == State::kInvalid;
    };
    CPPUNIT_ASSERT(refuses({ Set(kTaa, "share", "0") }));
    CPPUNIT_ASSERT_EQUAL(
      std::string("sheet teams, row taa, column share: value '0': expected an "
                  "integer from 1 to 1000"),
      mAnn->mOutcomes.back().mMessage);
    CPPUNIT_ASSERT(refuses({ Set(kTaa, "colour", "1") }));
    CPPUNIT_ASSERT(refuses({ { kTaa, "colour", {}, {}, false } }));
    CPPUNIT_ASSERT(refuses({}));
    CPPUNIT_ASSERT(
      refuses({ Set(kTaa, "share", "1"), Set(kTaa, "share", "2") }));
    CPPUNIT_ASSERT(refuses({ Set(kTaa, "share", "1"), { kTaa, "", {}, {} } }));
    CPPUNIT_ASSERT(refuses({ Set({ Sheet::kTeams, "a/b" }, "share", "1") }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), mService->mWrites);
  }

  void TestDeletion()
  {
    mAnn->mEditor.Edit({ Set(kTaa, "share", "7") }, mAnn->Keep());
    mScheduler->Advance(1s);
    mAnn->mEditor.Edit({ { kTaa, "share", {}, {}, false } }, mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT_EQUAL(100U, ReadTable().mTeams.at(TeamName("taa")).mShare);
    mAnn->mEditor.Edit({ { kTaa, "", {}, {}, false } }, mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    CPPUNIT_ASSERT(ReadTable().mTeams.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), ReadTable().mVersion);
  }

  void TestImportInParts()
  {
    std::vector<CellEdit> cells;
    cells.reserve(250);
    for (int n = 0; n < 250; ++n) {
      cells.push_back(
        Set({ Sheet::kTeams, "t" + std::to_string(n) }, "share", "7"));
    }
    std::optional<ImportReport> report;
    const auto keep = [&](const ImportReport& aReport) { report = aReport; };
    Section("one bad cell refuses all parts", [&] {
      auto bad = cells;
      bad.back().mValue = "x";
      mAnn->mEditor.Import(bad, keep);
      mScheduler->Advance(5s);
      CPPUNIT_ASSERT(!report->IsComplete());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ReadTable().mVersion);
    });
    Section("an outage in the middle reports exactly what was applied", [&] {
      std::uint64_t calls = 0;
      mAnn->mStore.mFaultHook = [&](std::uint64_t) {
        return ++calls > 2 ? KeyCallFault::kRefused : KeyCallFault::kNone;
      };
      mAnn->mEditor.Import(cells, keep);
      mScheduler->Advance(30s);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), report->mParts.size());
      CPPUNIT_ASSERT(report->mParts[0].mState == State::kAccepted);
      CPPUNIT_ASSERT(report->mParts[1].mState == State::kNotApplied);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), report->mRows.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(100), ReadTable().mTeams.size());
    });
    Section("the same import again completes it", [&] {
      mAnn->mStore.mFaultHook = nullptr;
      mAnn->mEditor.Import(cells, keep);
      mScheduler->Advance(30s);
      CPPUNIT_ASSERT(report->IsComplete());
      CPPUNIT_ASSERT(report->mParts[0].mState == State::kUnchanged);
      CPPUNIT_ASSERT_EQUAL(std::size_t(250), ReadTable().mTeams.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), ReadTable().mVersion);
    });
    Section("long cells split by size as well", [&] {
      std::vector<CellEdit> models;
      models.reserve(100);
      for (int n = 0; n < 100; ++n) {
        models.push_back(
          Set({ Sheet::kModels, "m" + std::to_string(n) }, "adapters", "a"));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                           TableEditor::SplitImport(models).size());
    });
  }

  void TestHostMarks()
  {
    mAnn->mEditor.MarkHost("entry-1", "leaving", mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kAccepted);
    const auto keys = mService->mState.Range(TableKeys::kHostPrefix, true);
    const auto mark = HostMarkFromKey(keys.mKeys.at(0)).value();
    CPPUNIT_ASSERT(mark.mLeaving);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"), mark.mHost);
    mAnn->mEditor.MarkHost("entry-1", "joining", mAnn->Keep());
    mBob->mEditor.MarkHost("entry-1", std::nullopt, mBob->Keep());
    mScheduler->Advance(5s);
    CPPUNIT_ASSERT((mAnn->LastState() == State::kAccepted) !=
                   (mBob->LastState() == State::kAccepted));
    Section("the watcher of the hosts reads the same mark", [&] {
      mAnn->mEditor.MarkHost("engine-9",
                             "joining",
                             mAnn->Keep(),
                             { { "role", "engine" },
                               { "address", "127.0.0.1:9009" },
                               { "models", "a;b" },
                               { "checks_fencing", "true" } });
      mScheduler->Advance(1s);
      const auto marks = TableWatcher::ParseMarks(
        mService->mState.Range(TableKeys::Host("engine-9"), false).mKeys);
      const auto& joining = marks.at("engine-9");
      CPPUNIT_ASSERT(joining.mKind == MarkKind::kJoining);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9009"), joining.mAddress);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), joining.mModels.size());
      CPPUNIT_ASSERT(joining.mChecksFencing);
    });
    mAnn->mEditor.MarkHost("entry-1", "asleep", mAnn->Keep());
    mScheduler->Advance(1s);
    CPPUNIT_ASSERT(mAnn->LastState() == State::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ReadTable().mVersion);
  }

  void TestRetention()
  {
    for (int day = 0; day < 400; ++day) {
      mAnn->mEditor.Edit({ Set(kTaa, "share", day % 2 ? "7" : "8") },
                         mAnn->Keep());
      mScheduler->Advance(1s);
      mScheduler->JumpWallClock(24h);
    }
    const auto prune = PruneTransaction(mScheduler->WallNow());
    CPPUNIT_ASSERT(prune.mThen.size() <= 60);
    mService->mState.Commit(prune).value();
    const auto kept = mService->mState.Range(TableKeys::kEditPrefix, true);
    Section("whole days older than seven days are gone, none younger",
            [&] { CPPUNIT_ASSERT_EQUAL(std::size_t(7), kept.mKeys.size()); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), History(1000).size());
  }

private:
  Table ReadTable()
  {
    return TableFromKeys(mService->mState.Range(TableKeys::kTablePrefix, true))
      .value();
  }
  std::vector<EditRecord> History(std::size_t aLimit)
  {
    std::vector<EditRecord> records;
    ReadHistory(*mScheduler,
                mBob->mStore,
                aLimit,
                [&](Result<std::vector<EditRecord>> aResult) {
                  records = std::move(aResult).value();
                });
    mScheduler->Advance(5s);
    return records;
  }
  State Settle(const Operator& aOperator)
  {
    std::optional<State> state;
    SettleEdit(*mScheduler,
               mBob->mStore,
               aOperator.mOutcomes.back().mEditId,
               "bob",
               [&](const EditOutcome& aOutcome) { state = aOutcome.mState; });
    mScheduler->Advance(5s);
    return state.value();
  }

  std::unique_ptr<VirtualScheduler> mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::unique_ptr<Operator> mAnn;
  std::unique_ptr<Operator> mBob;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableEditorTest);

} // namespace ragwortdeck
