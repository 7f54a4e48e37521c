#pragma once

#include "Controllers/KeyedEdit.h"
#include "Ctl/CtlContext.h"

namespace ragwortdeck {

/// Exit code of an edit: 0 for accepted and unchanged, 5 for a conflict, 6 for
/// not applied and unknown, 2 for an invalid value.
int
ExitCodeOf(EditOutcome::State aState);

QJsonObject
ToJson(const EditOutcome& aOutcome);

QJsonObject
ToJson(const CellDelta& aCell);

/// "teams/taa share: 7 -> 8"; a cell that is not set shows as "(not set)".
std::string
ToText(const CellDelta& aCell);

/// Prints the outcome as text or JSON and returns its exit code.
int
Report(CtlContext& aContext, const EditOutcome& aOutcome);

} // namespace ragwortdeck
