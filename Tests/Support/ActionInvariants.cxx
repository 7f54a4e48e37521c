#include "Support/ActionInvariants.h"

#include <map>

namespace ragwortdeck {

namespace {

void
CheckRunsOnce(const ActionHistory& aHistory, std::vector<std::string>& aFound)
{
  std::map<std::string, int> runs;
  for (const auto& run : aHistory.mRuns) {
    if (++runs[run.mAction] == 2) {
      aFound.push_back("action-at-most-once: " + run.mAction);
    }
  }
}

bool
RanUnder(const ActionHistory& aHistory, const std::string& aAttempt)
{
  for (const auto& run : aHistory.mRuns) {
    if (run.mAttempt == aAttempt) {
      return true;
    }
  }
  return false;
}

bool
RanBefore(const ActionHistory& aHistory, const ActionHistory::Call& aCall)
{
  for (const auto& run : aHistory.mRuns) {
    if (run.mAction == aCall.mAction && run.mTime <= aCall.mAnswered &&
        run.mBody == aCall.mBody) {
      return true;
    }
  }
  return false;
}

void
CheckCall(const ActionHistory& aHistory,
          const ActionBounds& aBounds,
          const ActionHistory::Call& aCall,
          std::vector<std::string>& aFound)
{
  if (aCall.mExtraAnswers > 0) {
    aFound.push_back("answered-once: " + aCall.mAction);
  }
  const bool late =
    !aCall.mAnswer || aCall.mAnswered > aCall.mStart + aBounds.mAnswerLimit;
  if (late && !aCall.mHostDisturbed) {
    aFound.push_back("answered-in-time: " + aCall.mAction);
  }
  if (aCall.mAnswer == RunState::kNotRun && !aCall.mAttempt.empty() &&
      RanUnder(aHistory, aCall.mAttempt)) {
    aFound.push_back("not-run-is-true: " + aCall.mAttempt);
  }
  if (aCall.mAnswer == RunState::kRan && !RanBefore(aHistory, aCall)) {
    aFound.push_back("ran-is-true: " + aCall.mAction);
  }
}

void
CheckDispatches(const ActionHistory& aHistory,
                const ActionBounds& aBounds,
                std::vector<std::string>& aFound)
{
  std::map<std::string, int> dispatches;
  for (const auto& dispatch : aHistory.mDispatches) {
    if (++dispatches[dispatch.mAttempt] == 2) {
      aFound.push_back("dispatched-once: " + dispatch.mAttempt);
    }
    if (dispatch.mTime >= dispatch.mCallStart + aBounds.mDispatchWindow) {
      aFound.push_back("dispatched-in-window: " + dispatch.mAttempt);
    }
  }
}

} // namespace

std::vector<std::string>
CheckActions(const ActionHistory& aHistory, const ActionBounds& aBounds)
{
  std::vector<std::string> found;
  CheckRunsOnce(aHistory, found);
  for (const auto& call : aHistory.mCalls) {
    CheckCall(aHistory, aBounds, call, found);
  }
  CheckDispatches(aHistory, aBounds, found);
  return found;
}

} // namespace ragwortdeck
