#pragma once

#include "Core/Result.h"
#include "Core/SiteView.h"

#include <string_view>

namespace ragwortdeck {

/// Reads an ORCA load report in JSON (OrcaLoadReport of the xDS API). Memory
/// and batch are read from "named_metrics": memory_tokens, memory_used_tokens,
/// running, waiting, max_batch, preemptions. Fails with kCorrupt.
Result<LoadReport>
ParseLoadReport(std::string_view aJson);

} // namespace ragwortdeck
