#include "Policy/PolicyRun.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace ragwortdeck {

namespace {

/// The part of a gap between tokens beyond this counts as a stall.
constexpr Duration kStallThreshold{ std::chrono::milliseconds(250) };
constexpr Duration kTickPeriod{ std::chrono::milliseconds(20) };
constexpr Duration kCreditPeriod{ std::chrono::milliseconds(200) };
constexpr Duration kReportPeriod{ std::chrono::seconds(1) };
/// Delay until the host list shows a dead or reclaimed engine as down.
constexpr Duration kHostListLag{ std::chrono::seconds(3) };
constexpr Duration kShareWindow{ std::chrono::seconds(10) };
/// One-way network delay between hosts, and the delay before a retry.
constexpr Duration kLinkDelay{ std::chrono::milliseconds(1) };
/// Tokens of a stream per call of Dispatcher::OnTokens() after the first token.
constexpr std::uint32_t kTokenBatch = 16;
constexpr std::uint32_t kMaxAttempts = 4;
/// Shares apply only between teams.
constexpr std::uint32_t kMinBackloggedTeams = 2;

/// The number at the end of "entry-03" or "engine-07".
std::uint32_t
NumberOf(const std::string& aText)
{
  const auto& text = aText;
  return static_cast<std::uint32_t>(
    std::stoul(text.substr(text.rfind('-') + 1)));
}

constexpr Duration kReclaimNotice = std::chrono::seconds(30);
constexpr Duration kStallLength = std::chrono::seconds(10);
constexpr double kSlowFactor = 3.0;

} // namespace

PolicyRun::PolicyRun(const BenchmarkCase& aCase,
                     DispatchPolicy aPolicy,
                     std::uint64_t aSeed)
  : mCase(aCase)
  , mWorkload(aCase, aSeed)
  , mStart(mScheduler.Now())
  , mArrivalsEnd(mStart + aCase.mArrivals)
  , mRequests(mWorkload.Arrivals().size())
{
  for (auto& team : mTeams) {
    team.mWaiting.resize(mCase.mHosts);
  }
  MakeEngines();
  MakeRouters(aPolicy, aSeed);
  ScheduleArrivals();
  ScheduleFaults();
}

void
PolicyRun::MakeEngines()
{
  for (std::uint32_t i = 0; i < mCase.mEngines; ++i) {
    auto engine = std::make_unique<EngineFake>(mScheduler, EngineFakeConfig{});
    engine->mOnToken = [this](auto aId) { OnToken(aId); };
    engine->mOnFinished = [this](auto aId) { OnComplete(aId); };
    engine->mOnLost = [this](auto aId) { OnLost(aId); };
    mEngines.push_back(std::move(engine));
  }
}

void
PolicyRun::MakeRouters(DispatchPolicy aPolicy, std::uint64_t aSeed)
{
  const auto view = mWorkload.View(TargetId());
  for (std::uint32_t i = 0; i < mCase.mHosts; ++i) {
    DispatcherConfig config;
    config.mPolicy = aPolicy;
    config.mHost = Workload::HostAt(i);
    config.mFailureDomain = Workload::DomainAt(i);
    config.mSeed = aSeed * 1'000 + i;
    Router router;
    router.mDispatcher = MakeDispatcher(config, mScheduler);
    router.mDispatcher->OnView(view);
    router.mOwner = std::make_unique<CreditOwner>(config.mHost, mScheduler);
    router.mOwner->OnView(view);
    mRouters.push_back(std::move(router));
    const Duration phase(i * kTickPeriod.count() / mCase.mHosts);
    Every(kTickPeriod, phase, [this, i] { mRouters[i].mDispatcher->Tick(); });
    const Duration creditPhase(i * kCreditPeriod.count() / mCase.mHosts);
    Every(kCreditPeriod, creditPhase, [this, i] { ExchangeCredits(i); });
    Every(std::chrono::seconds(1), creditPhase, [this, i] {
      mRouters[i].mOwner->Tick();
    });
  }
}

void
PolicyRun::Every(Duration aPeriod, Duration aPhase, std::function<void()> aTask)
{
  mScheduler.Post(aPhase, [this, aPeriod, task = std::move(aTask)] {
    task();
    if (mScheduler.Now() < mArrivalsEnd || mOpenRequests > 0) {
      Every(aPeriod, aPeriod, task);
    }
  });
}

void
PolicyRun::ScheduleArrivals()
{
  const auto& arrivals = mWorkload.Arrivals();
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    mRequests[i].mArrival = &arrivals[i];
    mScheduler.Post(arrivals[i].mTime - mStart, [this, i] { OnArrival(i); });
  }
  Every(kReportPeriod, kReportPeriod, [this] { ReportLoads(); });
  Every(std::chrono::seconds(1), std::chrono::seconds(1), [this] {
    CloseSecond();
  });
  Every(kShareWindow, kShareWindow, [this] { CloseShareWindow(); });
}

void
PolicyRun::ScheduleFaults()
{
  const bool isListed = mCase.mFault == EngineFault::kDies ||
                        mCase.mFault == EngineFault::kReclaimed;
  if (mCase.mFault == EngineFault::kStalls) {
    ScheduleStalls();
    return;
  }
  mScheduler.Post(mCase.mArrivals / 2, [this] { InjectFault(*mEngines[0]); });
  if (isListed) {
    mScheduler.Post(mCase.mArrivals / 2 + kHostListLag,
                    [this] { RecordDownEngine(); });
  }
}

void
PolicyRun::ScheduleStalls()
{
  // All engines stall in turn, so that the result does not depend on the number
  // of streams on a single engine.
  const auto pause = mCase.mArrivals / (mCase.mEngines + 1);
  for (std::uint32_t i = 0; i < mCase.mEngines; ++i) {
    mScheduler.Post(pause * (i + 1),
                    [this, i] { mEngines[i]->Stall(kStallLength); });
  }
}

void
PolicyRun::InjectFault(EngineFake& aEngine) const
{
  switch (mCase.mFault) {
    case EngineFault::kDies:
      aEngine.Die();
      break;
    case EngineFault::kReclaimed:
      aEngine.Reclaim(kReclaimNotice);
      break;
    case EngineFault::kSlow:
      aEngine.SetSlowness(kSlowFactor);
      break;
    case EngineFault::kNone:
    case EngineFault::kStalls:
    case EngineFault::kMisreportsLoad:
      break;
  }
}

void
PolicyRun::RecordDownEngine()
{
  const auto view = mWorkload.View(Workload::EngineAt(0));
  for (auto& router : mRouters) {
    router.mDispatcher->OnView(view);
    router.mOwner->OnView(view);
  }
}

Dispatcher&
PolicyRun::DispatcherOf(const Request& aRequest)
{
  return *mRouters[aRequest.mArrival->mHost].mDispatcher;
}

bool
PolicyRun::IsCapped(std::uint32_t aTeam) const
{
  return mCase.mCaps && aTeam < 2;
}

void
PolicyRun::OnArrival(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  request.mTraits = mWorkload.TraitsOf(*request.mArrival);
  ++mResult.mRequests;
  ++mOpenRequests;
  ++mTeams[request.mArrival->mTeam].mWaiting[request.mArrival->mHost];
  mScheduler.Post(request.mTraits.mDeadline - mScheduler.Now(),
                  [this, aIndex] { OnDeadline(aIndex); });
  Submit(aIndex);
}

void
PolicyRun::Submit(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  if (request.mPhase == Phase::kEnded) {
    return;
  }
  request.mPhase = Phase::kWaiting;
  // The callback may run inside Submit(), before the ticket is known, and must
  // not call the dispatcher, so the decision is handled later.
  request.mTicket = DispatcherOf(request).Submit(
    request.mTraits, [this, aIndex](const DispatchDecision& aDecision) {
      mScheduler.Post(Duration::zero(), [this, aIndex, aDecision] {
        OnDecision(aIndex, aDecision);
      });
    });
}

void
PolicyRun::OnDecision(std::size_t aIndex, const DispatchDecision& aDecision)
{
  auto& request = mRequests[aIndex];
  const auto* target = std::get_if<TargetId>(&aDecision);
  if (request.mPhase == Phase::kEnded) {
    return;
  }
  if (target == nullptr) {
    ++mResult.mRefused;
    request.mPhase = Phase::kEnded;
    CountNoLongerWaiting(*request.mArrival);
    --mOpenRequests;
    return;
  }
  if (request.mArrival->mShort && !IsCapped(request.mArrival->mTeam)) {
    mResult.mShortWait =
      std::max(mResult.mShortWait, mScheduler.Now() - request.mArrival->mTime);
  }
  request.mEngine = NumberOf(target->Value());
  request.mPhase = Phase::kRunning;
  ++mTeams[request.mArrival->mTeam].mStreams;
  Start(aIndex);
}

void
PolicyRun::Start(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  auto& engine = *mEngines[request.mEngine];
  if (engine.Start(aIndex,
                   request.mArrival->mPromptTokens,
                   request.mArrival->mOutputTokens)) {
    return;
  }
  RetryElsewhere(aIndex);
}

void
PolicyRun::RetryElsewhere(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  DispatcherOf(request).OnFinished(request.mTicket,
                                   DispatchOutcome::kTargetFailed);
  --mTeams[request.mArrival->mTeam].mStreams;
  request.mPhase = Phase::kWaiting;
  request.mTraits.mExcluded.push_back(Workload::EngineAt(request.mEngine));
  if (++request.mAttempts >= kMaxAttempts ||
      !DispatcherOf(request).TryRetry(request.mTraits)) {
    ++mResult.mLost;
    request.mPhase = Phase::kEnded;
    CountNoLongerWaiting(*request.mArrival);
    --mOpenRequests;
    return;
  }
  mScheduler.Post(kLinkDelay, [this, aIndex] { Submit(aIndex); });
}

void
PolicyRun::End(std::size_t aIndex, DispatchOutcome aOutcome)
{
  auto& request = mRequests[aIndex];
  auto& team = mTeams[request.mArrival->mTeam];
  if (request.mTokens == 0) {
    CountNoLongerWaiting(*request.mArrival);
  }
  if (request.mPhase == Phase::kRunning) {
    --team.mStreams;
    DispatcherOf(request).OnFinished(request.mTicket, aOutcome);
  } else {
    DispatcherOf(request).Cancel(request.mTicket);
  }
  request.mPhase = Phase::kEnded;
  --mOpenRequests;
}

void
PolicyRun::OnDeadline(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  if (request.mPhase == Phase::kEnded) {
    return;
  }
  ++mResult.mLate;
  if (request.mPhase == Phase::kRunning) {
    mEngines[request.mEngine]->Cancel(aIndex);
  }
  End(aIndex, DispatchOutcome::kCancelled);
}

void
PolicyRun::CountNoLongerWaiting(const Arrival& aArrival)
{
  auto& team = mTeams[aArrival.mTeam];
  if (--team.mWaiting[aArrival.mHost] == 0) {
    team.mIsBacklogged = false;
  }
}

void
PolicyRun::OnFirstToken(Request& aRequest)
{
  const auto& arrival = *aRequest.mArrival;
  CountNoLongerWaiting(arrival);
  mTeams[arrival.mTeam].mServiceInWindow += mWorkload.Service(arrival);
  auto& times =
    arrival.mShort ? mResult.mFirstTokenShort : mResult.mFirstTokenLong;
  times.Add(mScheduler.Now() - arrival.mTime);
}

void
PolicyRun::OnToken(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  const auto now = mScheduler.Now();
  if (request.mTokens == 0) {
    OnFirstToken(request);
  } else {
    const auto gap = now - request.mLastToken;
    mResult.mGaps.Add(gap);
    mResult.mStall += std::max(gap - kStallThreshold, Duration::zero());
  }
  request.mLastToken = now;
  ++mTeams[request.mArrival->mTeam].mTokensThisSecond;
  ++request.mUnreported;
  if (++request.mTokens == 1 || request.mUnreported >= kTokenBatch) {
    DispatcherOf(request).OnTokens(request.mTicket, request.mUnreported);
    request.mUnreported = 0;
  }
}

void
PolicyRun::OnComplete(std::size_t aIndex)
{
  auto& request = mRequests[aIndex];
  ++mResult.mInTime;
  mResult.mInTimeShort += request.mArrival->mShort ? 1 : 0;
  mResult.mGoodTokens += request.mTokens;
  if (request.mUnreported > 0) {
    DispatcherOf(request).OnTokens(request.mTicket, request.mUnreported);
  }
  End(aIndex, DispatchOutcome::kCompleted);
}

void
PolicyRun::OnLost(std::size_t aIndex)
{
  if (mRequests[aIndex].mTokens == 0) {
    RetryElsewhere(aIndex);
    return;
  }
  ++mResult.mLost;
  End(aIndex, DispatchOutcome::kTargetFailed);
}

void
PolicyRun::ReportLoads()
{
  for (std::uint32_t i = 0; i < mCase.mEngines; ++i) {
    auto report = mEngines[i]->Report();
    report.mAgeMicros = mCase.mReportLag.count();
    if (i == 0 && mCase.mFault == EngineFault::kMisreportsLoad) {
      report.mMemoryUsedTokens = 0;
      report.mRunning = 0;
      report.mWaiting = 0;
    }
    mScheduler.Post(mCase.mReportLag, [this, i, report] {
      for (auto& router : mRouters) {
        router.mDispatcher->OnLoadReport(Workload::EngineAt(i), report);
        router.mOwner->OnLoadReport(Workload::EngineAt(i), report);
      }
    });
  }
}

bool
PolicyRun::OwnersReachable() const
{
  const auto since = mScheduler.Now() - mStart;
  return !mCase.mOwnersUnreachable || since < mCase.mArrivals / 3 ||
         since >= mCase.mArrivals * 2 / 3;
}

void
PolicyRun::ExchangeCredits(std::uint32_t aHost)
{
  for (const auto& request :
       mRouters[aHost].mDispatcher->CollectCreditRequests()) {
    mScheduler.Post(kLinkDelay,
                    [this, aHost, request] { DeliverRequest(aHost, request); });
  }
}

void
PolicyRun::DeliverRequest(std::uint32_t aHost, const CreditRequest& aRequest)
{
  if (!OwnersReachable()) {
    return;
  }
  mResult.mCreditMessages += 2;
  const auto owner = NumberOf(aRequest.mOwner.Value());
  const auto grant = mRouters[owner].mOwner->OnRequest(aRequest);
  mScheduler.Post(kLinkDelay, [this, aHost, grant] {
    mRouters[aHost].mDispatcher->OnCredits(grant);
  });
}

void
PolicyRun::CloseSecond()
{
  for (std::uint32_t i = 0; i < Workload::kTeams; ++i) {
    auto& team = mTeams[i];
    const auto view = mWorkload.View(TargetId());
    const auto& row = view->mTable.mTeams.at(Workload::TeamAt(i));
    if (row.mMaxConcurrent > 0) {
      mResult.mStreamCapUse =
        std::max(mResult.mStreamCapUse,
                 static_cast<double>(team.mStreams) / row.mMaxConcurrent);
    }
    if (row.mTokensPerSecond > 0) {
      mResult.mTokenCapUse = std::max(
        mResult.mTokenCapUse,
        static_cast<double>(team.mTokensThisSecond) / row.mTokensPerSecond);
    }
    team.mTokensThisSecond = 0;
  }
}

void
PolicyRun::CloseShareWindow()
{
  double service = 0.0;
  std::uint32_t shares = 0;
  std::vector<std::uint32_t> backlogged;
  for (std::uint32_t i = 0; i < Workload::kTeams; ++i) {
    if (mTeams[i].mIsBacklogged) {
      backlogged.push_back(i);
      service += mTeams[i].mServiceInWindow;
      shares += Workload::ShareOf(i);
    }
  }
  if (backlogged.size() >= kMinBackloggedTeams && service > 0.0) {
    double error = 0.0;
    for (const auto i : backlogged) {
      const auto share = static_cast<double>(Workload::ShareOf(i)) / shares;
      error =
        std::max(error, std::abs(mTeams[i].mServiceInWindow / service - share));
    }
    mResult.mShareErrorSum += error;
    mResult.mShareErrorMax = std::max(mResult.mShareErrorMax, error);
    ++mResult.mShareWindows;
  }
  for (auto& team : mTeams) {
    team.mServiceInWindow = 0.0;
    team.mIsBacklogged =
      std::find(team.mWaiting.begin(), team.mWaiting.end(), 0U) ==
      team.mWaiting.end();
  }
}

BenchmarkResult
PolicyRun::Run()
{
  const auto longestDeadline = std::chrono::seconds(300);
  mScheduler.RunUntilIdle(mCase.mArrivals + longestDeadline);
  for (const auto& engine : mEngines) {
    mResult.mPreemptions += engine->Preemptions();
  }
  return mResult;
}

} // namespace ragwortdeck
