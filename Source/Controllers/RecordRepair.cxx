#include "Controllers/RecordRepair.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

bool
IsLeaseLost(const KeyValueError& aError)
{
  return aError.mMessage.find("lease not found") != std::string::npos;
}

RecordRepair::RecordRepair(Scheduler& aScheduler,
                           KeyValueStore& aStore,
                           CircuitBreaker& aBreaker,
                           RandomSource aRandom,
                           RecordRepairSettings aSettings)
  : mScheduler(aScheduler)
  , mStore(aStore)
  , mBreaker(aBreaker)
  , mRandom(aRandom)
  , mSettings(aSettings)
{
}

std::size_t
RecordRepair::SizeOf(const Item& aItem)
{
  // Approximate cost of the strings and the queue entry besides the body.
  constexpr std::size_t kOverhead = 512;
  return aItem.mKey.size() + aItem.mRecord.mOutcome.mBody.size() + kOverhead;
}

void
RecordRepair::Add(Item aItem)
{
  mBytes += SizeOf(aItem);
  mItems.push_back(std::move(aItem));
  while (!mItems.empty() && (mItems.size() > mSettings.mMaxItems ||
                             mBytes > mSettings.mMaxBytes)) {
    DropOne();
  }
  Pump();
}

void
RecordRepair::DropOne()
{
  auto it = std::find_if(mItems.begin(), mItems.end(), [](const Item& aItem) {
    return aItem.mRecord.mState == ActionState::kAbandoned;
  });
  if (it == mItems.end()) {
    it = mItems.begin();
  }
  mBytes -= SizeOf(*it);
  mItems.erase(it);
  ++mDropped;
}

void
RecordRepair::Resume()
{
  Pause();
}

void
RecordRepair::Pause()
{
  mPaused = true;
  mTimer = mScheduler.After(Jittered(mSettings.mPause, mRandom), [this] {
    mPaused = false;
    Pump();
  });
}

void
RecordRepair::Pump()
{
  while (!mPaused && !mBreaker.IsOpen() && mCalls < mSettings.mMaxCalls &&
         !mItems.empty()) {
    const auto item = std::move(mItems.front());
    mItems.pop_front();
    mBytes -= SizeOf(item);
    ++mCalls;
    Write(item);
  }
}

void
RecordRepair::Write(const Item& aItem)
{
  const KeyTransaction transaction{
    { { aItem.mKey,
        KeyCompare::Field::kModRevision,
        aItem.mExpectedRevision } },
    { KeyOperation::Put(
      aItem.mKey, EncodeActionRecord(aItem.mRecord), aItem.mLease) },
    { KeyOperation::Range(aItem.mKey) }
  };
  mStore.Commit(
    transaction,
    mAlive.Wrap(
      [this, aItem](const KeyValueResult<KeyTransactionReply>& aReply) {
        OnReply(aItem, aReply);
      }));
}

void
RecordRepair::OnReply(Item aItem,
                      const KeyValueResult<KeyTransactionReply>& aReply)
{
  --mCalls;
  if (!aReply && IsLeaseLost(aReply.error())) {
    // The record went with its lease; nothing is left to write.
    mBreaker.OnAnswer();
    Pump();
    return;
  }
  if (!aReply) {
    Pause();
    Add(std::move(aItem));
    mBreaker.OnFailure();
    return;
  }
  mBreaker.OnAnswer();
  const auto& reply = aReply.value();
  if (!reply.mSucceeded && !reply.mRanges.at(0).empty()) {
    const auto& key = reply.mRanges.at(0).front();
    const auto record = DecodeActionRecord(key.mValue);
    if (record && record->mState == ActionState::kIntent &&
        record->mAttempt == aItem.mRecord.mAttempt) {
      aItem.mExpectedRevision = key.mModRevision;
      Add(std::move(aItem));
      return;
    }
  }
  Pump();
}

} // namespace ragwortdeck
