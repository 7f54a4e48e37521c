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
/// part. The owner counts the largest of a host's grants that may still be
/// valid, until the host acknowledges a smaller one.
class CreditOwner
{
public:
  CreditOwner(HostId aHost, const Clock& aClock);

  void OnView(std::shared_ptr<const SiteView> aView);
  /// Sets the hosts that are alive according to membership. Hard limits newly
  /// owned by this host are granted only after one credit lifetime.
  void OnOwners(const std::vector<HostId>& aLiveHosts);
  /// Updates the safety margin, which grows while the engine preempts.
  void OnLoadReport(const TargetId& aTarget, const LoadReport& aReport);
  /// The answer to a request; limits that this host does not own are absent.
  CreditGrant OnRequest(const CreditRequest& aRequest);
  /// Removes expired grants and hosts that are gone. Call every second.
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
    /// The host that takes precedence because its minimum could not be met.
    HostId mStarvedHost;
    std::uint64_t mStarvedMinimum = 0;
    MonotonicTime mStarvedRequestTime{};
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
  void DropLostLimits();
  /// Replaces the live hosts and records the time of the change.
  void SetLiveHosts(const std::vector<HostId>& aLiveHosts);
  /// Start of the current uninterrupted ownership of the limit.
  MonotonicTime OwnedSince(const std::string& aName) const;
  std::optional<CreditShare> MakeShare(const CreditRequest& aRequest,
                                       const CreditAsk& aAsk);
  std::uint64_t ComputeGrant(Limit& aLimit,
                             HostState& aHost,
                             const CreditRequest& aRequest,
                             const CreditAsk& aAsk,
                             const CreditSplit& aSplit);
  std::uint64_t ComputeHardGrant(std::uint64_t aNeed,
                                 std::uint64_t aFree) const;
  std::uint64_t ComputeSoftGrant(Limit& aLimit,
                                 const CreditRequest& aRequest,
                                 const CreditAsk& aAsk,
                                 std::uint64_t aFree) const;
  static void MergeOldest(HostState& aHost);
  void UpdateReserved(Limit& aLimit,
                      HostState& aHost,
                      std::uint64_t aStatic,
                      bool aIsHard) const;

  HostId mHost;
  const Clock& mClock;
  std::shared_ptr<const SiteView> mView;
  std::vector<HostId> mLiveHosts;
  /// Earlier and current live hosts with the time of each change, oldest first;
  /// the last entry equals mLiveHosts. Covers one credit lifetime.
  std::deque<std::pair<MonotonicTime, std::vector<HostId>>> mLiveHistory;
  bool mHasMembership = false;
  /// Sum of the fractions of engine memory that the kinds reserve.
  double mReservedFraction = 0.0;
  std::unordered_map<CreditKey, Limit, CreditKeyHash> mLimits;
  std::unordered_map<TargetId, EngineState> mEngines;
};

} // namespace ragwortdeck
