#include "Serving/WaitingLine.h"

#include <algorithm>
#include <tuple>

namespace ragwortdeck {

std::uint64_t
WaitingLine::Enter(const Ticket& aTicket)
{
  mTickets.emplace(mNext, aTicket);
  return mNext++;
}

void
WaitingLine::Leave(std::uint64_t aId)
{
  mTickets.erase(aId);
}

void
WaitingLine::Offer(const std::function<bool(std::uint64_t)>& aTryPlace)
{
  std::vector<std::tuple<int, MonotonicTime, std::uint64_t>> order;
  order.reserve(mTickets.size());
  for (const auto& [id, ticket] : mTickets) {
    order.emplace_back(ticket.mPriority, ticket.mArrived, id);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [priority, arrived, id] : order) {
    if (aTryPlace(id)) {
      mTickets.erase(id);
    }
  }
}

std::vector<std::uint64_t>
WaitingLine::TakeExpired(MonotonicTime aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, ticket] : mTickets) {
    if (ticket.mDeadline <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    mTickets.erase(id);
  }
  return expired;
}

} // namespace ragwortdeck
