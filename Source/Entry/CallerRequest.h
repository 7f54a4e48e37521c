#pragma once

#include "Entry/Asio.h"
#include "Entry/PlatformCodec.h"

#include <functional>
#include <memory>

namespace ragwortdeck {

/// \brief One request of a caller that was let in, and what may end it early.
class CallerRequest
{
public:
  enum class End
  {
    kNone,
    kCallerGone,
    kTimedOut,
  };

  /// Ends the request: every wait that is registered is broken off.
  void Finish(End aEnd)
  {
    if (mEnd != End::kNone) {
      return;
    }
    mEnd = aEnd;
    if (mOnEnd) {
      mOnEnd();
    }
  }
  bool HasEnded() const { return mEnd != End::kNone; }
  Milliseconds TimeLeft(MonotonicTime aNow) const
  {
    return std::chrono::duration_cast<Milliseconds>(mDeadline - aNow);
  }

  CallerHeaders mAsk;
  http::request<http::string_body> mRequest;
  /// Keeps mRoute and mTeam alive.
  std::shared_ptr<const ServingTable> mTable;
  const Route* mRoute = nullptr;
  const TeamSpec* mTeam = nullptr;
  std::string mService;
  MonotonicTime mArrived;
  /// The earlier of the caller's and the route's.
  MonotonicTime mDeadline;
  End mEnd = End::kNone;
  /// The request has been served; the connection may carry the next one.
  bool mServed = false;
  /// Breaks off what the request waits for.
  std::function<void()> mOnEnd;

  // For the log.
  int mSends = 0;
  std::string mTarget;
  std::string mReason;
  std::int64_t mWaitedMs = 0;
  std::int64_t mEvents = 0;
};

/// \brief An answer that is ready to be sent to the caller.
struct FinalAnswer
{
  http::response<http::string_body> mResponse;
  bool mFromTarget = false;
};

/// An answer of this system: aStatus with a short text.
FinalAnswer
OwnAnswer(unsigned aStatus, const std::string& aText);
/// 503 with the time at which the caller should return. The request must not
/// have run.
FinalAnswer
Refusal(const std::string& aText, double aRetryAfterSeconds);

/// What is asked of aTarget for a request that begins there.
TargetHeaders
AskOf(const CallerRequest& aRequest,
      const std::string& aTarget,
      MonotonicTime aNow);

/// The request as it goes to a target.
http::request<http::string_body>
ToTarget(const CallerRequest& aRequest,
         const PlatformCodec& aCodec,
         const TargetHeaders& aAsk);

/// A target's answer as it is passed on.
http::response<http::string_body>
TargetsAnswer(const http::response_header<>& aHeader, std::string aBody);

/// Headers of a target's answer that are passed on.
void
CopyAnswerHeaders(const http::fields& aFrom, http::fields& aTo);

} // namespace ragwortdeck
