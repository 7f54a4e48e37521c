#pragma once

#include "Policy/CreditOwner.h"
#include "Policy/Dispatcher.h"
#include "Policy/EngineFake.h"
#include "Policy/PolicyBenchmark.h"
#include "Policy/Workload.h"
#include "Support/VirtualScheduler.h"

#include <array>
#include <deque>
#include <memory>
#include <vector>

namespace ragwortdeck {

/// \brief Simulates routers, engines and callers of one run in virtual time.
class PolicyRun
{
public:
  PolicyRun(const BenchmarkCase& aCase,
            DispatchPolicy aPolicy,
            std::uint64_t aSeed);

  BenchmarkResult Run();

private:
  enum class Phase
  {
    kWaiting,
    kRunning,
    kEnded,
  };

  struct Request
  {
    const Arrival* mArrival = nullptr;
    RequestTraits mTraits;
    Phase mPhase = Phase::kWaiting;
    Ticket mTicket = 0;
    std::uint32_t mEngine = 0;
    std::uint32_t mAttempts = 0;
    std::uint32_t mTokens = 0;
    std::uint32_t mUnreported = 0;
    MonotonicTime mLastToken{};
  };

  struct TeamState
  {
    std::uint32_t mStreams = 0;
    std::uint64_t mTokensThisSecond = 0;
    /// Requests without a first token, per host.
    std::vector<std::uint32_t> mWaiting;
    /// True while every host has had waiting requests in the current share
    /// window.
    bool mIsBacklogged = false;
    double mServiceInWindow = 0.0;
  };

  struct Router
  {
    std::unique_ptr<Dispatcher> mDispatcher;
    /// The control process of the same host.
    std::unique_ptr<CreditOwner> mOwner;
  };

  void MakeEngines();
  void MakeRouters(DispatchPolicy aPolicy, std::uint64_t aSeed);
  void ScheduleArrivals();
  void ScheduleFaults();
  void Every(Duration aPeriod, Duration aPhase, std::function<void()> aTask);

  void OnArrival(std::size_t aIndex);
  void Submit(std::size_t aIndex);
  void OnDecision(std::size_t aIndex, const DispatchDecision& aDecision);
  void Start(std::size_t aIndex);
  void RetryElsewhere(std::size_t aIndex);
  void End(std::size_t aIndex, DispatchOutcome aOutcome);
  void OnDeadline(std::size_t aIndex);
  void OnToken(std::size_t aIndex);
  void OnFirstToken(Request& aRequest);
  void CountNoLongerWaiting(const Arrival& aArrival);
  void OnComplete(std::size_t aIndex);
  void OnLost(std::size_t aIndex);
  void ReportLoads();
  void ExchangeCredits(std::uint32_t aHost);
  void DeliverRequest(std::uint32_t aHost, const CreditRequest& aRequest);
  void CloseSecond();
  void CloseShareWindow();
  void ScheduleStalls();
  void InjectFault(EngineFake& aEngine) const;
  void RecordDownEngine();
  bool OwnersReachable() const;
  bool IsCapped(std::uint32_t aTeam) const;
  Dispatcher& DispatcherOf(const Request& aRequest);

  BenchmarkCase mCase;
  Workload mWorkload;
  VirtualScheduler mScheduler;
  MonotonicTime mStart;
  MonotonicTime mArrivalsEnd;
  std::vector<std::unique_ptr<EngineFake>> mEngines;
  std::vector<Router> mRouters;
  std::vector<Request> mRequests;
  std::array<TeamState, Workload::kTeams> mTeams;
  std::size_t mOpenRequests = 0;
  BenchmarkResult mResult;
};

} // namespace ragwortdeck
