#include "Policy/MemoryLedger.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Fraction of the expected growth that is committed at once. Streams end at
/// different times, so the memory that one frees serves the growth of others.
constexpr double kGrowthFraction = 0.1;
/// Converts held tokens, which reports state, to committed tokens.
constexpr double kReportedGrowthFactor = 1.1;
/// Interval and number of the snapshots, which cover 16 s of report delay.
constexpr Duration kSnapshotPeriod{ std::chrono::milliseconds(250) };
constexpr std::size_t kMaxSnapshots = 64;
/// Expected memory of a stream that waits inside the engine, in tokens.
constexpr double kWaitingStreamMemory = 1'000.0;

} // namespace

MemoryLedger::MemoryLedger(const Clock& aClock)
  : mClock(aClock)
{
}

MemoryLedger::Index
MemoryLedger::Add()
{
  mEngines.emplace_back();
  return static_cast<Index>(mEngines.size() - 1);
}

double
MemoryLedger::Committed(double aHeld, double aExpectedGrowth)
{
  return aHeld + kGrowthFraction * aExpectedGrowth;
}

void
MemoryLedger::RecordSnapshot(EngineState& aEngine)
{
  const auto now = mClock.Now();
  auto& history = aEngine.mHistory;
  if (!history.empty() && now - history.back().mTime < kSnapshotPeriod) {
    return;
  }
  history.push_back({ now, aEngine.mOwn });
  if (history.size() > kMaxSnapshots) {
    history.pop_front();
  }
}

void
MemoryLedger::AddStream(Index aEngine, double aCommitted)
{
  auto& engine = mEngines[aEngine];
  RecordSnapshot(engine);
  engine.mOwn.mMemory += aCommitted;
  engine.mOwn.mStreams += 1.0;
}

void
MemoryLedger::ChangeStream(Index aEngine, double aCommittedDelta)
{
  auto& engine = mEngines[aEngine];
  RecordSnapshot(engine);
  engine.mOwn.mMemory += aCommittedDelta;
}

void
MemoryLedger::RemoveStream(Index aEngine, double aCommitted)
{
  auto& engine = mEngines[aEngine];
  RecordSnapshot(engine);
  engine.mOwn.mStreams -= 1.0;
  const bool isEmpty = engine.mOwn.mStreams < 0.5;
  // Sums of doubles accumulate rounding errors; resets them when empty.
  engine.mOwn.mMemory =
    isEmpty ? 0.0 : std::max(engine.mOwn.mMemory - aCommitted, 0.0);
}

void
MemoryLedger::OnReport(Index aEngine, const LoadReport& aReport)
{
  auto& engine = mEngines[aEngine];
  const auto measured = mClock.Now() - Duration(aReport.mAgeMicros);
  if (measured < engine.mMeasured) {
    return;
  }
  engine.mMargin.OnReport(aReport);
  engine.mMeasured = measured;
  engine.mReported.mMemory =
    static_cast<double>(aReport.mMemoryUsedTokens) * kReportedGrowthFactor +
    aReport.mWaiting * kWaitingStreamMemory;
  engine.mReported.mStreams = aReport.mRunning + aReport.mWaiting;
}

MemoryLedger::Load
MemoryLedger::Reported(Index aEngine) const
{
  return mEngines[aEngine].mReported;
}

MemoryLedger::Load
MemoryLedger::OwnAt(const EngineState& aEngine, MonotonicTime aTime) const
{
  const auto later = std::find_if(
    aEngine.mHistory.begin(),
    aEngine.mHistory.end(),
    [aTime](const auto& aSnapshot) { return aSnapshot.mTime >= aTime; });
  return later == aEngine.mHistory.end() ? aEngine.mOwn : later->mOwn;
}

MemoryLedger::Load
MemoryLedger::Corrected(Index aEngine) const
{
  const auto& engine = mEngines[aEngine];
  const auto ownAtReport = OwnAt(engine, engine.mMeasured);
  const auto& own = engine.mOwn;
  // The load of other hosts is never negative, even if the report and the
  // snapshot disagree.
  const auto others =
    std::max(engine.mReported.mMemory - ownAtReport.mMemory, 0.0);
  const auto othersStreams =
    std::max(engine.mReported.mStreams - ownAtReport.mStreams, 0.0);
  return { others + own.mMemory, othersStreams + own.mStreams };
}

} // namespace ragwortdeck
