#include "Ctl/CtlOutcome.h"

#include <QJsonArray>
#include <ostream>

namespace ragwortdeck {

namespace {

std::string
Shown(const std::optional<std::string>& aValue)
{
  return aValue.value_or("(not set)");
}

QJsonValue
ToValue(const std::optional<std::string>& aValue)
{
  return aValue ? QJsonValue(QString::fromStdString(*aValue)) : QJsonValue();
}

void
PrintConflicts(CtlContext& aContext, const EditOutcome& aOutcome)
{
  for (const auto& conflict : aOutcome.mConflicts) {
    const auto& cell = conflict.mCell;
    aContext.mErr << "conflict: " << cell.mSheet << "/" << cell.mRow << " "
                  << cell.mColumn << " is now " << Shown(conflict.mCurrent)
                  << ", expected " << Shown(cell.mOld) << "\n";
  }
}

} // namespace

int
ExitCodeOf(EditOutcome::State aState)
{
  switch (aState) {
    case EditOutcome::State::kAccepted:
    case EditOutcome::State::kUnchanged:
      return kExitSuccess;
    case EditOutcome::State::kConflict:
      return kExitConflict;
    case EditOutcome::State::kInvalid:
      return kExitUsage;
    case EditOutcome::State::kNotApplied:
    case EditOutcome::State::kUnknown:
      break;
  }
  return kExitUnavailable;
}

QJsonObject
ToJson(const CellDelta& aCell)
{
  return { { "sheet", QString::fromStdString(aCell.mSheet) },
           { "row", QString::fromStdString(aCell.mRow) },
           { "column", QString::fromStdString(aCell.mColumn) },
           { "old", ToValue(aCell.mOld) },
           { "new", ToValue(aCell.mNew) } };
}

QJsonObject
ToJson(const EditOutcome& aOutcome)
{
  QJsonArray conflicts;
  for (const auto& conflict : aOutcome.mConflicts) {
    auto object = ToJson(conflict.mCell);
    object.insert("current", ToValue(conflict.mCurrent));
    conflicts.append(object);
  }
  return { { "state", ToText(aOutcome.mState) },
           { "edit", QString::fromStdString(aOutcome.mEditId) },
           { "version", static_cast<qint64>(aOutcome.mVersion) },
           { "conflicts", conflicts },
           { "message", QString::fromStdString(aOutcome.mMessage) } };
}

std::string
ToText(const CellDelta& aCell)
{
  return aCell.mSheet + "/" + aCell.mRow + " " + aCell.mColumn + ": " +
         Shown(aCell.mOld) + " -> " + Shown(aCell.mNew);
}

int
Report(CtlContext& aContext, const EditOutcome& aOutcome)
{
  const auto code = ExitCodeOf(aOutcome.mState);
  if (aContext.mJson) {
    PrintJson(aContext, ToJson(aOutcome));
    return code;
  }
  switch (aOutcome.mState) {
    case EditOutcome::State::kAccepted:
      aContext.mOut << "accepted";
      if (aOutcome.mVersion != 0) {
        aContext.mOut << " as version " << aOutcome.mVersion;
      }
      aContext.mOut << ", edit " << aOutcome.mEditId << "\n";
      break;
    case EditOutcome::State::kUnchanged:
      aContext.mOut << "unchanged: all values are already set\n";
      break;
    case EditOutcome::State::kConflict:
      PrintConflicts(aContext, aOutcome);
      break;
    case EditOutcome::State::kInvalid:
      return Fail(aContext, code, aOutcome.mMessage);
    case EditOutcome::State::kNotApplied:
      return Fail(aContext, code, "not applied: " + aOutcome.mMessage);
    case EditOutcome::State::kUnknown:
      return Fail(aContext,
                  code,
                  "unknown whether the edit was applied: " + aOutcome.mMessage +
                    "; find out with: ragwort-ctl table "
                    "check " +
                    aOutcome.mEditId);
  }
  return code;
}

} // namespace ragwortdeck
