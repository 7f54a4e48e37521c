#pragma once

#include "Entry/TargetExchange.h"

#include <set>

namespace ragwortdeck {

/// \brief Serves a request whose answer is forwarded as a whole: chooses
/// servers, retries if the route's kind allows it, and sends a hedged request
/// when the first one is slow.
class PlainRelay
{
public:
  PlainRelay(EntryContext& aContext, std::shared_ptr<CallerRequest> aRequest);

  Task<FinalAnswer> Run();

private:
  /// State of the exchanges; outlives Run() until the slowest one has ended.
  struct Race
  {
    explicit Race(asio::io_context& aContext)
      : mSignal(aContext)
    {
    }
    std::vector<std::shared_ptr<TargetExchange>> mExchanges;
    std::vector<TargetOutcome> mOutcomes;
    int mRunning = 0;
    /// Cancelled when an exchange has ended.
    asio::steady_timer mSignal;
  };

  std::optional<Target> ChooseTarget();
  void StartExchange(const Target& aTarget);
  /// Updates the state of the request with the outcome of one exchange.
  void RecordOutcome(TargetOutcome& aOutcome);
  /// Aborts the remaining exchanges and returns the answer for the caller.
  FinalAnswer Conclude();

  EntryContext& mContext;
  std::shared_ptr<CallerRequest> mSharedRequest;
  CallerRequest& mRequest;
  std::shared_ptr<Race> mRace;
  std::set<std::string> mTried;
  /// Number of outcomes of mRace that were recorded.
  std::size_t mRecorded = 0;
  int mUnreachable = 0;
  /// The quarantined part that ends the request.
  std::optional<CrashWatch::Block> mBlock;
  bool mMayHaveRun = false;
  std::optional<FinalAnswer> mLastAnswer;
};

} // namespace ragwortdeck
