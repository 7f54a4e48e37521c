#pragma once

#include "Filters/RequestContext.h"
#include "Filters/RequestEnvironment.h"
#include "Filters/StreamRelay.h"
#include "Targets/EngineStream.h"

#include <functional>
#include <memory>
#include <string>

namespace ragwortdeck {

/// \brief Connects the relay of one answer to the dispatcher, the engine and
/// the caller. Lives on one thread.
class RelaySession : public std::enable_shared_from_this<RelaySession>
{
public:
  using OnOver = std::function<void(RelaySession&)>;

  RelaySession(RequestEnvironment& aEnvironment,
               RequestContext aContext,
               OnOver aOnOver);
  ~RelaySession();
  RelaySession(const RelaySession&) = delete;
  RelaySession& operator=(const RelaySession&) = delete;

  /// Asks the dispatcher for an engine and starts a generation there.
  void StartNew();
  /// Reads an existing generation.
  void StartExisting();
  /// Ends the answer because the process ends. The generation stays, so that
  /// the caller can resume it on another host.
  void CutOff();
  std::string Describe() const;

private:
  StreamRelay::Hooks MakeHooks();
  bool Submit();
  void OnDecision(Ticket aTicket, const DispatchDecision& aDecision);
  void Open(const Attempt& aAttempt,
            bool aIsNew,
            std::optional<std::int64_t> aStartingAfter);
  void CloseStream();
  void Cancel(const Attempt& aAttempt);
  bool Replace(DispatchOutcome aOutcome);
  void Deliver(const Attempt& aAttempt, const EngineEvent& aEvent);
  void CountToken();
  /// Records an event of this request and its current attempt.
  void Record(EventType aType, std::string_view aVerdict = {}) const;
  void ReportTokens(bool aAll);
  void FinishTicket(DispatchOutcome aOutcome);
  void OnEnd(const RelayEnd& aEnd);
  void Complete();
  void CompleteWhole();
  void EndWithFailure(const RelayEnd& aEnd);
  std::string FailedEvent(const Verdict& aVerdict);
  std::string EngineBody(const Attempt& aAttempt) const;
  const std::string& CallerId(const Attempt& aAttempt);
  Duration FirstTokenLimit() const;
  HttpHeaders Headers() const;

  RequestEnvironment& mEnvironment;
  RequestContext mContext;
  OnOver mOnOver;
  StreamRelay mRelay;
  std::shared_ptr<EngineStream> mStream;
  Ticket mTicket = 0;
  bool mIsDispatched = false;
  std::string mCallerId;
  /// The engine's last event, for a caller that does not stream.
  EngineEvent mLast;
  std::int64_t mNextSequence = 0;
  std::uint32_t mTokens = 0;
  std::uint32_t mReportedTokens = 0;
  MonotonicTime mLastToken;
};

} // namespace ragwortdeck
