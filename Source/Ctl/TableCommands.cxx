#include "Controllers/EditHistory.h"
#include "Controllers/TableCodec.h"
#include "Controllers/TableEditor.h"
#include "Ctl/CsvSheet.h"
#include "Ctl/CtlCommands.h"
#include "Ctl/CtlOutcome.h"

#include <QDateTime>
#include <QDir>
#include <QFileInfo>
#include <QJsonArray>
#include <QSaveFile>
#include <ostream>

namespace ragwortdeck {

namespace {

constexpr std::size_t kMaxWords = 1000;

/// \brief The set cells of all sheets, at one version.
struct Cells
{
  std::uint64_t mVersion = 0;
  std::map<Sheet, std::map<std::string, RowCells>> mSheets;
};

Result<Cells>
ReadCells(CtlContext& aContext)
{
  const auto reply = aContext.Await<KeyValueResult<KeyRangeReply>>(
    [&](KeyValueCallback<KeyRangeReply> aDone) {
      aContext.mStore.Range(TableKeys::kTablePrefix, true, std::move(aDone));
    });
  if (!reply) {
    return Failure(ErrorCode::kUnavailable, reply.error().mMessage);
  }
  Cells cells;
  for (const auto& key : reply.value().mKeys) {
    if (key.mKey == TableKeys::kHead) {
      cells.mVersion = static_cast<std::uint64_t>(key.mVersion);
      continue;
    }
    const auto row = TableKeys::ParseRow(key.mKey);
    if (!row) {
      return Failure(ErrorCode::kCorrupt,
                     "key " + key.mKey + " is not a row of the table");
    }
    auto parsed = TableCodec::CellsFromJson(row->mSheet, row->mRow, key.mValue);
    if (!parsed) {
      return Failure(ErrorCode::kCorrupt, ToText(parsed.error()));
    }
    cells.mSheets[row->mSheet][row->mRow] = std::move(parsed).value();
  }
  return cells;
}

int
Fail(CtlContext& aContext, const Error& aError)
{
  return Fail(aContext,
              aError.mCode == ErrorCode::kUnavailable ? kExitUnavailable
                                                      : kExitFailure,
              aError.mMessage);
}

// "teams/taa"; model names may contain '/'.
std::optional<RowAddress>
ParseAddress(CtlContext& aContext, const std::string& aWord)
{
  auto row = TableKeys::ParseRow(TableKeys::kTablePrefix + aWord);
  if (!row) {
    aContext.mErr << "ragwort-ctl: expected SHEET/ROW with sheet teams, kinds "
                     "or models, found '"
                  << aWord << "'\n";
  }
  return row;
}

QJsonObject
ToJson(Sheet aSheet, const RowCells& aCells)
{
  QJsonObject object;
  for (const auto& column : TableSchema::Columns(aSheet)) {
    const auto it = aCells.find(column.mName);
    object.insert(
      QString::fromStdString(column.mName),
      QJsonObject{ { "value",
                     QString::fromStdString(it == aCells.end() ? column.mDefault
                                                               : it->second) },
                   { "set", it != aCells.end() } });
  }
  return object;
}

// A cell that is not set shows its default in parentheses.
void
PrintRow(CtlContext& aContext,
         Sheet aSheet,
         const std::string& aRow,
         const RowCells& aCells)
{
  aContext.mOut << ToText(aSheet) << "/" << aRow;
  for (const auto& column : TableSchema::Columns(aSheet)) {
    const auto it = aCells.find(column.mName);
    aContext.mOut << "  " << column.mName << "=";
    if (it == aCells.end()) {
      aContext.mOut << "(" << column.mDefault << ")";
    } else {
      aContext.mOut << it->second;
    }
  }
  aContext.mOut << "\n";
}

int
Show(CtlContext& aContext, const CtlArguments& aArguments)
{
  std::vector<Sheet> sheets(kSheets.begin(), kSheets.end());
  if (!aArguments.mWords.empty()) {
    const auto sheet = SheetFromText(aArguments.mWords[0]);
    if (!sheet) {
      return Fail(
        aContext, kExitUsage, "expected a sheet: teams, kinds or models");
    }
    sheets = { *sheet };
  }
  const auto cells = ReadCells(aContext);
  if (!cells) {
    return Fail(aContext, cells.error());
  }
  QJsonObject all{ { "version", static_cast<qint64>(cells.value().mVersion) } };
  if (!aContext.mJson) {
    aContext.mOut << "version " << cells.value().mVersion << "\n";
  }
  for (const auto sheet : sheets) {
    QJsonObject rows;
    const auto it = cells.value().mSheets.find(sheet);
    if (it != cells.value().mSheets.end()) {
      for (const auto& [row, values] : it->second) {
        rows.insert(QString::fromStdString(row), ToJson(sheet, values));
        if (!aContext.mJson) {
          PrintRow(aContext, sheet, row, values);
        }
      }
    }
    all.insert(ToText(sheet), rows);
  }
  if (aContext.mJson) {
    PrintJson(aContext, all);
  }
  return kExitSuccess;
}

int
Get(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto address = ParseAddress(aContext, aArguments.mWords[0]);
  if (!address) {
    return kExitUsage;
  }
  const bool wantsCell = aArguments.mWords.size() == 2;
  const auto* column =
    wantsCell ? TableSchema::Find(address->mSheet, aArguments.mWords[1])
              : nullptr;
  if (wantsCell && column == nullptr) {
    return Fail(aContext, kExitUsage, "no column " + aArguments.mWords[1]);
  }
  const auto cells = ReadCells(aContext);
  if (!cells) {
    return Fail(aContext, cells.error());
  }
  const auto sheet = cells.value().mSheets.find(address->mSheet);
  if (sheet == cells.value().mSheets.end() ||
      sheet->second.count(address->mRow) == 0) {
    return Fail(aContext, kExitFailure, "no row " + aArguments.mWords[0]);
  }
  const auto& row = sheet->second.at(address->mRow);
  if (aContext.mJson) {
    PrintJson(aContext, ToJson(address->mSheet, row));
  } else if (wantsCell) {
    const auto it = row.find(column->mName);
    aContext.mOut << (it == row.end() ? column->mDefault : it->second) << "\n";
  } else {
    PrintRow(aContext, address->mSheet, address->mRow, row);
  }
  return kExitSuccess;
}

int
Apply(CtlContext& aContext, std::vector<CellEdit> aCells)
{
  TableEditor editor(aContext.mScheduler,
                     aContext.mStore,
                     aContext.mRandom.Split(),
                     aContext.mAuthor);
  return Report(aContext,
                aContext.Await<EditOutcome>([&](TableEditor::Done aDone) {
                  editor.Edit(aCells, std::move(aDone));
                }));
}

// Guards the edits by --if-value, one per cell in the same order; "-" stands
// for a cell that is not set.
bool
Guard(std::vector<CellEdit>& aCells, const std::vector<std::string>& aValues)
{
  if (aValues.empty()) {
    return true;
  }
  if (aValues.size() != aCells.size()) {
    return false;
  }
  for (std::size_t n = 0; n < aCells.size(); ++n) {
    aCells[n].mGuarded = true;
    if (aValues[n] != "-") {
      aCells[n].mExpected = aValues[n];
    }
  }
  return true;
}

int
ApplyGuarded(CtlContext& aContext,
             std::vector<CellEdit> aCells,
             const CtlArguments& aArguments)
{
  if (!Guard(aCells, aArguments.mIfValues)) {
    return Fail(aContext,
                kExitUsage,
                "expected one --if-value for each cell, in the same order");
  }
  return Apply(aContext, std::move(aCells));
}

int
Set(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto address = ParseAddress(aContext, aArguments.mWords[0]);
  if (!address) {
    return kExitUsage;
  }
  std::vector<CellEdit> cells;
  for (std::size_t n = 1; n < aArguments.mWords.size(); ++n) {
    const auto& word = aArguments.mWords[n];
    const auto equals = word.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Fail(
        aContext, kExitUsage, "expected COLUMN=VALUE, found '" + word + "'");
    }
    cells.push_back(
      { *address, word.substr(0, equals), word.substr(equals + 1) });
  }
  return ApplyGuarded(aContext, std::move(cells), aArguments);
}

int
Unset(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto address = ParseAddress(aContext, aArguments.mWords[0]);
  if (!address) {
    return kExitUsage;
  }
  if (aArguments.mWords.size() == 1) {
    if (!aArguments.mIfValues.empty()) {
      return Fail(
        aContext, kExitUsage, "--if-value needs the columns to unset");
    }
    return Apply(aContext, { { *address, "" } });
  }
  std::vector<CellEdit> cells;
  for (std::size_t n = 1; n < aArguments.mWords.size(); ++n) {
    cells.push_back({ *address, aArguments.mWords[n] });
  }
  return ApplyGuarded(aContext, std::move(cells), aArguments);
}

Result<CsvSheet>
ReadSheet(const QString& aFile)
{
  const auto name = QFileInfo(aFile).completeBaseName().toStdString();
  const auto sheet = SheetFromText(name);
  if (!sheet) {
    return Failure(ErrorCode::kInvalidArgument,
                   aFile.toStdString() +
                     ": expected teams.csv, kinds.csv or models.csv");
  }
  QFile file(aFile);
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure(ErrorCode::kNotFound,
                   aFile.toStdString() + ": " +
                     file.errorString().toStdString());
  }
  auto parsed = SheetFromCsv(
    *sheet, file.read(static_cast<qint64>(kMaxCsvBytes) + 1).toStdString());
  if (!parsed) {
    return Failure(parsed.error().mCode,
                   aFile.toStdString() + ": " + parsed.error().mMessage);
  }
  return parsed;
}

// The files of a directory, or the file itself.
std::vector<QString>
SheetFiles(const std::string& aPath)
{
  const auto path = QString::fromStdString(aPath);
  if (!QFileInfo(path).isDir()) {
    return { path };
  }
  std::vector<QString> files;
  for (const auto sheet : kSheets) {
    const auto file = QDir(path).filePath(QString(ToText(sheet)) + ".csv");
    if (QFileInfo::exists(file)) {
      files.push_back(file);
    }
  }
  return files;
}

Result<std::vector<CellEdit>>
ReadImport(const CtlArguments& aArguments)
{
  std::vector<CellEdit> cells;
  for (const auto& word : aArguments.mWords) {
    for (const auto& file : SheetFiles(word)) {
      const auto sheet = ReadSheet(file);
      if (!sheet) {
        return Failure(sheet.error());
      }
      std::optional<CsvSheet> base;
      if (!aArguments.mBase.empty()) {
        const auto baseFile =
          QDir(QString::fromStdString(aArguments.mBase))
            .filePath(QString(ToText(sheet.value().mSheet)) + ".csv");
        auto parsed = ReadSheet(baseFile);
        if (!parsed) {
          return Failure(parsed.error());
        }
        base = std::move(parsed).value();
      }
      const auto edits = ImportEdits(sheet.value(), base ? &*base : nullptr);
      cells.insert(cells.end(), edits.begin(), edits.end());
    }
  }
  return cells;
}

int
ReportImport(CtlContext& aContext, const ImportReport& aReport)
{
  QJsonArray parts;
  int code = kExitSuccess;
  for (std::size_t n = 0; n < aReport.mRows.size(); ++n) {
    const bool tried = n < aReport.mParts.size();
    QJsonArray rows;
    for (const auto& row : aReport.mRows[n]) {
      rows.append(QString::fromStdString(std::string(ToText(row.mSheet)) + "/" +
                                         row.mRow));
    }
    if (aContext.mJson) {
      auto part = tried ? ToJson(aReport.mParts[n])
                        : QJsonObject{ { "state", "not-tried" } };
      part.insert("rows", rows);
      parts.append(part);
    } else {
      aContext.mOut << "part " << n + 1 << " of " << aReport.mRows.size()
                    << ", " << aReport.mRows[n].size() << " rows from "
                    << rows.first().toString().toStdString() << " to "
                    << rows.last().toString().toStdString() << ": "
                    << (tried ? "" : "not tried\n");
    }
    if (tried) {
      code = aContext.mJson ? ExitCodeOf(aReport.mParts[n].mState)
                            : Report(aContext, aReport.mParts[n]);
    }
  }
  if (aContext.mJson) {
    PrintJson(aContext, { { "parts", parts } });
  } else if (aReport.mRows.empty()) {
    aContext.mOut << "nothing to import\n";
  }
  return code;
}

int
Import(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto cells = ReadImport(aArguments);
  if (!cells) {
    return Fail(aContext, cells.error());
  }
  TableEditor editor(aContext.mScheduler,
                     aContext.mStore,
                     aContext.mRandom.Split(),
                     aContext.mAuthor);
  return ReportImport(
    aContext,
    aContext.Await<ImportReport>([&](std::function<void(ImportReport)> aDone) {
      editor.Import(cells.value(), std::move(aDone));
    }));
}

int
Export(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto cells = ReadCells(aContext);
  if (!cells) {
    return Fail(aContext, cells.error());
  }
  const QDir directory(QString::fromStdString(aArguments.mWords[0]));
  if (!directory.mkpath(".")) {
    return Fail(
      aContext, kExitFailure, "cannot create " + aArguments.mWords[0]);
  }
  for (const auto sheet : kSheets) {
    CsvSheet csv;
    csv.mSheet = sheet;
    for (const auto& column : TableSchema::Columns(sheet)) {
      csv.mColumns.push_back(column.mName);
    }
    const auto it = cells.value().mSheets.find(sheet);
    if (it != cells.value().mSheets.end()) {
      csv.mRows = it->second;
    }
    QSaveFile file(directory.filePath(QString(ToText(sheet)) + ".csv"));
    const auto text = QByteArray::fromStdString(ToCsv(csv));
    if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size() ||
        !file.commit()) {
      return Fail(aContext,
                  kExitFailure,
                  file.fileName().toStdString() + ": " +
                    file.errorString().toStdString());
    }
  }
  aContext.mOut << "exported version " << cells.value().mVersion << "\n";
  return kExitSuccess;
}

Result<std::vector<EditRecord>>
FetchHistory(CtlContext& aContext, std::size_t aLimit)
{
  using Records = Result<std::vector<EditRecord>>;
  return aContext.Await<Records>([&](std::function<void(Records)> aDone) {
    ReadHistory(aContext.mScheduler, aContext.mStore, aLimit, std::move(aDone));
  });
}

int
History(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto records = FetchHistory(aContext, aArguments.mLimit);
  if (!records) {
    return Fail(aContext, records.error());
  }
  for (const auto& record : records.value()) {
    if (aContext.mJson) {
      aContext.mOut << ToJson(record) << "\n";
      continue;
    }
    const auto time = QDateTime::fromMSecsSinceEpoch(
      std::chrono::floor<std::chrono::milliseconds>(record.mTime)
        .time_since_epoch()
        .count(),
      Qt::UTC);
    aContext.mOut << time.toString(Qt::ISODateWithMs).toStdString() << "  "
                  << (record.mCancelled ? "not applied"
                      : record.mVersion == 0
                        ? std::string("hosts")
                        : "version " + std::to_string(record.mVersion))
                  << "  " << record.mAuthor << "  " << record.mId << "\n";
    for (const auto& cell : record.mCells) {
      aContext.mOut << "    " << ToText(cell) << "\n";
    }
  }
  return kExitSuccess;
}

int
Diff(CtlContext& aContext, const CtlArguments& aArguments)
{
  bool fromValid = false;
  bool toValid = false;
  const auto from =
    QString::fromStdString(aArguments.mWords[0]).toULongLong(&fromValid);
  const auto to =
    QString::fromStdString(aArguments.mWords[1]).toULongLong(&toValid);
  if (!fromValid || !toValid || from > to) {
    return Fail(aContext, kExitUsage, "expected two versions, older first");
  }
  const auto records =
    FetchHistory(aContext, std::numeric_limits<std::size_t>::max());
  if (!records) {
    return Fail(aContext, records.error());
  }
  const auto deltas = DiffVersions(records.value(), from, to);
  if (!deltas) {
    return Fail(aContext, deltas.error());
  }
  QJsonArray cells;
  for (const auto& delta : deltas.value()) {
    cells.append(ToJson(delta));
    if (!aContext.mJson) {
      aContext.mOut << ToText(delta) << "\n";
    }
  }
  if (aContext.mJson) {
    PrintJson(aContext, { { "cells", cells } });
  }
  return kExitSuccess;
}

int
Check(CtlContext& aContext, const CtlArguments& aArguments)
{
  const auto outcome =
    aContext.Await<EditOutcome>([&](std::function<void(EditOutcome)> aDone) {
      SettleEdit(aContext.mScheduler,
                 aContext.mStore,
                 aArguments.mWords[0],
                 aContext.mAuthor,
                 std::move(aDone));
    });
  // A definite answer is a success of the check.
  const auto code = Report(aContext, outcome);
  return outcome.mState == EditOutcome::State::kNotApplied ? kExitSuccess
                                                           : code;
}

int
Prune(CtlContext& aContext, const CtlArguments&)
{
  const auto reply = aContext.Await<KeyValueResult<KeyTransactionReply>>(
    [&](KeyValueCallback<KeyTransactionReply> aDone) {
      aContext.mStore.Commit(PruneTransaction(aContext.mScheduler.WallNow()),
                             std::move(aDone));
    });
  if (!reply) {
    return Fail(aContext, kExitUnavailable, reply.error().mMessage);
  }
  aContext.mOut << "edit records older than 7 days are deleted\n";
  return kExitSuccess;
}

} // namespace

std::vector<CtlCommand>
TableCommands()
{
  return {
    { "table", "show", "[SHEET]", "show all rows", 0, 1, true, Show },
    { "table", "get", "SHEET/ROW [COLUMN]", "show one row", 1, 2, true, Get },
    { "table",
      "set",
      "SHEET/ROW COLUMN=VALUE... [--if-value OLD...]",
      "set cells of a row in one edit",
      2,
      kMaxWords,
      true,
      Set },
    { "table",
      "unset",
      "SHEET/ROW [COLUMN...]",
      "return cells to their default, or delete the row",
      1,
      kMaxWords,
      true,
      Unset },
    { "table",
      "import",
      "DIRECTORY|FILE... [--base DIRECTORY]",
      "set cells from teams.csv, kinds.csv and models.csv",
      1,
      kMaxWords,
      true,
      Import },
    { "table",
      "export",
      "DIRECTORY",
      "write one CSV per sheet",
      1,
      1,
      true,
      Export },
    { "table",
      "history",
      "[--limit N]",
      "show edits, newest first",
      0,
      0,
      true,
      History },
    { "table",
      "diff",
      "FROM TO",
      "show the changes between two versions",
      2,
      2,
      true,
      Diff },
    { "table",
      "check",
      "EDIT",
      "settle an edit whose outcome was unknown",
      1,
      1,
      true,
      Check },
    { "table",
      "prune",
      "",
      "delete edit records older than 7 days",
      0,
      0,
      true,
      Prune },
  };
}

} // namespace ragwortdeck
