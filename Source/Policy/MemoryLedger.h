#pragma once

#include "Core/Clock.h"
#include "Core/SiteView.h"
#include "Policy/SafetyMargin.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace ragwortdeck {

/// \brief Tracks memory and streams of each engine: exactly for this host's own
/// streams, from delayed load reports for those of other hosts.
class MemoryLedger
{
public:
  using Index = std::uint32_t;

  /// \brief Load of an engine. Memory is in tokens and includes a fraction of
  /// the expected growth.
  struct Load
  {
    double mMemory = 0.0;
    double mStreams = 0.0;

    bool operator==(const Load&) const = default;
  };

  explicit MemoryLedger(const Clock& aClock);

  Index Add();
  /// Memory to account for a stream: the held tokens and a fraction of the
  /// expected growth.
  static double Committed(double aHeld, double aExpectedGrowth);

  void AddStream(Index aEngine, double aCommitted);
  void ChangeStream(Index aEngine, double aCommittedDelta);
  void RemoveStream(Index aEngine, double aCommitted);
  void OnReport(Index aEngine, const LoadReport& aReport);

  const Load& Own(Index aEngine) const { return mEngines[aEngine].mOwn; }
  /// The engine's load as its last report states it.
  Load Reported(Index aEngine) const;
  /// The last report, plus the changes of this host's own load since the report
  /// was measured.
  Load Corrected(Index aEngine) const;
  /// Fraction of the memory to keep free.
  double Margin(Index aEngine) const
  {
    return mEngines[aEngine].mMargin.Value();
  }

private:
  struct Snapshot
  {
    MonotonicTime mTime;
    Load mOwn;
  };

  struct EngineState
  {
    Load mOwn;
    Load mReported;
    MonotonicTime mMeasured{};
    SafetyMargin mMargin;
    /// mOwn at past moments, oldest first.
    std::deque<Snapshot> mHistory;
  };

  void RecordSnapshot(EngineState& aEngine);
  Load OwnAt(const EngineState& aEngine, MonotonicTime aTime) const;

  const Clock& mClock;
  std::vector<EngineState> mEngines;
};

} // namespace ragwortdeck
