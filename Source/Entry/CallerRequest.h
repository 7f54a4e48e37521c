#pragma once

#include "Core/MemoryCharge.h"
#include "Entry/Asio.h"
#include "Entry/PlatformCodec.h"

#include <functional>
#include <memory>

namespace ragwortdeck {

/// \brief One request of a caller, with its deadline and the state for its log
/// line.
class CallerRequest
{
public:
  enum class End
  {
    kNone,
    kCallerGone,
    kTimedOut,
    /// An unexpected error ended it.
    kFailed,
  };

  /// Ends the request early and cancels what it waits for.
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

  CallerHeaders mCallerHeaders;
  http::request<http::string_body> mRequest;
  /// Keeps mRoute and mTeam alive.
  std::shared_ptr<const ServingTable> mTable;
  const Route* mRoute = nullptr;
  const TeamSpec* mTeam = nullptr;
  std::string mService;
  MonotonicTime mArrived;
  /// The earlier of the caller's deadline and the route's timeout.
  MonotonicTime mDeadline;
  End mEnd = End::kNone;
  /// The request has been served; the connection may carry the next one.
  bool mServed = false;
  /// Bytes of its answer have been sent to the caller.
  bool mAnswerBegun = false;
  /// Cancels what the request waits for.
  std::function<void()> mOnEnd;

  // For the log.
  int mAttempts = 0;
  std::string mTarget;
  std::string mReason;
  /// How the answer of the last target ended; see DescribeEnd().
  const char* mAnswerEnd = "";
  std::int64_t mWaitedMs = 0;
  /// Time from the arrival to the first event of a stream; 0 before it.
  std::int64_t mFirstEventMs = 0;
  std::int64_t mEvents = 0;
};

/// \brief An answer that is ready to be sent to the caller.
struct FinalAnswer
{
  http::response<http::string_body> mResponse;
  bool mFromTarget = false;
  /// The memory of mResponse, until the caller has read it.
  MemoryCharge mCharge = {};
};

/// Makes an answer of this host: aStatus with a short text.
FinalAnswer
MakeLocalAnswer(unsigned aStatus, const std::string& aText);
/// Makes a 503 answer that states when the caller should retry. The request
/// must not have run.
FinalAnswer
MakeRefusal(const std::string& aText, double aRetryAfterSeconds);

/// Makes the headers that this host adds to a request to aTarget.
TargetRequestHeaders
MakeTargetRequestHeaders(const CallerRequest& aRequest,
                         const std::string& aTarget,
                         MonotonicTime aNow);

using TargetRequest = http::request<http::span_body<const char>>;

/// Makes the request that is sent to a target. It keeps aRequest, whose body is
/// not copied.
std::shared_ptr<const TargetRequest>
MakeTargetRequest(std::shared_ptr<const CallerRequest> aRequest,
                  const PlatformCodec& aCodec,
                  const TargetRequestHeaders& aHeaders);

/// Makes the answer for the caller from a target's answer.
http::response<http::string_body>
MakeForwardedAnswer(const http::response_header<>& aHeader, std::string aBody);

/// Copies the headers of a target's answer that are forwarded.
void
CopyAnswerHeaders(const http::fields& aFrom, http::fields& aTo);

} // namespace ragwortdeck
