#pragma once

#include "Entry/AnswerReader.h"
#include "Entry/CallerRequest.h"
#include "Entry/EntryContext.h"

namespace ragwortdeck {

/// \brief Outcome of a request to a target.
struct TargetOutcome
{
  enum class Kind
  {
    /// The whole answer was read.
    kAnswered,
    /// The target states that it did not run the request.
    kNotRun,
    /// The target could not be reached; nothing was sent.
    kNotSent,
    /// The answer failed or is incomplete; the request may have run.
    kBroken,
  };
  Kind mKind = Kind::kBroken;
  std::string mTarget;
  std::string mReason;
  /// See DescribeEnd().
  const char* mAnswerEnd = "";
  http::response<http::string_body> mResponse;
  /// The memory of mResponse.
  MemoryCharge mCharge;
  /// The quarantined part that kept the request from being sent.
  std::optional<CrashWatch::Block> mBlock;
};

/// \brief Sends a request to one target and reads its whole answer.
class TargetExchange
{
public:
  /// The exchange fails when the body of an answer is larger.
  static constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t(8) << 20U;

  TargetExchange(EntryContext& aContext,
                 std::shared_ptr<const CallerRequest> aRequest)
    : mContext(aContext)
    , mSharedRequest(std::move(aRequest))
    , mRequest(*mSharedRequest)
  {
  }

  Task<TargetOutcome> Run(Target aTarget, bool aNewConnection);
  /// Ends the exchange; Run() returns kBroken.
  void Abort();

private:
  EntryContext& mContext;
  /// Shared, since an exchange that is aborted ends after its request has been
  /// served.
  std::shared_ptr<const CallerRequest> mSharedRequest;
  const CallerRequest& mRequest;
  TargetConnectionPtr mConnection;
  bool mAborted = false;
};

/// Describes for the log how an answer ended, where reading it returned aError:
/// "marked" by its length or last chunk, "end_of_connection" if it is unmarked,
/// "cut_off" before its end, "reset", "upload_failed" if it is unmarked and the
/// request could not be sent, "refused" for its head, or "error".
const char*
DescribeEnd(const error_code& aError, bool aUnmarked);

/// Whether an answer with aStatus states to a caller that its request has not
/// run. A target states that by a header; without it, such an answer must not
/// be passed on.
bool
StatesNotRun(unsigned aStatus);

/// Reads from aConnection up to the header of aTarget's answer to request aId,
/// and discards interim answers and late answers to other requests. What the
/// target says of itself in any of them is recorded. On success aReader holds
/// the header.
Task<error_code>
ReadAnswerHeader(EntryContext& aContext,
                 Target aTarget,
                 TargetConnectionPtr aConnection,
                 std::string aId,
                 AnswerReader::Request aRequest,
                 std::unique_ptr<AnswerReader>& aReader);

/// Reads the rest of the body into aBody, up to aMaxBytes and as aCharge
/// permits, to which it is added.
Task<error_code>
ReadBody(AnswerReader& aReader,
         std::uint64_t aMaxBytes,
         MemoryCharge& aCharge,
         std::string& aBody);

} // namespace ragwortdeck
