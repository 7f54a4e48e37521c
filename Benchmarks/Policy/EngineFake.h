#pragma once

#include "Core/Scheduler.h"
#include "Core/SiteView.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief Speed and size of an EngineFake; docs/policy.md gives the reasons.
struct EngineFakeConfig
{
  std::uint64_t mMemoryTokens = 120'000;
  std::uint32_t mMaxBatch = 96;
  Duration mStepBase{ 12'000 };
  Duration mStepPerSequence{ 250 };
  Duration mStepPerPrefillToken{ 20 };
  /// Maximum number of prompt tokens computed per step in addition to decoding.
  std::uint32_t mPrefillChunk = 512;
};

/// \brief Model engine in virtual time: continuous batching, memory counted in
/// cached tokens, preemption of the youngest sequence when memory is full.
class EngineFake
{
public:
  using SequenceId = std::uint64_t;

  EngineFake(Scheduler& aScheduler, const EngineFakeConfig& aConfig);
  EngineFake(const EngineFake&) = delete;
  EngineFake& operator=(const EngineFake&) = delete;

  std::function<void(SequenceId)> mOnToken;
  std::function<void(SequenceId)> mOnFinished;
  /// Called when the engine dies while it serves this sequence.
  std::function<void(SequenceId)> mOnLost;

  /// Returns false when the engine refuses the connection.
  bool Start(SequenceId aId,
             std::uint32_t aPromptTokens,
             std::uint32_t aOutputTokens);
  void Cancel(SequenceId aId);
  LoadReport Report() const;
  std::uint64_t Preemptions() const { return mPreemptions; }

  void Die();
  /// Dies after the notice period and serves requests until then.
  void Reclaim(Duration aNotice);
  /// Generates no tokens for aDuration, without any error.
  void Stall(Duration aDuration);
  /// Multiplies the time of each step.
  void SetSlowness(double aFactor) { mSlowness = aFactor; }
  /// Multiplies the reported memory use.
  void SetReportFactor(double aFactor) { mReportFactor = aFactor; }

private:
  struct Sequence
  {
    SequenceId mId = 0;
    std::uint32_t mPrompt = 0;
    std::uint32_t mOutput = 0;
    std::uint32_t mGenerated = 0;
    /// Tokens to compute before the next new token.
    std::uint32_t mPrefillRemaining = 0;
    std::uint32_t Held() const { return mPrompt + mGenerated; }
  };

  void Admit();
  void PreemptUntilDecodeFits();
  void PlanStep();
  void FinishStep();

  Scheduler& mScheduler;
  EngineFakeConfig mConfig;
  /// In order of admission; the last sequence is the youngest.
  std::vector<Sequence> mRunning;
  std::deque<Sequence> mWaiting;
  std::uint64_t mUsedTokens = 0;
  std::uint64_t mPreemptions = 0;
  bool mIsDead = false;
  bool mIsStepping = false;
  double mSlowness = 1.0;
  double mReportFactor = 1.0;
  MonotonicTime mStalledUntil{};
  TimerHandle mStep;
  TimerHandle mDeath;
};

} // namespace ragwortdeck
