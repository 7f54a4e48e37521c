#include "Entry/PlainRelay.h"

#include "Core/HttpStatus.h"

namespace ragwortdeck {

namespace {

/// A hedged request is sent after 1/n of the latency goal of the route, where n
/// is this divisor: nearly all answers have arrived by then, and the answer to
/// the hedged request can still be in time.
constexpr int kHedgeDelayDivisor = 2;
/// Unreachable servers after which the request is refused.
constexpr int kMaxUnreachable = 3;
/// Time for which the load that a server reported is used.
constexpr Duration kReportedLoadLifetime = std::chrono::milliseconds(300);

bool
IsServerError(unsigned aStatus)
{
  constexpr unsigned kFirstServerError = 500;
  return aStatus >= kFirstServerError;
}

} // namespace

PlainRelay::PlainRelay(EntryContext& aContext,
                       std::shared_ptr<CallerRequest> aRequest)
  : mContext(aContext)
  , mSharedRequest(std::move(aRequest))
  , mRequest(*mSharedRequest)
  , mRace(std::make_shared<Race>(aContext.mIo))
{
}

std::optional<Target>
PlainRelay::ChooseTarget()
{
  const auto now = mContext.Now();
  std::vector<ServerCandidate> candidates;
  const auto open = mContext.OpenTargets(mRequest.mService);
  for (const auto* entry : open) {
    const auto& target = entry->mTarget;
    if (mTried.contains(target.mId)) {
      continue;
    }
    ServerCandidate candidate;
    candidate.mTarget = target.mId;
    candidate.mSlots = target.mSlots;
    candidate.mOwnInFlight = mContext.mInFlight[target.mId];
    if (const auto it = mContext.mReportedLoads.find(target.mId);
        it != mContext.mReportedLoads.end() &&
        now - it->second.second < kReportedLoadLifetime) {
      candidate.mReportedInFlight =
        std::max(0, it->second.first.mRunning - 1) + it->second.first.mWaiting;
    }
    candidate.mLatency = mContext.mHealth.Latency(target.mId);
    candidate.mSameDomain =
      target.mFailureDomain == mContext.mSettings.mFailureDomain;
    candidate.mAvoided = mContext.mHealth.IsAvoided(target.mId, now);
    candidates.push_back(std::move(candidate));
  }
  const auto id = ChooseServer(candidates, mContext.mRandom);
  if (!id) {
    return std::nullopt;
  }
  return mContext.mTargets.Find(*id)->mTarget;
}

void
PlainRelay::StartExchange(const Target& aTarget)
{
  mTried.insert(aTarget.mId);
  mRequest.mTarget = aTarget.mId;
  ++mRequest.mAttempts;
  auto exchange = std::make_shared<TargetExchange>(mContext, mSharedRequest);
  mRace->mExchanges.push_back(exchange);
  ++mRace->mRunning;
  asio::co_spawn(
    mContext.mIo,
    [](std::shared_ptr<Race> aRace,
       std::shared_ptr<TargetExchange> aExchange,
       Target aServer) -> Task<void> {
      TargetOutcome outcome;
      try {
        outcome = co_await aExchange->Run(aServer, false);
      } catch (const std::exception& ec) {
        // The request may have run: the outcome is the default, kBroken.
        outcome.mTarget = aServer.mId;
        outcome.mReason = std::string("unexpected error: ") + ec.what();
        aExchange->Abort();
      }
      aRace->mOutcomes.push_back(std::move(outcome));
      --aRace->mRunning;
      aRace->mSignal.cancel();
    }(mRace, exchange, aTarget),
    asio::detached);
}

void
PlainRelay::RecordOutcome(TargetOutcome& aOutcome)
{
  using Kind = TargetOutcome::Kind;
  mRequest.mAnswerEnd = aOutcome.mAnswerEnd;
  if (aOutcome.mKind == Kind::kAnswered) {
    mRequest.mTarget = aOutcome.mTarget;
    mLastAnswer = FinalAnswer{ std::move(aOutcome.mResponse),
                               true,
                               std::move(aOutcome.mCharge) };
    return;
  }
  mRequest.mReason = aOutcome.mTarget + ": " + aOutcome.mReason;
  mMayHaveRun = mMayHaveRun || aOutcome.mKind == Kind::kBroken;
}

FinalAnswer
PlainRelay::Conclude()
{
  // mOnEnd holds the race, whose exchanges hold the request: break the cycle.
  mRequest.mOnEnd = nullptr;
  // The deadline may pass at the moment at which an answer arrives. A request
  // that ran must not be reported as not run.
  while (mRecorded < mRace->mOutcomes.size()) {
    RecordOutcome(mRace->mOutcomes[mRecorded++]);
  }
  for (const auto& exchange : mRace->mExchanges) {
    exchange->Abort();
  }
  if (mLastAnswer) {
    return std::move(*mLastAnswer);
  }
  const bool timedOut = mRequest.mEnd == CallerRequest::End::kTimedOut;
  if (mMayHaveRun || mRace->mRunning > 0) {
    if (mRequest.mReason.empty()) {
      mRequest.mReason = timedOut ? "no answer in time" : "answer broken off";
    }
    return MakeLocalAnswer(timedOut ? kStatusTimeout : kStatusBadGateway,
                           mRequest.mReason);
  }
  if (mBlock) {
    mRequest.mReason = "prompt part " + mBlock->mPart + " is quarantined";
    return mContext.mCrashWatch.Refuse(mRequest.mCallerHeaders.mId, *mBlock);
  }
  if (mRequest.mReason.empty()) {
    mRequest.mReason = mContext.PauseOf(mRequest.mService)
                         ? "all servers paused"
                         : "no server available";
  }
  return MakeRefusal(mRequest.mReason,
                     mContext.RefusalSeconds(
                       mRequest.mService, mRequest.TimeLeft(mContext.Now())));
}

Task<FinalAnswer>
PlainRelay::Run()
{
  const auto& route = *mRequest.mRoute;
  const auto& parts = mRequest.mCallerHeaders.mPromptParts;
  auto race = mRace;
  mRequest.mOnEnd = [race] { race->mSignal.cancel(); };
  mContext.CountRequest(mRequest.mService);
  bool start = true;
  while (!mRequest.HasEnded()) {
    if (start) {
      start = false;
      // The test of a part is counted when the request is sent.
      mBlock = mContext.mCrashWatch.Find(parts);
      const auto target = mBlock ? std::nullopt : ChooseTarget();
      if (target) {
        StartExchange(*target);
      } else if (race->mRunning == 0) {
        break;
      }
    }
    const bool maySend =
      route.IsIdempotent() && mRequest.mAttempts < route.mMaxAttempts;
    if (mRecorded == race->mOutcomes.size()) {
      // A hedged request is sent only when the first one is late and the retry
      // allowance of the fleet permits it.
      const auto hedgeDelay = maySend ? route.mLatencyGoal / kHedgeDelayDivisor
                                      : Milliseconds(3600000);
      race->mSignal.expires_after(hedgeDelay);
      error_code ec;
      co_await race->mSignal.async_wait(RedirectError(ec));
      // A request that ends when the delay is over already finds no wait to
      // cancel.
      if (!ec && maySend && !mRequest.HasEnded() &&
          mRecorded == race->mOutcomes.size()) {
        if (mContext.TryRetry(mRequest.mService)) {
          mContext.mMetrics.Count("entry_second_sends_total");
          start = true;
        } else {
          race->mSignal.expires_after(route.mTimeout);
          co_await race->mSignal.async_wait(RedirectError(ec));
        }
      }
      continue;
    }
    auto& outcome = race->mOutcomes[mRecorded++];
    RecordOutcome(outcome);
    using Kind = TargetOutcome::Kind;
    if (outcome.mKind == Kind::kAnswered &&
        (!IsServerError(mLastAnswer->mResponse.result_int()) ||
         !route.IsIdempotent())) {
      break;
    }
    if (race->mRunning > 0) {
      continue;
    }
    if (outcome.mKind == Kind::kNotSent) {
      --mRequest.mAttempts;
      if (outcome.mBlock) {
        mBlock = outcome.mBlock;
        break;
      }
      if (++mUnreachable >= kMaxUnreachable) {
        break;
      }
      start = true;
      continue;
    }
    if (!maySend ||
        (outcome.mKind == Kind::kBroken &&
         !mContext.mCrashWatch.MayRepeat(parts, outcome.mTarget)) ||
        !mContext.TryRetry(mRequest.mService)) {
      break;
    }
    mContext.mMetrics.Count("entry_retries_total");
    start = true;
  }
  co_return Conclude();
}

} // namespace ragwortdeck
