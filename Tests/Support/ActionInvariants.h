#pragma once

#include "Core/Clock.h"
#include "Core/Verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief What happened to actions in one run of a test, in the time of the
/// test. An action is what the user wanted once, whatever keys its caller
/// used.
struct ActionHistory
{
  /// A call to Execute.
  struct Call
  {
    std::string mAction;
    MonotonicTime mStart;
    /// The host was killed or frozen before the answer was due.
    bool mHostDisturbed = false;
    /// Empty when no answer came.
    std::optional<RunState> mAnswer;
    MonotonicTime mAnswered;
    std::string mAttempt;
    std::string mBody;
    /// Answers beyond the first.
    int mExtraAnswers = 0;
  };
  /// A call of the dispatch hook.
  struct Dispatch
  {
    std::string mAttempt;
    MonotonicTime mTime;
    MonotonicTime mCallStart;
  };
  /// An execution at the target.
  struct Run
  {
    std::string mAction;
    std::string mAttempt;
    MonotonicTime mTime;
    std::string mBody;
  };
  std::vector<Call> mCalls;
  std::vector<Dispatch> mDispatches;
  std::vector<Run> mRuns;
};

struct ActionBounds
{
  Duration mAnswerLimit{};
  Duration mDispatchWindow{};
};

/// Names of violated invariants with details; empty when all hold:
/// action-at-most-once, not-run-is-true, ran-is-true, answered-in-time,
/// answered-once, dispatched-once, dispatched-in-window.
std::vector<std::string>
CheckActions(const ActionHistory& aHistory, const ActionBounds& aBounds);

} // namespace ragwortdeck
