#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Queue of this host's generations that wait for capacity on an engine.
///
/// Used when the memory of all engines is full. The most urgent requests go
/// first, then the oldest. A request that fits on no engine does not block
/// smaller ones behind it. Each request is rejected after a maximum wait, so
/// the queue is bounded in time and not in length.
class WaitingLine
{
public:
  struct Ticket
  {
    /// 0 is the most urgent.
    int mPriority = 0;
    MonotonicTime mArrived;
    /// The request is rejected after this time.
    MonotonicTime mDeadline;
  };

  std::uint64_t Enter(const Ticket& aTicket);
  void Leave(std::uint64_t aId);
  /// Calls aTryPlace with the id of each waiting request in order. It returns
  /// true if the request was placed; the request then leaves the queue.
  void Offer(const std::function<bool(std::uint64_t)>& aTryPlace);
  /// Removes and returns the requests whose maximum wait has passed.
  std::vector<std::uint64_t> TakeExpired(MonotonicTime aNow);
  std::size_t Size() const { return mTickets.size(); }

private:
  std::map<std::uint64_t, Ticket> mTickets;
  std::uint64_t mNext = 1;
};

} // namespace ragwortdeck
