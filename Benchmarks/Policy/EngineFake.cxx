#include "Policy/EngineFake.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// Fraction of the memory that admission leaves free, as in real engines.
constexpr double kAdmissionWatermark = 0.01;

} // namespace

EngineFake::EngineFake(Scheduler& aScheduler, const EngineFakeConfig& aConfig)
  : mScheduler(aScheduler)
  , mConfig(aConfig)
{
}

bool
EngineFake::Start(SequenceId aId,
                  std::uint32_t aPromptTokens,
                  std::uint32_t aOutputTokens)
{
  if (mIsDead) {
    return false;
  }
  mWaiting.push_back({ aId, aPromptTokens, aOutputTokens, 0, aPromptTokens });
  if (!mIsStepping) {
    PlanStep();
  }
  return true;
}

void
EngineFake::Cancel(SequenceId aId)
{
  const auto hasId = [aId](const Sequence& aSequence) {
    return aSequence.mId == aId;
  };
  std::erase_if(mWaiting, hasId);
  for (const auto& sequence : mRunning) {
    mUsedTokens -= hasId(sequence) ? sequence.Held() : 0;
  }
  std::erase_if(mRunning, hasId);
}

LoadReport
EngineFake::Report() const
{
  LoadReport report;
  report.mMemoryTokens = mConfig.mMemoryTokens;
  report.mMemoryUsedTokens = static_cast<std::uint64_t>(
    static_cast<double>(mUsedTokens) * mReportFactor);
  report.mRunning = static_cast<std::uint32_t>(mRunning.size());
  report.mWaiting = static_cast<std::uint32_t>(mWaiting.size());
  report.mMaxBatch = mConfig.mMaxBatch;
  report.mPreemptions = mPreemptions;
  return report;
}

void
EngineFake::Die()
{
  mIsDead = true;
  mIsStepping = false;
  mStep.Cancel();
  std::vector<SequenceId> lost;
  for (const auto& sequence : mRunning) {
    lost.push_back(sequence.mId);
  }
  for (const auto& sequence : mWaiting) {
    lost.push_back(sequence.mId);
  }
  mRunning.clear();
  mWaiting.clear();
  mUsedTokens = 0;
  for (const auto id : lost) {
    mOnLost(id);
  }
}

void
EngineFake::Reclaim(Duration aNotice)
{
  mDeath = mScheduler.After(aNotice, [this] { Die(); });
}

void
EngineFake::Stall(Duration aDuration)
{
  mStalledUntil = mScheduler.Now() + aDuration;
}

void
EngineFake::Admit()
{
  const auto limit = static_cast<std::uint64_t>(
    static_cast<double>(mConfig.mMemoryTokens) * (1.0 - kAdmissionWatermark));
  while (!mWaiting.empty() && mRunning.size() < mConfig.mMaxBatch) {
    auto& next = mWaiting.front();
    // A sequence larger than the memory may run alone.
    if (mUsedTokens + next.Held() > limit && !mRunning.empty()) {
      return;
    }
    next.mPrefillRemaining = next.Held();
    mUsedTokens += next.Held();
    mRunning.push_back(next);
    mWaiting.pop_front();
  }
}

void
EngineFake::PreemptUntilDecodeFits()
{
  while (mRunning.size() > 1 &&
         mUsedTokens + mRunning.size() > mConfig.mMemoryTokens) {
    mUsedTokens -= mRunning.back().Held();
    mWaiting.push_front(mRunning.back());
    mRunning.pop_back();
    ++mPreemptions;
  }
}

void
EngineFake::PlanStep()
{
  // A step that preempts does not admit, or the preempted sequence would be
  // admitted again at once.
  const auto before = mPreemptions;
  PreemptUntilDecodeFits();
  if (mPreemptions == before) {
    Admit();
  }
  mIsStepping = !mRunning.empty();
  if (!mIsStepping) {
    return;
  }
  std::uint32_t budget = mConfig.mPrefillChunk;
  for (auto& sequence : mRunning) {
    const auto chunk = std::min(budget, sequence.mPrefillRemaining);
    sequence.mPrefillRemaining -= chunk;
    budget -= chunk;
  }
  const auto batch = static_cast<std::int64_t>(mRunning.size());
  const auto prefill =
    static_cast<std::int64_t>(mConfig.mPrefillChunk - budget);
  const auto full = mConfig.mStepBase + mConfig.mStepPerSequence * batch +
                    mConfig.mStepPerPrefillToken * prefill;
  const Duration step(
    static_cast<Duration::rep>(static_cast<double>(full.count()) * mSlowness));
  const auto wait =
    std::max(mStalledUntil - mScheduler.Now(), Duration::zero());
  mStep = mScheduler.After(step + wait, [this] { FinishStep(); });
}

void
EngineFake::FinishStep()
{
  std::vector<SequenceId> tokens;
  std::vector<SequenceId> finished;
  for (auto& sequence : mRunning) {
    if (sequence.mPrefillRemaining > 0) {
      continue;
    }
    ++sequence.mGenerated;
    ++mUsedTokens;
    tokens.push_back(sequence.mId);
    if (sequence.mGenerated >= sequence.mOutput) {
      finished.push_back(sequence.mId);
      mUsedTokens -= sequence.Held();
    }
  }
  std::erase_if(mRunning, [](const Sequence& aSequence) {
    return aSequence.mGenerated >= aSequence.mOutput &&
           aSequence.mPrefillRemaining == 0;
  });
  // Callbacks may start or cancel sequences, so the next step is planned after
  // them.
  for (const auto id : tokens) {
    mOnToken(id);
  }
  for (const auto id : finished) {
    mOnFinished(id);
  }
  PlanStep();
}

} // namespace ragwortdeck
