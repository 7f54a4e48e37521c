#pragma once

#include "Entry/CallerRequest.h"
#include "Entry/EntryContext.h"

namespace ragwortdeck {

/// \brief One connection of a caller: reads requests in turn, admits or denies
/// each, and answers it.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(EntryContext& aContext, tcp::socket aSocket);

  Task<void> Run();

private:
  CallerLimits Limits() const;
  Task<bool> ReadRequest(CallerRequest& aRequest);
  /// Waits for the table and the targets when this host has just started.
  Task<void> WaitForContents(const CallerRequest& aRequest);
  Task<bool> Serve(std::shared_ptr<CallerRequest> aRequest);
  /// Returns the answer of a denied request; empty when it is admitted.
  std::optional<FinalAnswer> Admit(CallerRequest& aRequest);
  Task<bool> Answer(CallerRequest& aRequest, FinalAnswer aAnswer);
  /// Answers a request that an exception has ended, if nothing has been sent to
  /// the caller.
  Task<void> AnswerAfterError(CallerRequest& aRequest);
  /// Answers a request that could not be read; the connection then closes.
  Task<void> Reject(CallerRequest& aRequest,
                    unsigned aStatus,
                    std::string aText);
  /// Ends aRequest when the caller closes the connection.
  void EndWhenCallerCloses(const std::shared_ptr<CallerRequest>& aRequest);
  /// Ends the watch of EndWhenCallerCloses().
  void StopWatching(CallerRequest& aRequest);
  /// Writes the log line and the metrics of a request that has ended.
  void LogEnd(const CallerRequest& aRequest,
              unsigned aStatus,
              const char* aOutcome);

  EntryContext& mContext;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  bool mWatching = false;
};

} // namespace ragwortdeck
