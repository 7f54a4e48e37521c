#include "Core/Verdict.h"

namespace ragwortdeck {

const char*
ToText(RunState aState)
{
  switch (aState) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kMayHaveRun:
      return "may-have-run";
    case RunState::kRan:
      return "ran";
  }
  return "may-have-run";
}

} // namespace ragwortdeck
