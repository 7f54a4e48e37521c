#include "Filters/CancelQueue.h"

#include "Controllers/CircuitBreaker.h"
#include "Core/Log.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

const Log kLog("cancel");

constexpr Duration kFirstDelay{ 100'000 };
constexpr Duration kMaxDelay{ 10'000'000 };
constexpr std::uint32_t kMaxShift = 7;
/// A process that refuses this many calls over several seconds has ended, and
/// its generations with it. A single refusal can also be a full backlog.
constexpr std::uint32_t kRefusalsUntilGone = 4;
/// About ten minutes; engines drop generations without a reader before that.
constexpr std::uint32_t kMaxTries = 64;

} // namespace

CancelQueue::CancelQueue(Scheduler& aScheduler,
                         RandomSource aRandom,
                         Send aSend)
  : mScheduler(aScheduler)
  , mRandom(aRandom)
  , mSend(std::move(aSend))
{
}

void
CancelQueue::Add(const Attempt& aAttempt)
{
  const auto id = mNextId++;
  mEntries[id].mAttempt = aAttempt;
  Try(id);
}

void
CancelQueue::Try(std::uint64_t aId)
{
  auto& entry = mEntries.at(aId);
  ++entry.mTries;
  mSend(entry.mAttempt,
        [this, aId](CancelReply aReply) { Accept(aId, aReply); });
}

void
CancelQueue::Accept(std::uint64_t aId, CancelReply aReply)
{
  const auto found = mEntries.find(aId);
  if (found == mEntries.end()) {
    return;
  }
  auto& entry = found->second;
  entry.mRefusals = aReply == CancelReply::kRefused ? entry.mRefusals + 1 : 0;
  const bool isOver = aReply == CancelReply::kConfirmed ||
                      aReply == CancelReply::kTargetGone ||
                      entry.mRefusals >= kRefusalsUntilGone;
  if (isOver) {
    mEntries.erase(found);
    return;
  }
  if (entry.mTries >= kMaxTries) {
    kLog.Warning("gave up cancelling " + entry.mAttempt.mEngineId + " on " +
                 entry.mAttempt.mTarget.Value() + " after " +
                 std::to_string(entry.mTries) + " tries");
    mEntries.erase(found);
    return;
  }
  const auto shift = std::min(entry.mTries - 1, kMaxShift);
  const auto delay = std::min(kFirstDelay * (1U << shift), kMaxDelay);
  // Jitter keeps the cancels of many streams of one engine apart.
  entry.mTimer =
    mScheduler.After(Jittered(delay, mRandom), [this, aId] { Try(aId); });
}

} // namespace ragwortdeck
