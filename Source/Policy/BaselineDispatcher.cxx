#include "Policy/BaselineDispatcher.h"

#include "Core/Contains.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

bool
CanServe(const Target& aTarget, const RequestTraits& aTraits)
{
  return aTarget.mRole == TargetRole::kEngine &&
         aTarget.mState == TargetState::kLive &&
         Contains(aTarget.mModels, aTraits.mModel) &&
         !Contains(aTraits.mExcluded, aTarget.mId);
}

} // namespace

BaselineDispatcher::BaselineDispatcher(DispatchPolicy aPolicy,
                                       std::uint64_t aSeed)
  : mPolicy(aPolicy)
  , mRandom(aSeed)
  , mNextRoundRobin(mRandom.Below(1'000))
{
}

std::vector<TargetId>
BaselineDispatcher::Candidates(const RequestTraits& aTraits) const
{
  std::vector<TargetId> ids;
  if (mView) {
    for (const auto& [id, target] : mView->mTargets) {
      if (CanServe(target, aTraits)) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

const TargetId&
BaselineDispatcher::LeastOutstanding(const std::vector<TargetId>& aCandidates)
{
  // Breaks ties from a random start. Otherwise every router would prefer the
  // same engine.
  const auto start = mRandom.Below(aCandidates.size());
  const auto* best = &aCandidates[start];
  for (std::size_t i = 1; i < aCandidates.size(); ++i) {
    const auto& next = aCandidates[(start + i) % aCandidates.size()];
    if (mOutstanding[next] < mOutstanding[*best]) {
      best = &next;
    }
  }
  return *best;
}

const TargetId&
BaselineDispatcher::LessLoadedOfTwo(const std::vector<TargetId>& aCandidates)
{
  const auto& first = aCandidates[mRandom.Below(aCandidates.size())];
  const auto& second = aCandidates[mRandom.Below(aCandidates.size())];
  return mOutstanding[second] < mOutstanding[first] ? second : first;
}

const TargetId&
BaselineDispatcher::Choose(const std::vector<TargetId>& aCandidates)
{
  switch (mPolicy) {
    case DispatchPolicy::kRoundRobin:
      return aCandidates[mNextRoundRobin++ % aCandidates.size()];
    case DispatchPolicy::kLeastOutstanding:
      return LeastOutstanding(aCandidates);
    case DispatchPolicy::kTwoRandomChoices:
      return LessLoadedOfTwo(aCandidates);
    default:
      return aCandidates[mRandom.Below(aCandidates.size())];
  }
}

Ticket
BaselineDispatcher::Submit(const RequestTraits& aTraits,
                           DispatchCallback aCallback)
{
  const auto ticket = mNextTicket++;
  const auto candidates = Candidates(aTraits);
  if (candidates.empty()) {
    ++mCounts.mRefused;
    aCallback(NoTarget());
    return ticket;
  }
  const auto target = Choose(candidates);
  ++mOutstanding[target];
  mDispatched.emplace(ticket, target);
  ++mCounts.mDispatched;
  mCounts.mRunning = mDispatched.size();
  aCallback(target);
  return ticket;
}

void
BaselineDispatcher::OnTokens(Ticket /*aTicket*/, std::uint32_t /*aTokens*/)
{
}

void
BaselineDispatcher::OnFinished(Ticket aTicket, DispatchOutcome /*aOutcome*/)
{
  const auto it = mDispatched.find(aTicket);
  if (it == mDispatched.end()) {
    return;
  }
  --mOutstanding[it->second];
  mDispatched.erase(it);
  mCounts.mRunning = mDispatched.size();
}

void
BaselineDispatcher::Cancel(Ticket aTicket)
{
  OnFinished(aTicket, DispatchOutcome::kCancelled);
}

void
BaselineDispatcher::OnView(std::shared_ptr<const SiteView> aView)
{
  mView = std::move(aView);
}

void
BaselineDispatcher::OnLoadReport(const TargetId& /*aTarget*/,
                                 const LoadReport& /*aReport*/)
{
}

} // namespace ragwortdeck
