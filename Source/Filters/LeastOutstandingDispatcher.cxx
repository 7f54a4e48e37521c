#include "Filters/LeastOutstandingDispatcher.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

constexpr int kStatusUnavailable = 503;
constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

template<typename T>
bool
Contains(const std::vector<T>& aList, const T& aItem)
{
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}

bool
Serves(const Target& aTarget, const RequestTraits& aTraits)
{
  return aTarget.mRole == TargetRole::kEngine &&
         aTarget.mState == TargetState::kLive &&
         Contains(aTarget.mModels, aTraits.mModel) &&
         !Contains(aTraits.mExcluded, aTarget.mId);
}

} // namespace

const Target*
LeastOutstandingDispatcher::Choose(const RequestTraits& aTraits) const
{
  const Target* best = nullptr;
  std::uint32_t least = 0;
  for (const auto& [id, target] : mView->mTargets) {
    if (!Serves(target, aTraits)) {
      continue;
    }
    const auto found = mOutstanding.find(id);
    const auto count = found == mOutstanding.end() ? 0 : found->second;
    if (!best || count < least) {
      best = &target;
      least = count;
    }
  }
  return best;
}

Ticket
LeastOutstandingDispatcher::Submit(const RequestTraits& aTraits,
                                   DispatchCallback aCallback)
{
  const auto ticket = mNext++;
  const auto* target = mView ? Choose(aTraits) : nullptr;
  if (!target) {
    aCallback(Verdict{ RunState::kNotRun,
                       kStatusUnavailable,
                       "no_target",
                       "No engine with model '" + aTraits.mModel.Value() +
                         "' is available.",
                       kRetryAfter });
    return ticket;
  }
  mDispatched.emplace(ticket, target->mId);
  ++mOutstanding[target->mId];
  aCallback(target->mId);
  return ticket;
}

void
LeastOutstandingDispatcher::OnFinished(Ticket aTicket, DispatchOutcome)
{
  Cancel(aTicket);
}

void
LeastOutstandingDispatcher::Cancel(Ticket aTicket)
{
  const auto found = mDispatched.find(aTicket);
  if (found == mDispatched.end()) {
    return;
  }
  --mOutstanding[found->second];
  mDispatched.erase(found);
}

void
LeastOutstandingDispatcher::OnView(std::shared_ptr<const SiteView> aView)
{
  mView = std::move(aView);
}

} // namespace ragwortdeck
