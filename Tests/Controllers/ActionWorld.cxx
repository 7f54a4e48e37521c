#include "Controllers/ActionWorld.h"

namespace ragwortdeck {

namespace {

using namespace std::chrono_literals;

constexpr Duration kLatency = 1ms;
constexpr Duration kSlowAnswer = 12s;
constexpr Duration kLateRequest = 14s;
constexpr Duration kLateDuplicate = 3s;
constexpr Duration kRepeatPause = 1s;

// The body of a call names its action; its content type is the number of the
// call in the history.
std::string
ActionOf(const ActionCall& aCall)
{
  return aCall.mBody;
}

} // namespace

ActionWorld::ActionWorld(std::size_t aHosts, ActionSettings aSettings)
  : mService(std::make_shared<FakeKeyValueService>())
  , mSettings(std::move(aSettings))
{
  for (std::size_t n = 0; n < aHosts; ++n) {
    mHosts.push_back(NewHost(n));
  }
}

std::unique_ptr<ActionWorld::Host>
ActionWorld::NewHost(std::size_t aIndex)
{
  auto host = std::make_unique<Host>(mScheduler);
  auto* raw = host.get();
  host->mProcess.mClockStopsWhileFrozen = mClockStopsWhileFrozen;
  host->mProcess.mStepHook = [this, aIndex] {
    const auto fault = mStepFault ? mStepFault(aIndex) : ProcessFault{};
    if (fault.mType == ProcessFault::Type::kKill) {
      mScheduler.Post(mRestartDelay, [this, aIndex] {
        mDead.push_back(std::move(mHosts[aIndex]));
        mHosts[aIndex] = NewHost(aIndex);
      });
    }
    return fault;
  };
  host->mStore =
    std::make_unique<ProcessKeyValueStore>(host->mProcess, mService);
  host->mStore->mFaultHook = [this] {
    return mKeyFault ? mKeyFault() : ProcessCallFault::kNone;
  };
  host->mExecutor = std::make_unique<ActionExecutor>(
    host->mProcess,
    *host->mStore,
    RandomSource(mNextSeed++),
    HostId("entry-" + std::to_string(aIndex)),
    mSettings,
    [this, raw](const auto& aCall, const auto& aAttempt, const auto& aReport) {
      Dispatch(*raw, aCall, aAttempt, aReport);
    },
    [this, raw](const auto& aCall, const auto& aReport) {
      Query(*raw, aCall, aReport);
    });
  return host;
}

ActionExecutor&
ActionWorld::Executor(std::size_t aHost)
{
  return *mHosts[aHost]->mExecutor;
}

SimulatedProcess&
ActionWorld::Process(std::size_t aHost)
{
  return mHosts[aHost]->mProcess;
}

ActionCall
ActionWorld::MakeCall(const std::string& aAction, const std::string& aKey)
{
  return { TeamName("taa"), "deposit/capture", aKey, {}, aAction };
}

void
ActionWorld::Call(std::size_t aHost,
                  const ActionCall& aCall,
                  const std::string& aAction,
                  const OnResult& aOnResult)
{
  const OnResult lost = [](const ActionResult&) {};
  const auto deliver = [this, aHost, aCall, aAction](const OnResult& aReply) {
    Deliver(aHost, aCall, aAction, aReply);
  };
  switch (mCallerFault ? mCallerFault() : CallerFault::kNone) {
    case CallerFault::kNone:
      deliver(aOnResult);
      return;
    case CallerFault::kRequestLost:
      return;
    case CallerFault::kReplyLost:
      deliver(lost);
      return;
    case CallerFault::kDelayed:
      mScheduler.Post(kLateRequest, [deliver, lost] { deliver(lost); });
      return;
    case CallerFault::kDuplicated:
      deliver(aOnResult);
      deliver(lost);
      return;
    case CallerFault::kDuplicatedLate:
      deliver(aOnResult);
      mScheduler.Post(kLateDuplicate, [deliver, lost] { deliver(lost); });
      return;
  }
}

void
ActionWorld::Deliver(std::size_t aHost,
                     const ActionCall& aCall,
                     const std::string& aAction,
                     const OnResult& aOnResult)
{
  auto* host = mHosts[aHost].get();
  host->mProcess.Deliver([this, host, aCall, aAction, aOnResult] {
    const auto index = mHistory.mCalls.size();
    mHistory.mCalls.push_back(
      { aAction, mScheduler.Now(), {}, {}, {}, {}, {} });
    mProcessOfCall.push_back(&host->mProcess);
    auto call = aCall;
    call.mContentType = std::to_string(index);
    host->mExecutor->Execute(
      call, [this, index, aOnResult](const ActionResult& aResult) {
        auto& entry = mHistory.mCalls[index];
        if (entry.mAnswer) {
          ++entry.mExtraAnswers;
          return;
        }
        entry.mAnswer = aResult.mVerdict.mState;
        entry.mAnswered = mScheduler.Now();
        entry.mAttempt = aResult.mAttempt;
        entry.mBody = aResult.mOutcome.mBody;
        // The answer travels to the caller whatever becomes of the host.
        mScheduler.Post(kLatency, [aOnResult, aResult] { aOnResult(aResult); });
      });
  });
}

void
ActionWorld::RunAtTarget(const ActionCall& aCall, const std::string& aAttempt)
{
  const auto body = "receipt " + std::to_string(mHistory.mRuns.size());
  mHistory.mRuns.push_back(
    { ActionOf(aCall), aAttempt, mScheduler.Now(), body });
  mAnswers.emplace(aCall.mIdempotencyKey, body);
}

DispatchReport
ActionWorld::AnswerOf(const std::string& aKey) const
{
  const auto it = mAnswers.find(aKey);
  if (it == mAnswers.end()) {
    return { DispatchReport::Type::kNotSent, 0, {}, {} };
  }
  return { DispatchReport::Type::kAnswered, 200, "text/plain", it->second };
}

void
ActionWorld::Dispatch(Host& aHost,
                      const ActionCall& aCall,
                      const std::string& aAttempt,
                      const std::function<void(const DispatchReport&)>& aReport)
{
  const auto call = std::stoul(aCall.mContentType);
  mHistory.mDispatches.push_back(
    { aAttempt, mScheduler.Now(), mHistory.mCalls[call].mStart });
  const auto fault = mDispatchFault ? mDispatchFault() : DispatchFault::kNone;
  const auto run = [this, aCall, aAttempt] { RunAtTarget(aCall, aAttempt); };
  const auto report = [this, &aHost, aReport, aCall](Duration aDelay,
                                                     bool aAnswered) {
    mScheduler.Post(aDelay, [this, &aHost, aReport, aCall, aAnswered] {
      auto report =
        aAnswered ? AnswerOf(aCall.mIdempotencyKey) : DispatchReport{};
      if (!aAnswered && mUnknownDispatchIsNotSent) {
        report.mType = DispatchReport::Type::kNotSent;
      }
      aHost.mProcess.Deliver([aReport, report] { aReport(report); });
    });
  };
  switch (fault) {
    case DispatchFault::kNone:
      mScheduler.Post(kLatency, run);
      report(2 * kLatency, true);
      return;
    case DispatchFault::kNotSent:
      // Without a run the target has no answer, which reads as not sent.
      mScheduler.Post(2 * kLatency, [&aHost, aReport] {
        aHost.mProcess.Deliver([aReport] {
          aReport({ DispatchReport::Type::kNotSent, 0, {}, {} });
        });
      });
      return;
    case DispatchFault::kRequestLost:
      report(mDispatchTimeout, false);
      return;
    case DispatchFault::kReplyLost:
      mScheduler.Post(kLatency, run);
      report(mDispatchTimeout, false);
      return;
    case DispatchFault::kDelayed:
      report(mDispatchTimeout, false);
      mScheduler.Post(mDispatchTimeout + 4s, run);
      return;
    case DispatchFault::kSlow:
      mScheduler.Post(kLatency, run);
      report(kSlowAnswer, true);
      return;
  }
}

void
ActionWorld::Query(Host& aHost,
                   const ActionCall& aCall,
                   const std::function<void(const DispatchReport&)>& aReport)
{
  mScheduler.Post(kLatency, [this, &aHost, aCall, aReport] {
    const auto report =
      mQueries ? AnswerOf(aCall.mIdempotencyKey) : DispatchReport{};
    mScheduler.Post(kLatency, [&aHost, aReport, report] {
      aHost.mProcess.Deliver([aReport, report] { aReport(report); });
    });
  });
}

void
ActionWorld::StartCaller(const CallerPlan& aPlan)
{
  Repeat(aPlan, 0, false);
}

void
ActionWorld::Repeat(const CallerPlan& aPlan, int aCallNumber, bool aMayHaveRun)
{
  if (aCallNumber >= aPlan.mMaxCalls) {
    return;
  }
  auto plan = aPlan;
  if (aMayHaveRun && plan.mNewKeyAfterUnknown) {
    plan.mKey += "-again";
  }
  const auto host =
    (plan.mFirstHost + std::size_t(aCallNumber)) % mHosts.size();
  auto done = std::make_shared<bool>(false);
  const auto next = [this, plan, aCallNumber, done](bool aUnknown) {
    if (std::exchange(*done, true)) {
      return;
    }
    mScheduler.Post(kRepeatPause, [this, plan, aCallNumber, aUnknown] {
      Repeat(plan, aCallNumber + 1, aUnknown);
    });
  };
  Call(host,
       MakeCall(plan.mAction, plan.mKey),
       plan.mAction,
       [next, done](const ActionResult& aResult) {
         if (aResult.mVerdict.mState == RunState::kRan) {
           *done = true;
           return;
         }
         next(aResult.mVerdict.mState == RunState::kMayHaveRun);
       });
  mScheduler.Post(mSettings.mAnswerLimit + kRepeatPause,
                  [next] { next(true); });
}

ActionHistory
ActionWorld::History() const
{
  auto history = mHistory;
  for (std::size_t n = 0; n < history.mCalls.size(); ++n) {
    auto& call = history.mCalls[n];
    call.mHostDisturbed = mProcessOfCall[n]->DisturbedBetween(
      call.mStart, call.mStart + mSettings.mAnswerLimit);
  }
  return history;
}

std::vector<std::string>
ActionWorld::Violations() const
{
  return CheckActions(History(),
                      { mSettings.mAnswerLimit, mSettings.mDispatchWindow });
}

} // namespace ragwortdeck
