#pragma once

#include "Policy/DispatcherConfig.h"
#include "Policy/EngineFake.h"
#include "Policy/GapHistogram.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdeck {

/// A fault of the first engine, which starts halfway through the arrivals
/// unless stated otherwise.
enum class EngineFault : std::uint8_t
{
  kNone,
  kDies,
  /// Dies 30 s after a notice. The host list shows it as down 3 s after the
  /// notice.
  kReclaimed,
  /// Each engine in turn generates no tokens for 10 s, without an error.
  kStalls,
  /// Each step takes three times as long from then on.
  kSlow,
  /// Reports that it is empty, from the start of the run.
  kMisreportsLoad,
};

/// \brief One load and fault pattern, the same for every policy.
struct BenchmarkCase
{
  std::string mName;
  std::uint32_t mHosts = 20;
  std::uint32_t mEngines = 14;
  /// Load relative to normal; the "rain" case uses 2.
  double mDemand = 1.0;
  /// Fraction of the requests that are short questions.
  double mShortFraction = 0.5;
  /// Fraction of the load from the first team; 0 divides the load by shares.
  double mLargeTeamFraction = 0.0;
  /// All teams have the same demand, so that each has requests queued at its
  /// share.
  bool mEqualDemand = false;
  EngineFault mFault = EngineFault::kNone;
  /// Caps the streams of the first team and the tokens per second of the
  /// second.
  bool mCaps = false;
  /// Control messages are lost in the middle third of the arrivals.
  bool mOwnersUnreachable = false;
  Duration mReportLag{ std::chrono::milliseconds(500) };
  Duration mArrivals{ std::chrono::seconds(240) };
};

/// \brief Results of one or more runs of a case; can be merged over seeds.
struct BenchmarkResult
{
  GapHistogram mGaps;
  GapHistogram mFirstTokenShort;
  GapHistogram mFirstTokenLong;
  /// Sum over all gaps of the time beyond the stall threshold.
  Duration mStall{ 0 };
  std::uint64_t mPreemptions = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mInTime = 0;
  std::uint64_t mInTimeShort = 0;
  /// Not complete at the deadline.
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;
  /// Ended by the death of an engine after the first token, or not retried
  /// before it because the attempts or the retry budget were used up.
  std::uint64_t mLost = 0;
  /// Tokens of answers that were complete before their deadline.
  std::uint64_t mGoodTokens = 0;
  /// Longest queueing time of a short question of an uncapped team.
  Duration mShortWait{ 0 };
  /// Maximum deviation of the fraction of service of a backlogged team from its
  /// share in a 10 s window: its sum and its maximum over all windows.
  double mShareErrorSum = 0.0;
  double mShareErrorMax = 0.0;
  std::uint64_t mShareWindows = 0;
  /// Maximum use of a capped team divided by its cap, measured once per second:
  /// of streams at that moment, of tokens over the past second.
  double mStreamCapUse = 0.0;
  double mTokenCapUse = 0.0;
  std::uint64_t mCreditMessages = 0;

  void Merge(const BenchmarkResult& aOther);
  double MeanShareError() const;
};

/// The cases of docs/policy.md for one number of engines.
std::vector<BenchmarkCase>
BenchmarkCases(std::uint32_t aEngines);

/// One case per fault of an engine other than its death, at 1.2 times the
/// normal load.
std::vector<BenchmarkCase>
FaultCases(std::uint32_t aEngines);

/// Seeds for tuning parameters, and seeds for validation only.
std::vector<std::uint64_t>
TuningSeeds();
std::vector<std::uint64_t>
HeldOutSeeds();

/// The same case, policy and seed give the same result everywhere.
BenchmarkResult
RunPolicyBenchmark(const BenchmarkCase& aCase,
                   DispatchPolicy aPolicy,
                   std::uint64_t aSeed);

BenchmarkResult
RunPolicyBenchmark(const BenchmarkCase& aCase,
                   DispatchPolicy aPolicy,
                   const std::vector<std::uint64_t>& aSeeds);

/// Name in tables and CSV files.
const char*
PolicyName(DispatchPolicy aPolicy);

} // namespace ragwortdeck
