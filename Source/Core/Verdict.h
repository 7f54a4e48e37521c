#pragma once

#include <chrono>
#include <string>

namespace ragwortdeck {

/// Whether a request may have had an effect on its target.
enum class RunState
{
  /// It did not run and never will under this attempt.
  kNotRun,
  /// It was sent, and nothing proves that it did not run.
  kMayHaveRun,
  /// It ran.
  kRan,
};

/// \brief How a request ended, and whether it may have run.
struct Verdict
{
  RunState mState = RunState::kNotRun;
  /// HTTP status towards the caller.
  int mStatus = 503;
  /// Stable code for programs, for example "model_not_found".
  std::string mCode;
  /// What the caller should change or do next.
  std::string mMessage;
  /// When a repeat may succeed; zero when waiting does not help.
  std::chrono::milliseconds mRetryAfter{ 0 };

  bool operator==(const Verdict&) const = default;
};

/// Text of a run state in headers and error bodies: "not-run",
/// "may-have-run" or "ran".
const char*
ToText(RunState aState);

} // namespace ragwortdeck
