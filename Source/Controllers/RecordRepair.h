#pragma once

#include "Controllers/ActionRecord.h"
#include "Controllers/AliveToken.h"
#include "Controllers/CircuitBreaker.h"
#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Platform/KeyValueStore.h"

#include <deque>
#include <string>

namespace ragwortdeck {

struct RecordRepairSettings
{
  std::size_t mMaxItems = 4096;
  std::size_t mMaxBytes = 8U << 20U;
  /// Calls at a time per host.
  std::size_t mMaxCalls = 4;
  /// Mean pause after a failed call and after an outage.
  Duration mPause = std::chrono::seconds(1);
};

/// \brief Background writes of action records that could not be written in
/// time: abandoned attempts and outcomes.
///
/// An item is written where the record still has the revision before the
/// attempt's last known write, or still is the attempt's own intent. Where the
/// revision still is the one that the attempt's create expected, the write
/// also makes a create that is still on its way fail.
class RecordRepair
{
public:
  struct Item
  {
    std::string mKey;
    /// The state to write, with the attempt it belongs to.
    ActionRecord mRecord;
    std::int64_t mExpectedRevision = 0;
    std::int64_t mLease = 0;
  };

  RecordRepair(Scheduler& aScheduler,
               KeyValueStore& aStore,
               CircuitBreaker& aBreaker,
               RandomSource aRandom,
               RecordRepairSettings aSettings);

  /// When full, drops the oldest abandoned attempt, else the oldest outcome.
  /// Both are safe: repeats then get may-have-run.
  void Add(Item aItem);
  /// Starts again after an outage, after a jittered pause.
  void Resume();

  std::size_t Pending() const { return mItems.size() + mCalls; }
  std::size_t Bytes() const { return mBytes; }
  std::uint64_t Dropped() const { return mDropped; }

private:
  static std::size_t SizeOf(const Item& aItem);
  void DropOne();
  void Pump();
  void Pause();
  void Write(const Item& aItem);
  void OnReply(Item aItem, const KeyValueResult<KeyTransactionReply>& aReply);

  Scheduler& mScheduler;
  KeyValueStore& mStore;
  CircuitBreaker& mBreaker;
  RandomSource mRandom;
  RecordRepairSettings mSettings;
  std::deque<Item> mItems;
  std::size_t mBytes = 0;
  std::size_t mCalls = 0;
  std::uint64_t mDropped = 0;
  bool mPaused = false;
  TimerHandle mTimer;
  AliveToken mAlive;
};

/// True when a commit failed because its lease no longer exists. etcd's text
/// is "requested lease not found".
bool
IsLeaseLost(const KeyValueError& aError);

} // namespace ragwortdeck
