#pragma once

#include "Core/Clock.h"
#include "Core/SiteView.h"
#include "Policy/CreditOwnership.h"
#include "Policy/SafetyMargin.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ragwortdeck {

/// \brief Grants the dynamic parts of the limits that this host owns.
///
/// The sum of all unexpired grants of a hard limit never exceeds its dynamic
/// part. The owner counts the largest of a host's grants that may still be in
/// force, until the host acknowledges a smaller one.
class CreditOwner
{
public:
  CreditOwner(HostId aHost, const Clock& aClock);

  void OnView(std::shared_ptr<const SiteView> aView);
  /// Hosts that membership holds for alive. A limit that comes to this host
  /// is granted only after one credit lifetime.
  void OnOwners(const std::vector<HostId>& aLiveHosts);
  /// Raises the safety margin of an engine that preempts.
  void OnLoadReport(const TargetId& aTarget, const LoadReport& aReport);
  /// The answer to a request; limits that this host does not own are absent.
  CreditGrant OnRequest(const CreditRequest& aRequest);
  /// Forgets lapsed grants and hosts that are gone. Call every second.
  void Tick();

private:
  struct GrantRecord
  {
    std::uint64_t mSequence = 0;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mAmount = 0;
    MonotonicTime mExpires;
  };

  struct HostState
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    std::uint64_t mInUse = 0;
    /// Part of the dynamic amount counted for this host.
    std::uint64_t mReserved = 0;
    std::deque<GrantRecord> mGrants;
  };

  struct Limit
  {
    MonotonicTime mOwnedSince;
    std::unordered_map<HostId, HostState> mHosts;
    std::uint64_t mReservedSum = 0;
    std::uint64_t mUseSum = 0;
    /// The host whose minimum could not be met for longest.
    HostId mStarving;
    std::uint64_t mStarvingNeed = 0;
    MonotonicTime mStarvingAsked{};
  };

  struct EngineState
  {
    SafetyMargin mMargin;
    std::uint64_t mMemoryTokens = 0;
  };

  bool Owns(const std::string& aName) const;
  CreditSplit SplitOf(const CreditKey& aKey) const;
  std::uint64_t CapOf(const CreditKey& aKey) const;
  Limit& LimitOf(const CreditKey& aKey);
  void DropForeignLimits();
  /// Replaces the live hosts and remembers since when they are.
  void SetLive(const std::vector<HostId>& aLive);
  /// Since when this host has owned the limit without a break.
  MonotonicTime OwnedSince(const std::string& aName) const;
  std::optional<CreditShare> Answer(const CreditRequest& aRequest,
                                    const CreditAsk& aAsk);
  std::uint64_t Decide(Limit& aLimit,
                       HostState& aHost,
                       const CreditRequest& aRequest,
                       const CreditAsk& aAsk,
                       const CreditSplit& aSplit);
  std::uint64_t DecideHard(std::uint64_t aNeed, std::uint64_t aFree) const;
  std::uint64_t DecideSoft(Limit& aLimit,
                           const CreditRequest& aRequest,
                           const CreditAsk& aAsk,
                           std::uint64_t aFree) const;
  static void MergeOldest(HostState& aHost);
  void Recount(Limit& aLimit,
               HostState& aHost,
               std::uint64_t aStatic,
               bool aIsHard) const;

  HostId mHost;
  const Clock& mClock;
  std::shared_ptr<const SiteView> mView;
  std::vector<HostId> mLive;
  /// Live hosts and since when, oldest first; the last one is mLive. Reaches
  /// back one credit lifetime.
  std::deque<std::pair<MonotonicTime, std::vector<HostId>>> mLiveHistory;
  bool mHasMembership = false;
  /// Sum of the kinds' reserved parts of engine memory.
  double mReservedPart = 0.0;
  std::unordered_map<CreditKey, Limit, CreditKeyHash> mLimits;
  std::unordered_map<TargetId, EngineState> mEngines;
};

} // namespace ragwortdeck
