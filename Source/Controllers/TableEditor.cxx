#include "Controllers/TableEditor.h"

#include "Controllers/TableCodec.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace ragwortdeck {

namespace {

using Cell = std::optional<std::string>;

constexpr const char* kHostsSheet = "hosts";
constexpr const char* kMarkColumn = "mark";

Cell
CellOf(const RowCells& aCells, const std::string& aColumn)
{
  const auto it = aCells.find(aColumn);
  return it == aCells.end() ? Cell{} : Cell{ it->second };
}

/// \brief Plans an edit of table cells: remembers what the edit is based on,
/// and finds conflicts with it in later states.
class TablePlanner
{
public:
  explicit TablePlanner(std::vector<CellEdit> aCells)
    : mCells(std::move(aCells))
  {
  }

  EditPlan Plan(const KeyedEdit::Keys& aKeys)
  {
    EditPlan plan;
    std::map<RowAddress, RowCells> rows;
    if (!ReadRows(aKeys, rows, plan)) {
      return plan;
    }
    if (mBase.empty()) {
      RecordBase(rows);
    }
    auto wanted = rows;
    std::set<RowAddress> deleted;
    for (const auto& edit : mCells) {
      if (edit.mColumn.empty()) {
        PlanDeletion(edit.mRow, rows, wanted, plan);
        deleted.insert(edit.mRow);
      } else {
        PlanCell(edit, rows, wanted, plan);
      }
    }
    AddWrites(aKeys, wanted, deleted, plan);
    return plan;
  }

private:
  using Place = std::pair<RowAddress, std::string>;

  bool ReadRows(const KeyedEdit::Keys& aKeys,
                std::map<RowAddress, RowCells>& aRows,
                EditPlan& aPlan) const
  {
    for (const auto& edit : mCells) {
      const auto& row = edit.mRow;
      const auto it = aKeys.find(TableKeys::Row(row));
      if (it == aKeys.end()) {
        aRows[row];
        continue;
      }
      auto cells =
        TableCodec::CellsFromJson(row.mSheet, row.mRow, it->second.mValue);
      if (!cells) {
        aPlan.mInvalid = "the stored row is invalid: " + ToText(cells.error());
        return false;
      }
      aRows[row] = std::move(cells).value();
    }
    return true;
  }

  void RecordBase(const std::map<RowAddress, RowCells>& aRows)
  {
    for (const auto& edit : mCells) {
      if (edit.mColumn.empty()) {
        for (const auto& column : TableSchema::Columns(edit.mRow.mSheet)) {
          mBase[{ edit.mRow, column.mName }] =
            CellOf(aRows.at(edit.mRow), column.mName);
        }
        continue;
      }
      mBase[{ edit.mRow, edit.mColumn }] =
        edit.mGuarded ? edit.mExpected
                      : CellOf(aRows.at(edit.mRow), edit.mColumn);
    }
  }

  void Compare(const RowAddress& aRow,
               const std::string& aColumn,
               const Cell& aCurrent,
               const Cell& aWanted,
               EditPlan& aPlan) const
  {
    const auto& base = mBase.at({ aRow, aColumn });
    const CellDelta delta{
      ToText(aRow.mSheet), aRow.mRow, aColumn, base, aWanted
    };
    if (aCurrent != base) {
      aPlan.mConflicts.push_back({ delta, aCurrent });
    } else if (aCurrent != aWanted) {
      aPlan.mDeltas.push_back(delta);
    }
  }

  void PlanCell(const CellEdit& aEdit,
                const std::map<RowAddress, RowCells>& aRows,
                std::map<RowAddress, RowCells>& aWanted,
                EditPlan& aPlan) const
  {
    Compare(aEdit.mRow,
            aEdit.mColumn,
            CellOf(aRows.at(aEdit.mRow), aEdit.mColumn),
            aEdit.mValue,
            aPlan);
    if (aEdit.mValue) {
      aWanted[aEdit.mRow][aEdit.mColumn] = *aEdit.mValue;
    } else {
      aWanted[aEdit.mRow].erase(aEdit.mColumn);
    }
  }

  void PlanDeletion(const RowAddress& aRow,
                    const std::map<RowAddress, RowCells>& aRows,
                    std::map<RowAddress, RowCells>& aWanted,
                    EditPlan& aPlan) const
  {
    for (const auto& column : TableSchema::Columns(aRow.mSheet)) {
      Compare(aRow,
              column.mName,
              CellOf(aRows.at(aRow), column.mName),
              std::nullopt,
              aPlan);
    }
    aWanted[aRow].clear();
  }

  static void AddWrites(const KeyedEdit::Keys& aKeys,
                        const std::map<RowAddress, RowCells>& aWanted,
                        const std::set<RowAddress>& aDeleted,
                        EditPlan& aPlan)
  {
    for (const auto& [row, cells] : aWanted) {
      const auto key = TableKeys::Row(row);
      if (aDeleted.count(row) == 0) {
        aPlan.mWrites.push_back(
          KeyOperation::Put(key, TableCodec::JsonFromCells(row.mSheet, cells)));
      } else if (aKeys.count(key) != 0) {
        aPlan.mWrites.push_back(KeyOperation::Delete(key));
        // A row that exists without any cell is deleted all the same.
        if (aPlan.mDeltas.empty()) {
          aPlan.mDeltas.push_back(
            { ToText(row.mSheet), row.mRow, "*", {}, {} });
        }
      }
    }
  }

  std::vector<CellEdit> mCells;
  std::map<Place, Cell> mBase;
};

CellResult<void>
CheckEdits(std::vector<CellEdit>& aCells)
{
  std::set<std::pair<RowAddress, std::string>> seen;
  std::set<RowAddress> deleted;
  for (auto& edit : aCells) {
    const auto sheet = edit.mRow.mSheet;
    const auto& row = edit.mRow.mRow;
    const auto reject = [&](const char* aExpected) {
      return CellError{
        ToText(sheet), row, edit.mColumn, edit.mValue.value_or(""), aExpected
      };
    };
    const auto name = TableSchema::CheckRowName(sheet, row);
    if (!name) {
      return Failure(name.error());
    }
    if (!seen.insert({ edit.mRow, edit.mColumn }).second) {
      return Failure(reject("each cell once"));
    }
    if (edit.mColumn.empty()) {
      deleted.insert(edit.mRow);
      continue;
    }
    if (TableSchema::Find(sheet, edit.mColumn) == nullptr || edit.mValue) {
      auto text = TableSchema::CheckCell(
        sheet, row, edit.mColumn, edit.mValue.value_or(""));
      if (!text) {
        return Failure(text.error());
      }
      edit.mValue = std::move(text).value();
    }
  }
  for (const auto& edit : aCells) {
    if (!edit.mColumn.empty() && deleted.count(edit.mRow) != 0) {
      return Failure(CellError{ ToText(edit.mRow.mSheet),
                                edit.mRow.mRow,
                                edit.mColumn,
                                edit.mValue.value_or(""),
                                "no cell of a row that is deleted" });
    }
  }
  return Success();
}

std::vector<RowAddress>
RowsOf(const std::vector<CellEdit>& aCells)
{
  std::vector<RowAddress> rows;
  for (const auto& edit : aCells) {
    if (std::find(rows.begin(), rows.end(), edit.mRow) == rows.end()) {
      rows.push_back(edit.mRow);
    }
  }
  return rows;
}

// Bytes that a row adds to a transaction: its value, and the old and new value
// of each cell in the record. The old values are bounded by the longest cell.
std::size_t
EstimateBytes(const std::vector<CellEdit>& aCells)
{
  constexpr std::size_t kOverheadPerRow = 400;
  constexpr std::size_t kOverheadPerCell = 120;
  std::size_t bytes = kOverheadPerRow;
  for (const auto& edit : aCells) {
    const auto* column = TableSchema::Find(edit.mRow.mSheet, edit.mColumn);
    const bool isList =
      column != nullptr && column->mType == ColumnType::kNameList;
    bytes +=
      kOverheadPerCell + 2 * edit.mValue.value_or("").size() +
      (isList ? TableSchema::kMaxListNames * (TableSchema::kMaxTextBytes + 1)
              : TableSchema::kMaxTextBytes);
  }
  return bytes;
}

// Members of a joining mark besides its state.
const std::set<std::string>&
DetailNames()
{
  static const std::set<std::string> sNames = {
    "role", "address", "failure_domain", "models", "checks_fencing"
  };
  return sNames;
}

std::string
MarkJson(const StoredHostMark& aMark)
{
  const auto millis = std::chrono::floor<std::chrono::milliseconds>(aMark.mTime)
                        .time_since_epoch();
  QJsonObject object{ { "state", aMark.mLeaving ? "leaving" : "joining" },
                      { "author", QString::fromStdString(aMark.mAuthor) },
                      { "time_ms", static_cast<qint64>(millis.count()) } };
  for (const auto& [name, value] : aMark.mDetails) {
    const auto key = QString::fromStdString(name);
    if (name == "models") {
      QJsonArray models;
      for (const auto& model : SplitNames(value)) {
        models.append(QString::fromStdString(model));
      }
      object.insert(key, models);
    } else if (name == "checks_fencing") {
      object.insert(key, value == "true");
    } else {
      object.insert(key, QString::fromStdString(value));
    }
  }
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::map<std::string, std::string>
DetailsOf(const QJsonObject& aObject)
{
  std::map<std::string, std::string> details;
  for (const auto& name : DetailNames()) {
    const auto value = aObject.value(QString::fromStdString(name));
    if (value.isString() && !value.toString().isEmpty()) {
      details[name] = value.toString().toStdString();
    } else if (value.isArray()) {
      std::vector<std::string> names;
      for (const auto& entry : value.toArray()) {
        names.push_back(entry.toString().toStdString());
      }
      details[name] = JoinNames(names);
    } else if (value.toBool()) {
      details[name] = "true";
    }
  }
  return details;
}

// What is wrong with a mark; empty when nothing is.
std::string
CheckMark(const std::string& aHost,
          const std::optional<std::string>& aState,
          const std::map<std::string, std::string>& aDetails)
{
  // Host names follow the rules of team names.
  if (!TableSchema::CheckRowName(Sheet::kTeams, aHost) ||
      (aState && *aState != "joining" && *aState != "leaving")) {
    return "host '" + aHost + "', mark '" + aState.value_or("") +
           "': expected a host name and joining or leaving";
  }
  for (const auto& entry : aDetails) {
    const auto& name = entry.first;
    const auto& value = entry.second;
    const auto reject = [&](const char* aExpected) {
      std::string text = "host ";
      text.append(aHost).append(", ").append(name).append(": value '");
      return text.append(value).append("': expected ").append(aExpected);
    };
    if (aState != "joining" || DetailNames().count(name) == 0) {
      return reject("role, address, failure_domain, models or "
                    "checks_fencing, for a joining mark");
    }
    if (name == "role" && value != "entry" && value != "engine" &&
        value != "service") {
      return reject("entry, engine or service");
    }
    if (name == "checks_fencing" && value != "true") {
      return reject("true, or nothing for false");
    }
    if (name == "models" &&
        !TableSchema::CheckCell(Sheet::kModels, aHost, "adapters", value)) {
      return reject("different names separated by ';'");
    }
    if (value.empty() || value.size() > TableSchema::kMaxTextBytes * 8) {
      return reject("a short text");
    }
  }
  return {};
}

/// \brief Plans a change of one host mark.
class MarkPlanner
{
public:
  MarkPlanner(std::string aHost, std::optional<StoredHostMark> aMark)
    : mHost(std::move(aHost))
    , mMark(std::move(aMark))
  {
  }

  EditPlan Plan(const KeyedEdit::Keys& aKeys)
  {
    const auto key = TableKeys::Host(mHost);
    const auto it = aKeys.find(key);
    Cell current;
    if (it != aKeys.end()) {
      const auto mark = HostMarkFromKey(it->second);
      // An unreadable mark is replaced rather than kept for ever.
      current = mark ? ToText(mark.value()) : "unreadable";
    }
    if (!mHasBase) {
      mBase = current;
      mHasBase = true;
    }
    const auto wanted = mMark ? Cell{ ToText(*mMark) } : Cell{};
    EditPlan plan;
    const CellDelta delta{ kHostsSheet, mHost, kMarkColumn, mBase, wanted };
    if (current != mBase) {
      plan.mConflicts.push_back({ delta, current });
    } else if (current != wanted) {
      plan.mDeltas.push_back(delta);
      plan.mWrites.push_back(mMark ? KeyOperation::Put(key, MarkJson(*mMark))
                                   : KeyOperation::Delete(key));
    }
    return plan;
  }

private:
  std::string mHost;
  std::optional<StoredHostMark> mMark;
  Cell mBase;
  bool mHasBase = false;
};

} // namespace

/// \brief An import in progress.
struct TableEditor::ImportRun
{
  std::vector<std::vector<CellEdit>> mParts;
  ImportReport mReport;
  std::function<void(ImportReport)> mDone;
};

bool
ImportReport::IsComplete() const
{
  return mParts.size() == mRows.size() &&
         std::all_of(
           mParts.begin(), mParts.end(), [](const EditOutcome& aOutcome) {
             return aOutcome.mState == EditOutcome::State::kAccepted ||
                    aOutcome.mState == EditOutcome::State::kUnchanged;
           });
}

TableEditor::TableEditor(Scheduler& aScheduler,
                         KeyValueStore& aStore,
                         RandomSource aRandom,
                         std::string aAuthor,
                         EditLimits aLimits)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mRandom(aRandom)
  , mAuthor(std::move(aAuthor))
  , mLimits(aLimits)
  , mAlive(std::make_shared<char>())
{
}

TableEditor::~TableEditor()
{
  for (const auto& weak : mEdits) {
    if (const auto edit = weak.lock()) {
      edit->Abandon();
    }
  }
}

EditRecord
TableEditor::NewRecord()
{
  EditRecord record;
  record.mTime = mScheduler.WallNow();
  record.mId = NewEditId(record.mTime, mRandom);
  record.mAuthor = mAuthor;
  return record;
}

void
TableEditor::Start(KeyedEdit::Spec aSpec, Done aDone)
{
  aSpec.mLimits = mLimits;
  mEdits.erase(
    std::remove_if(mEdits.begin(),
                   mEdits.end(),
                   [](const auto& aEdit) { return aEdit.expired(); }),
    mEdits.end());
  mEdits.push_back(KeyedEdit::Start(
    mScheduler, mStore, mRandom.Split(), std::move(aSpec), std::move(aDone)));
}

void
TableEditor::Refuse(std::string aMessage, Done aDone)
{
  EditOutcome outcome;
  outcome.mState = EditOutcome::State::kInvalid;
  outcome.mMessage = std::move(aMessage);
  mScheduler.Post(
    Duration::zero(),
    [weak = std::weak_ptr<char>(mAlive), outcome, aDone = std::move(aDone)] {
      if (!weak.expired()) {
        aDone(outcome);
      }
    });
}

void
TableEditor::Edit(std::vector<CellEdit> aCells, Done aDone)
{
  Submit(std::move(aCells), 1, 1, std::move(aDone));
}

void
TableEditor::Submit(std::vector<CellEdit> aCells,
                    std::uint32_t aPart,
                    std::uint32_t aParts,
                    Done aDone)
{
  const auto checked = CheckEdits(aCells);
  if (!checked) {
    Refuse(ToText(checked.error()), std::move(aDone));
    return;
  }
  const auto rows = RowsOf(aCells);
  if (rows.empty() || rows.size() > kMaxRowsPerEdit) {
    Refuse("expected 1 to " + std::to_string(kMaxRowsPerEdit) +
             " rows in one edit, found " + std::to_string(rows.size()),
           std::move(aDone));
    return;
  }
  KeyedEdit::Spec spec;
  spec.mRecord = NewRecord();
  spec.mRecord.mPart = aPart;
  spec.mRecord.mParts = aParts;
  for (const auto& row : rows) {
    spec.mKeys.push_back(TableKeys::Row(row));
  }
  const auto planner = std::make_shared<TablePlanner>(std::move(aCells));
  spec.mPlan = [planner](const KeyedEdit::Keys& aKeys) {
    return planner->Plan(aKeys);
  };
  Start(std::move(spec), std::move(aDone));
}

std::vector<std::vector<CellEdit>>
TableEditor::SplitImport(const std::vector<CellEdit>& aCells)
{
  std::map<RowAddress, std::vector<CellEdit>> byRow;
  for (const auto& edit : aCells) {
    byRow[edit.mRow].push_back(edit);
  }
  std::vector<std::vector<CellEdit>> parts;
  std::size_t rows = 0;
  std::size_t bytes = 0;
  for (const auto& row : RowsOf(aCells)) {
    const auto& cells = byRow.at(row);
    const auto size = EstimateBytes(cells);
    if (parts.empty() || rows == kMaxRowsPerEdit ||
        bytes + size > kMaxBytesPerEdit) {
      parts.emplace_back();
      rows = 0;
      bytes = 0;
    }
    parts.back().insert(parts.back().end(), cells.begin(), cells.end());
    ++rows;
    bytes += size;
  }
  return parts;
}

void
TableEditor::Import(std::vector<CellEdit> aCells,
                    std::function<void(ImportReport)> aDone)
{
  const auto run = std::make_shared<ImportRun>();
  run->mDone = std::move(aDone);
  // One invalid cell refuses the import before any part is applied.
  const auto checked = CheckEdits(aCells);
  if (!checked) {
    run->mReport.mRows.push_back(RowsOf(aCells));
    Refuse(ToText(checked.error()), [run](EditOutcome aOutcome) {
      run->mReport.mParts.push_back(std::move(aOutcome));
      run->mDone(run->mReport);
    });
    return;
  }
  run->mParts = SplitImport(aCells);
  for (const auto& part : run->mParts) {
    run->mReport.mRows.push_back(RowsOf(part));
  }
  if (run->mParts.empty()) {
    mScheduler.Post(Duration::zero(), [run] { run->mDone(run->mReport); });
    return;
  }
  RunPart(run);
}

void
TableEditor::RunPart(const std::shared_ptr<ImportRun>& aRun)
{
  const auto index = aRun->mReport.mParts.size();
  Submit(aRun->mParts[index],
         static_cast<std::uint32_t>(index + 1),
         static_cast<std::uint32_t>(aRun->mParts.size()),
         [this, aRun](EditOutcome aOutcome) {
           const bool goesOn =
             aOutcome.mState == EditOutcome::State::kAccepted ||
             aOutcome.mState == EditOutcome::State::kUnchanged;
           aRun->mReport.mParts.push_back(std::move(aOutcome));
           if (goesOn && aRun->mReport.mParts.size() < aRun->mParts.size()) {
             RunPart(aRun);
           } else {
             aRun->mDone(aRun->mReport);
           }
         });
}

void
TableEditor::MarkHost(const std::string& aHost,
                      const std::optional<std::string>& aState,
                      Done aDone,
                      const std::map<std::string, std::string>& aDetails)
{
  auto problem = CheckMark(aHost, aState, aDetails);
  if (!problem.empty()) {
    Refuse(std::move(problem), std::move(aDone));
    return;
  }
  KeyedEdit::Spec spec;
  spec.mRecord = NewRecord();
  spec.mKeys = { TableKeys::Host(aHost) };
  spec.mWritesHead = false;
  std::optional<StoredHostMark> mark;
  if (aState) {
    mark = StoredHostMark{ aHost,
                           *aState == "leaving",
                           aDetails,
                           spec.mRecord.mAuthor,
                           spec.mRecord.mTime };
  }
  const auto planner = std::make_shared<MarkPlanner>(aHost, std::move(mark));
  spec.mPlan = [planner](const KeyedEdit::Keys& aKeys) {
    return planner->Plan(aKeys);
  };
  Start(std::move(spec), std::move(aDone));
}

std::string
ToText(const StoredHostMark& aMark)
{
  std::string text = aMark.mLeaving ? "leaving" : "joining";
  for (const auto& [name, value] : aMark.mDetails) {
    text.append(" ").append(name).append("=").append(value);
  }
  return text;
}

Result<StoredHostMark>
HostMarkFromKey(const KeyValue& aKey)
{
  const std::string prefix = TableKeys::kHostPrefix;
  const auto object =
    QJsonDocument::fromJson(QByteArray::fromStdString(aKey.mValue)).object();
  const auto state = object["state"].toString();
  if (aKey.mKey.size() <= prefix.size() ||
      aKey.mKey.compare(0, prefix.size(), prefix) != 0 ||
      (state != "joining" && state != "leaving")) {
    return Failure(ErrorCode::kCorrupt,
                   aKey.mKey + ": expected a mark, joining or leaving");
  }
  return StoredHostMark{ aKey.mKey.substr(prefix.size()),
                         state == "leaving",
                         DetailsOf(object),
                         object["author"].toString().toStdString(),
                         WallTime(std::chrono::milliseconds(
                           object["time_ms"].toInteger())) };
}

} // namespace ragwortdeck
