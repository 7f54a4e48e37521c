#include "Controllers/EditHistory.h"
#include "Controllers/TableCodec.h"
#include "Controllers/TableEditor.h"
#include "Support/SimulatedProcess.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <utility>

namespace ragwortdeck {

using namespace std::chrono_literals;
using State = EditOutcome::State;

namespace {

using CellKey = std::tuple<std::string, std::string, std::string>;

/// \brief Chances of faults per call and of a restart per edit, in percent.
struct EditFaults
{
  int mLostReply = 0;
  int mLostRequest = 0;
  int mDelayed = 0;
  int mDelayedLong = 0;
  int mRefused = 0;
  int mRestart = 0;
};

/// \brief Several editors that edit few cells at once through faulty clients,
/// and the checks over what they were told.
class EditorWorld
{
public:
  EditorWorld(std::uint64_t aSeed, EditFaults aFaults, int aEditors)
    : mRandom(aSeed)
    , mFaults(aFaults)
    , mService(std::make_shared<FakeKeyValueService>())
    , mEditors(static_cast<std::size_t>(aEditors))
  {
    for (std::size_t n = 0; n < mEditors.size(); ++n) {
      Restart(n);
    }
  }

  void Run(int aEdits)
  {
    for (int n = 0; n < aEdits; ++n) {
      const auto editor = mRandom.Below(mEditors.size());
      if (mRandom.Chance(mFaults.mRestart / 100.0)) {
        Restart(editor);
      }
      StartEdit(editor);
      mScheduler.Advance(std::chrono::milliseconds(mRandom.Below(1500)));
    }
    mScheduler.Advance(120s);
  }

  // Nothing wrong: empty; otherwise what is.
  std::string Check()
  {
    auto problem = Replay();
    for (const auto& outcome : mOutcomes) {
      if (problem.empty()) {
        problem = CheckOutcome(outcome);
      }
    }
    return problem;
  }

  int Count(State aState) const
  {
    return static_cast<int>(
      std::count_if(mOutcomes.begin(),
                    mOutcomes.end(),
                    [aState](const EditOutcome& aOutcome) {
                      return aOutcome.mState == aState;
                    }));
  }

private:
  struct Process
  {
    std::unique_ptr<SimulatedProcess> mProcess;
    std::unique_ptr<ProcessKeyValueStore> mStore;
    std::unique_ptr<TableEditor> mEditor;
  };

  void Restart(std::size_t aIndex)
  {
    auto& process = mEditors[aIndex];
    if (process.mProcess) {
      process.mEditor.reset();
      process.mProcess->Kill();
      // Its requests still travel.
      mDead.push_back(std::exchange(process, Process{}));
    }
    process.mProcess = std::make_unique<SimulatedProcess>(mScheduler);
    process.mStore =
      std::make_unique<ProcessKeyValueStore>(*process.mProcess, mService);
    process.mStore->Inner().mLatency =
      std::chrono::milliseconds(1 + mRandom.Below(300));
    process.mStore->mFaultHook = [this] { return NextFault(); };
    process.mEditor = std::make_unique<TableEditor>(*process.mProcess,
                                                    *process.mStore,
                                                    mRandom.Split(),
                                                    "editor",
                                                    EditLimits{});
  }

  ProcessCallFault NextFault()
  {
    auto left = static_cast<int>(mRandom.Below(100));
    const auto takes = [&left](int aChance) {
      left -= aChance;
      return left < 0;
    };
    if (takes(mFaults.mLostReply)) {
      return ProcessCallFault::kReplyLost;
    }
    if (takes(mFaults.mLostRequest)) {
      return ProcessCallFault::kRequestLost;
    }
    if (takes(mFaults.mDelayed)) {
      return ProcessCallFault::kDelayedPastTimeout;
    }
    if (takes(mFaults.mDelayedLong)) {
      return ProcessCallFault::kDelayedLong;
    }
    return takes(mFaults.mRefused) ? ProcessCallFault::kRefused
                                   : ProcessCallFault::kNone;
  }

  void StartEdit(std::size_t aIndex)
  {
    auto& editor = *mEditors[aIndex].mEditor;
    const auto keep = [this](const EditOutcome& aOutcome) {
      mOutcomes.push_back(aOutcome);
    };
    const auto row = "r" + std::to_string(mRandom.Below(2));
    if (mRandom.Chance(0.25)) {
      const char* marks[] = { "joining", "leaving" };
      editor.MarkHost(row,
                      mRandom.Chance(0.4)
                        ? std::optional<std::string>{}
                        : std::string(marks[mRandom.Below(2)]),
                      keep);
      return;
    }
    const RowAddress address{ Sheet::kTeams, row };
    if (mRandom.Chance(0.15)) {
      editor.Edit({ { address, "", {}, {}, false } }, keep);
      return;
    }
    std::vector<CellEdit> cells;
    for (const auto* column : { "share", "priority", "max_concurrent" }) {
      if (mRandom.Chance(0.5)) {
        cells.push_back(
          { address, column, std::to_string(1 + mRandom.Below(4)), {}, false });
      }
    }
    if (!cells.empty()) {
      editor.Edit(std::move(cells), keep);
    }
  }

  // Replays the records in the order in which they were written. Each must be
  // based on the values that the edits before it left, versions must count
  // without gaps, and the end must be what is stored. A lost, doubled or
  // half-applied edit breaks one of these.
  std::string Replay()
  {
    std::map<CellKey, std::string> cells;
    std::map<std::int64_t, EditRecord> records;
    const auto stored = mService->mState.Range(TableKeys::kEditPrefix, true);
    for (const auto& key : stored.mKeys) {
      if (key.mVersion != 1) {
        return "a record was written twice";
      }
      records[key.mCreateRevision] = EditRecordFromJson(key.mValue).value();
    }
    std::uint64_t version = 0;
    for (const auto& [revision, record] : records) {
      mRecords[record.mId] = record;
      if (record.mCancelled) {
        continue;
      }
      if (record.mVersion != 0 && record.mVersion != ++version) {
        return "versions have a gap";
      }
      for (const auto& cell : record.mCells) {
        const CellKey key{ cell.mSheet, cell.mRow, cell.mColumn };
        const auto it = cells.find(key);
        const auto current = it == cells.end()
                               ? std::optional<std::string>{}
                               : std::optional<std::string>{ it->second };
        if (current != cell.mOld) {
          return "an edit was based on a value that was not there";
        }
        cells.erase(key);
        if (cell.mNew) {
          cells[key] = *cell.mNew;
        }
      }
    }
    const auto head = mService->mState.Range(TableKeys::kHead, false);
    const auto headVersion =
      head.mKeys.empty() ? 0 : head.mKeys.front().mVersion;
    if (static_cast<std::int64_t>(version) != headVersion) {
      return "the head does not count the edits";
    }
    return cells == StoredCells() ? "" : "the stored cells are not the edits'";
  }

  std::map<CellKey, std::string> StoredCells() const
  {
    std::map<CellKey, std::string> cells;
    const auto table = mService->mState.Range(TableKeys::kTablePrefix, true);
    for (const auto& key : table.mKeys) {
      const auto row = TableKeys::ParseRow(key.mKey);
      if (!row) {
        continue;
      }
      const auto values =
        TableCodec::CellsFromJson(row->mSheet, row->mRow, key.mValue).value();
      for (const auto& [column, value] : values) {
        cells[{ ToText(row->mSheet), row->mRow, column }] = value;
      }
    }
    const auto hosts = mService->mState.Range(TableKeys::kHostPrefix, true);
    for (const auto& key : hosts.mKeys) {
      const auto mark = HostMarkFromKey(key).value();
      cells[{ "hosts", mark.mHost, "mark" }] =
        mark.mLeaving ? "leaving" : "joining";
    }
    return cells;
  }

  std::string CheckOutcome(const EditOutcome& aOutcome) const
  {
    const auto it = mRecords.find(aOutcome.mEditId);
    const bool applied = it != mRecords.end() && !it->second.mCancelled;
    switch (aOutcome.mState) {
      case State::kAccepted:
        if (!applied || it->second.mVersion != aOutcome.mVersion) {
          return "an accepted edit was not applied";
        }
        break;
      case State::kUnknown:
        break;
      case State::kUnchanged:
      case State::kConflict:
      case State::kNotApplied:
      case State::kInvalid:
        if (applied) {
          return std::string("an applied edit was reported as ") +
                 ToText(aOutcome.mState);
        }
        break;
    }
    return {};
  }

  RandomSource mRandom;
  EditFaults mFaults;
  VirtualScheduler mScheduler;
  std::shared_ptr<FakeKeyValueService> mService;
  std::vector<Process> mEditors;
  std::vector<Process> mDead;
  std::vector<EditOutcome> mOutcomes;
  std::map<std::string, EditRecord> mRecords;
};

} // namespace

/// \brief Random interleavings of editors with lost replies, delayed writes
/// and restarts: no accepted edit is lost, none is applied twice, none is
/// reported wrongly, and versions count without gaps.
class TableEditorPropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableEditorPropertyTest);
  CPPUNIT_TEST(TestInterleavings);
  CPPUNIT_TEST(TestFaultsDoHappen);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestInterleavings()
  {
    CPPUNIT_ASSERT(rc::check("edits under random faults", [] {
      const EditFaults faults{
        *rc::gen::inRange(0, 30), *rc::gen::inRange(0, 15),
        *rc::gen::inRange(0, 20), *rc::gen::inRange(0, 30),
        *rc::gen::inRange(0, 15), *rc::gen::inRange(0, 10)
      };
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      EditorWorld world(seed, faults, *rc::gen::inRange(1, 6));
      world.Run(40);
      const auto problem = world.Check();
      if (!problem.empty()) {
        RC_FAIL(problem);
      }
    }));
  }

  // Shows that the property is not met by doing nothing.
  void TestFaultsDoHappen()
  {
    EditorWorld world(5, { 20, 10, 10, 20, 10, 5 }, 4);
    world.Run(300);
    CPPUNIT_ASSERT_EQUAL(std::string(), world.Check());
    CPPUNIT_ASSERT(world.Count(State::kAccepted) > 50);
    CPPUNIT_ASSERT(world.Count(State::kConflict) > 10);
    CPPUNIT_ASSERT(world.Count(State::kUnchanged) > 10);
    CPPUNIT_ASSERT(world.Count(State::kUnknown) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableEditorPropertyTest);

} // namespace ragwortdeck
