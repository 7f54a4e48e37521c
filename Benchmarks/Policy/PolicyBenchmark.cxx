#include "Policy/PolicyBenchmark.h"

#include "Policy/PolicyRun.h"

#include <algorithm>

namespace ragwortdeck {

void
BenchmarkResult::Merge(const BenchmarkResult& aOther)
{
  mGaps.Merge(aOther.mGaps);
  mFirstTokenShort.Merge(aOther.mFirstTokenShort);
  mFirstTokenLong.Merge(aOther.mFirstTokenLong);
  mStall += aOther.mStall;
  mPreemptions += aOther.mPreemptions;
  mRequests += aOther.mRequests;
  mInTime += aOther.mInTime;
  mInTimeShort += aOther.mInTimeShort;
  mLate += aOther.mLate;
  mRefused += aOther.mRefused;
  mLost += aOther.mLost;
  mGoodTokens += aOther.mGoodTokens;
  mShortWait = std::max(mShortWait, aOther.mShortWait);
  mShareErrorSum += aOther.mShareErrorSum;
  mShareErrorMax = std::max(mShareErrorMax, aOther.mShareErrorMax);
  mShareWindows += aOther.mShareWindows;
  mStreamCapUse = std::max(mStreamCapUse, aOther.mStreamCapUse);
  mTokenCapUse = std::max(mTokenCapUse, aOther.mTokenCapUse);
  mCreditMessages += aOther.mCreditMessages;
}

double
BenchmarkResult::MeanShareError() const
{
  return mShareWindows == 0
           ? 0.0
           : mShareErrorSum / static_cast<double>(mShareWindows);
}

std::vector<BenchmarkCase>
BenchmarkCases(std::uint32_t aEngines)
{
  BenchmarkCase normal;
  normal.mName = "normal";
  normal.mEngines = aEngines;
  auto rain = normal;
  rain.mName = "rain";
  rain.mDemand = 2.0;
  auto mixed = normal;
  mixed.mName = "mixed";
  mixed.mDemand = 2.5;
  mixed.mShortFraction = 0.7;
  auto large = normal;
  large.mName = "large-team";
  large.mDemand = 2.0;
  large.mLargeTeamFraction = 0.7;
  auto dead = normal;
  dead.mName = "dead-engine";
  dead.mDemand = 1.2;
  dead.mFault = EngineFault::kDies;
  auto lag = rain;
  lag.mName = "report-lag";
  lag.mReportLag = std::chrono::seconds(5);
  auto caps = normal;
  caps.mName = "caps";
  caps.mCaps = true;
  auto unreachable = caps;
  unreachable.mName = "owner-down";
  unreachable.mOwnersUnreachable = true;
  auto shares = rain;
  shares.mName = "shares";
  shares.mDemand = 3.0;
  shares.mEqualDemand = true;
  return { normal, rain, mixed, large, dead, lag, caps, unreachable, shares };
}

std::vector<BenchmarkCase>
FaultCases(std::uint32_t aEngines)
{
  const std::pair<const char*, EngineFault> faults[] = {
    { "reclaimed-engine", EngineFault::kReclaimed },
    { "stalled-engines", EngineFault::kStalls },
    { "slow-engine", EngineFault::kSlow },
    { "lying-engine", EngineFault::kMisreportsLoad },
  };
  std::vector<BenchmarkCase> cases;
  for (const auto& [name, fault] : faults) {
    auto& one = cases.emplace_back();
    one.mName = name;
    one.mEngines = aEngines;
    one.mDemand = 1.2;
    one.mFault = fault;
  }
  return cases;
}

std::vector<std::uint64_t>
TuningSeeds()
{
  return { 11, 12, 13 };
}

std::vector<std::uint64_t>
HeldOutSeeds()
{
  return { 101, 102, 103 };
}

BenchmarkResult
RunPolicyBenchmark(const BenchmarkCase& aCase,
                   DispatchPolicy aPolicy,
                   std::uint64_t aSeed)
{
  return PolicyRun(aCase, aPolicy, aSeed).Run();
}

BenchmarkResult
RunPolicyBenchmark(const BenchmarkCase& aCase,
                   DispatchPolicy aPolicy,
                   const std::vector<std::uint64_t>& aSeeds)
{
  BenchmarkResult total;
  for (const auto seed : aSeeds) {
    total.Merge(RunPolicyBenchmark(aCase, aPolicy, seed));
  }
  return total;
}

const char*
PolicyName(DispatchPolicy aPolicy)
{
  switch (aPolicy) {
    case DispatchPolicy::kRoundRobin:
      return "round-robin";
    case DispatchPolicy::kRandom:
      return "random";
    case DispatchPolicy::kLeastOutstanding:
      return "least-outstanding";
    case DispatchPolicy::kTwoRandomChoices:
      return "two-random-choices";
    case DispatchPolicy::kIndependent:
      return "independent";
    case DispatchPolicy::kCorrected:
      return "corrected";
    case DispatchPolicy::kCredits:
      return "credits";
  }
  return "";
}

} // namespace ragwortdeck
