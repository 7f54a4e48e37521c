#include "Policy/FairQueue.h"

#include <algorithm>

namespace ragwortdeck {

namespace {

/// At equal priority, no request that arrives more than this later overtakes
/// a waiting request of its lane.
constexpr Duration kAgingLimit{ std::chrono::seconds(30) };

} // namespace

std::size_t
FairQueue::LaneOf(KindClass aClass)
{
  return aClass == KindClass::kShort ? 0 : 1;
}

FairQueue::Rank
FairQueue::RankOf(const QueuedRequest& aRequest)
{
  // Each priority level counts as one aging limit, so that a low priority
  // delays a request but never starves it.
  const auto aged =
    std::min(aRequest.mDeadline, aRequest.mArrival + kAgingLimit);
  const auto priority = static_cast<std::int64_t>(aRequest.mPriority);
  return { aged - kAgingLimit * priority, aRequest.mTicket };
}

FairQueue::TeamIndex
FairQueue::IndexOf(const TeamName& aTeam)
{
  const auto next = static_cast<TeamIndex>(mTeams.size());
  const auto [it, isNew] = mIndex.emplace(aTeam, next);
  if (isNew) {
    mTeams.emplace_back();
  }
  return it->second;
}

void
FairQueue::SetShare(const TeamName& aTeam, std::uint32_t aShare)
{
  const auto team = IndexOf(aTeam);
  auto& state = mTeams[team];
  if (state.mIsActive) {
    mActiveShares += aShare - state.mShare;
  }
  state.mShare = std::max<std::uint32_t>(aShare, 1);
}

void
FairQueue::UpdateReady(TeamIndex aTeam)
{
  auto& state = mTeams[aTeam];
  bool isActive = false;
  for (std::size_t lane = 0; lane < kLanes; ++lane) {
    if (state.mReadyKey[lane] >= 0.0) {
      mReady[lane].erase({ state.mReadyKey[lane], aTeam });
      state.mReadyKey[lane] = -1.0;
    }
    if (!state.mIsBlocked && !state.mLanes[lane].empty()) {
      state.mReadyKey[lane] = state.mVirtualFinish;
      mReady[lane].emplace(state.mVirtualFinish, aTeam);
      isActive = true;
    }
  }
  if (isActive != state.mIsActive) {
    mActiveShares += isActive ? state.mShare : -state.mShare;
    state.mIsActive = isActive;
  }
}

bool
FairQueue::Push(const QueuedRequest& aRequest)
{
  const auto team = IndexOf(aRequest.mTeam);
  auto& state = mTeams[team];
  if (state.mLanes[0].size() + state.mLanes[1].size() >= kMaxPerTeam) {
    return false;
  }
  if (state.mLanes[0].empty() && state.mLanes[1].empty()) {
    // An idle team gains no advantage from the service that it did not use.
    state.mVirtualFinish = std::max(state.mVirtualFinish, mVirtualTime);
  }
  state.mLanes[LaneOf(aRequest.mClass)].insert(RankOf(aRequest));
  state.mBacklog += aRequest.mCost;
  mRequests.emplace(aRequest.mTicket, aRequest);
  mByLatestStart.emplace(aRequest.mLatestStart, aRequest.mTicket);
  UpdateReady(team);
  return true;
}

const QueuedRequest*
FairQueue::Head(KindClass aLane) const
{
  const auto lane = LaneOf(aLane);
  if (mReady[lane].empty()) {
    return nullptr;
  }
  const auto& state = mTeams[mReady[lane].begin()->second];
  return &mRequests.at(state.mLanes[lane].begin()->second);
}

void
FairQueue::Erase(TeamIndex aTeam, const QueuedRequest& aRequest)
{
  auto& state = mTeams[aTeam];
  state.mLanes[LaneOf(aRequest.mClass)].erase(RankOf(aRequest));
  state.mBacklog -= aRequest.mCost;
  mByLatestStart.erase({ aRequest.mLatestStart, aRequest.mTicket });
  mRequests.erase(aRequest.mTicket);
  UpdateReady(aTeam);
}

QueuedRequest
FairQueue::Pop(KindClass aLane)
{
  auto request = *Head(aLane);
  const auto team = mReady[LaneOf(aLane)].begin()->second;
  auto& state = mTeams[team];
  mVirtualTime = std::max(mVirtualTime, state.mVirtualFinish);
  state.mVirtualFinish += request.mCost / state.mShare;
  Erase(team, request);
  return request;
}

bool
FairQueue::Remove(Ticket aTicket)
{
  const auto it = mRequests.find(aTicket);
  if (it == mRequests.end()) {
    return false;
  }
  const auto request = it->second;
  Erase(IndexOf(request.mTeam), request);
  return true;
}

void
FairQueue::SetBlocked(const TeamName& aTeam, bool aBlocked)
{
  const auto team = IndexOf(aTeam);
  if (mTeams[team].mIsBlocked != aBlocked) {
    mTeams[team].mIsBlocked = aBlocked;
    if (!aBlocked) {
      mTeams[team].mVirtualFinish =
        std::max(mTeams[team].mVirtualFinish, mVirtualTime);
    }
    UpdateReady(team);
  }
}

std::vector<Ticket>
FairQueue::TakeExpired(MonotonicTime aNow)
{
  std::vector<Ticket> expired;
  while (!mByLatestStart.empty() && mByLatestStart.begin()->first < aNow) {
    const auto ticket = mByLatestStart.begin()->second;
    expired.push_back(ticket);
    Remove(ticket);
  }
  return expired;
}

double
FairQueue::BacklogPerShare(const TeamName& aTeam) const
{
  const auto it = mIndex.find(aTeam);
  if (it == mIndex.end()) {
    return 0.0;
  }
  const auto& state = mTeams[it->second];
  return std::max(state.mBacklog, 0.0) / state.mShare;
}

} // namespace ragwortdeck
