#pragma once

#include "Core/RandomSource.h"
#include "Core/Scheduler.h"
#include "Filters/StreamRelay.h"

#include <functional>
#include <map>
#include <string>

namespace ragwortdeck {

/// \brief What became of one cancel call.
enum class CancelReply : std::uint8_t
{
  /// The engine confirmed, or does not know the generation.
  kConfirmed,
  /// Nothing listens at the engine's address.
  kRefused,
  /// Anything else; the generation may still run.
  kUnknown,
  /// The target is no longer in the view.
  kTargetGone,
};

/// \brief Repeats cancels with backoff until the engine confirms or is known
/// to be gone. It opens no sockets itself.
class CancelQueue
{
public:
  using OnReply = std::function<void(CancelReply)>;
  /// Sends one cancel call and reports exactly once, later.
  using Send = std::function<void(const Attempt&, OnReply)>;

  CancelQueue(Scheduler& aScheduler, RandomSource aRandom, Send aSend);

  void Add(const Attempt& aAttempt);
  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    Attempt mAttempt;
    std::uint32_t mTries = 0;
    std::uint32_t mRefusals = 0;
    TimerHandle mTimer;
  };

  void Try(std::uint64_t aId);
  void Accept(std::uint64_t aId, CancelReply aReply);

  Scheduler& mScheduler;
  RandomSource mRandom;
  Send mSend;
  std::uint64_t mNextId = 1;
  std::map<std::uint64_t, Entry> mEntries;
};

} // namespace ragwortdeck
