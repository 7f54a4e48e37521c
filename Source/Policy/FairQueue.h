#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Core/SiteView.h"
#include "Policy/Dispatcher.h"

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ragwortdeck {

/// \brief A request that waits for a target.
struct QueuedRequest
{
  Ticket mTicket = 0;
  TeamName mTeam;
  KindClass mClass = KindClass::kLong;
  std::uint32_t mPriority = 5;
  /// Estimated service in tokens; positive.
  double mCost = 1.0;
  MonotonicTime mArrival;
  MonotonicTime mDeadline;
  /// Latest time to start the request and still meet the deadline.
  MonotonicTime mLatestStart;
};

/// \brief Start-time fair queueing among teams by estimated service.
///
/// Each team has a lane for short questions and one for long answers; both are
/// charged to the same share. Within a lane, the request with the earliest
/// deadline goes first, and each priority level counts as one aging limit. A
/// request is never overtaken by one that arrived more than ten aging limits
/// after it. All operations cost O(log n).
class FairQueue
{
public:
  /// Maximum number of waiting requests of one team.
  static constexpr std::size_t kMaxPerTeam = 1'000;

  void SetShare(const TeamName& aTeam, std::uint32_t aShare);
  /// Returns false when the queue of the team is full.
  bool Push(const QueuedRequest& aRequest);
  /// The next request of a lane among teams that are not blocked; null when
  /// there is none.
  const QueuedRequest* Head(KindClass aLane) const;
  /// Removes the head and charges its team.
  QueuedRequest Pop(KindClass aLane);
  bool Remove(Ticket aTicket);
  /// Blocked teams are skipped, for example while they are at their cap.
  void SetBlocked(const TeamName& aTeam, bool aBlocked);
  /// Removes and returns requests whose latest start has passed.
  std::vector<Ticket> TakeExpired(MonotonicTime aNow);

  std::size_t Size() const { return mRequests.size(); }
  /// Estimated service of the waiting requests of a team, per unit of share.
  double BacklogPerShare(const TeamName& aTeam) const;
  /// Sum of the shares of all teams that have waiting requests and are not
  /// blocked.
  double ActiveShares() const { return mActiveShares; }

private:
  static constexpr std::size_t kLanes = 2;
  /// Order within a lane: aged deadline, then arrival order.
  using Rank = std::pair<MonotonicTime, Ticket>;

  struct TeamState
  {
    double mShare = 100.0;
    /// Virtual finish time of the service charged to the team so far.
    double mVirtualFinish = 0.0;
    double mBacklog = 0.0;
    bool mIsBlocked = false;
    bool mIsActive = false;
    std::array<std::set<Rank>, kLanes> mLanes;
    /// The key of each lane in mReady; negative when the lane is not in it.
    std::array<double, kLanes> mReadyKey{ -1.0, -1.0 };
  };

  using TeamIndex = std::uint32_t;

  static std::size_t LaneOf(KindClass aClass);
  static Rank RankOf(const QueuedRequest& aRequest);
  TeamIndex IndexOf(const TeamName& aTeam);
  void UpdateReady(TeamIndex aTeam);
  void Erase(TeamIndex aTeam, const QueuedRequest& aRequest);

  double mVirtualTime = 0.0;
  double mActiveShares = 0.0;
  std::vector<TeamState> mTeams;
  std::unordered_map<TeamName, TeamIndex> mIndex;
  std::unordered_map<Ticket, QueuedRequest> mRequests;
  std::set<std::pair<MonotonicTime, Ticket>> mByLatestStart;
  std::array<std::set<std::pair<double, TeamIndex>>, kLanes> mReady;
};

} // namespace ragwortdeck
