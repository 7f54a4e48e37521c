#pragma once

#include "Core/RandomSource.h"
#include "Policy/CreditHolder.h"
#include "Policy/Dispatcher.h"
#include "Policy/DispatcherConfig.h"
#include "Policy/FairQueue.h"
#include "Policy/LengthEstimator.h"
#include "Policy/MemoryLedger.h"
#include "Policy/OutlierEjector.h"
#include "Policy/PhaseTimeouts.h"
#include "Policy/Placement.h"
#include "Policy/PrefixIndex.h"
#include "Policy/RetryBudget.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief Holds requests in a fair queue until an engine has room for their
/// expected length and the caps of the team allow them.
///
/// DispatcherConfig::mPolicy sets how the free room is computed: from load
/// reports only (kIndependent), from reports corrected by this host's own work
/// (kCorrected), or from the credits of the owners (kCredits). kCredits falls
/// back to kCorrected for an engine whose owner is unreachable. Team caps use
/// credits in every mode.
class CreditDispatcher : public Dispatcher
{
public:
  CreditDispatcher(const DispatcherConfig& aConfig, const Clock& aClock);

  Ticket Submit(const RequestTraits& aTraits,
                DispatchCallback aCallback) override;
  void OnTokens(Ticket aTicket, std::uint32_t aTokens) override;
  void OnFinished(Ticket aTicket, DispatchOutcome aOutcome) override;
  void Cancel(Ticket aTicket) override;
  void OnView(std::shared_ptr<const SiteView> aView) override;
  void OnLoadReport(const TargetId& aTarget,
                    const LoadReport& aReport) override;
  void Tick() override;
  std::vector<CreditRequest> CollectCreditRequests() override;
  void OnCredits(const CreditGrant& aGrant) override;
  void OnOwners(const std::vector<HostId>& aLiveHosts) override;
  void OnCacheEvents(const TargetId& aTarget,
                     const CacheEvents& aEvents) override;
  bool TryRetry(const RequestTraits& aTraits) override;
  PhaseLimits Limits(Ticket aTicket) const override;
  DispatchCounts Counts() const override;

private:
  using TargetIndex = std::uint32_t;

  struct EngineState
  {
    TargetId mId;
    bool mIsLive = false;
    bool mIsSameDomain = false;
    std::vector<std::string> mAdapters;
    double mMemoryTokens = 0.0;
    double mMaxBatch = 1.0;
    CreditHolder::Slot mMemorySlot = 0;
    CreditHolder::Slot mBatchSlot = 0;
    PrefixIndex mPrefixes;
  };

  struct TeamState
  {
    TeamRow mRow;
    std::uint32_t mStreams = 0;
    std::uint32_t mQueued = 0;
    bool mIsBlocked = false;
    /// True while mActiveTeams contains the team.
    bool mIsActive = false;
    CreditHolder::Slot mStreamSlot = 0;
    CreditHolder::Slot mRateSlot = 0;
  };

  struct ModelState
  {
    FairQueue mQueue;
    /// Live engines that have loaded the model, limited to kEnginesPerHost.
    std::vector<TargetIndex> mEngines;
    /// Estimated service in tokens dispatched per second while requests wait.
    double mDrainRate = 0.0;
    double mDispatchedCost = 0.0;
    bool mHadWaiting = false;
  };

  struct Waiting
  {
    RequestTraits mTraits;
    DispatchCallback mCallback;
    LengthEstimator::Curve mCurve = 0;
    double mExpectedMemory = 0.0;
  };

  struct Stream
  {
    TargetIndex mTarget = 0;
    TeamState* mTeam = nullptr;
    LengthEstimator::Curve mCurve = 0;
    std::uint32_t mPrompt = 0;
    std::uint32_t mGenerated = 0;
    std::uint32_t mMaxOutput = 0;
    double mCommitted = 0.0;
    PhaseLimits mLimits;
    MonotonicTime mFirstToken{};
  };

  void UpdateTargets();
  void UpdateTarget(const Target& aTarget);
  void UpdateTeams();
  void UpdateModels();
  TeamState& TeamOf(const TeamName& aTeam);
  TargetIndex TargetIndexOf(const TargetId& aId);

  std::optional<Verdict> CheckAdmission(const RequestTraits& aTraits,
                                        const ModelState* aModel,
                                        MonotonicTime aLatestStart) const;
  Ticket Refuse(Ticket aTicket,
                const DispatchCallback& aCallback,
                const Verdict& aVerdict);
  void RefuseExpired(ModelState& aModel);
  void DispatchQueued(ModelState& aModel);
  void DispatchLane(ModelState& aModel, KindClass aLane);
  bool CanTeamStart(TeamState& aTeam) const;
  void SetTeamBlocked(const TeamName& aName, TeamState& aTeam, bool aBlocked);
  void UpdateTeamUse(TeamState& aTeam);
  std::optional<TargetIndex> ChooseTarget(const ModelState& aModel,
                                          const Waiting& aWaiting);
  bool CanServe(const EngineState& aTarget, const RequestTraits& aTraits) const;
  bool HasRoom(TargetIndex aTarget,
               const MemoryLedger::Load& aLoad,
               const Waiting& aWaiting) const;
  MemoryLedger::Load LoadOf(TargetIndex aTarget) const;
  PlacementCandidate CandidateOf(TargetIndex aTarget,
                                 const MemoryLedger::Load& aLoad) const;
  void Dispatch(ModelState& aModel, KindClass aLane, TargetIndex aTarget);
  void Release(Ticket aTicket, Stream& aStream);
  void UpdateTargetUse(TargetIndex aTarget);
  void UpdateWantedCredits(ModelState& aModel);
  std::optional<TargetIndex> EngineForCreditRequest(const ModelState& aModel);
  void MeasureDrain(Duration aElapsed);

  DispatcherConfig mConfig;
  const Clock& mClock;
  std::shared_ptr<const SiteView> mView;
  bool mHasMembership = false;
  std::vector<HostId> mLiveHosts;
  CreditHolder mCredits;
  LengthEstimator mLengths;
  MemoryLedger mLedger;
  OutlierEjector mEjector;
  RetryBudget mRetries;
  Placement mPlacement;
  /// Targets keep their index for the lifetime of the dispatcher.
  std::vector<EngineState> mTargets;
  std::unordered_map<TargetId, TargetIndex> mTargetIndex;
  std::unordered_map<TeamName, TeamState> mTeams;
  /// Teams with queued requests or streams. Points into mTeams, from which no
  /// team is ever removed.
  std::vector<TeamState*> mActiveTeams;
  /// Teams at their cap. Tick() checks only these.
  std::vector<TeamName> mBlockedTeams;
  std::unordered_map<CreditHolder::Slot, TeamName> mTeamOfSlot;
  std::unordered_map<ModelName, ModelState> mModels;
  std::unordered_map<Ticket, Waiting> mWaiting;
  std::unordered_map<Ticket, Stream> mStreams;
  std::vector<PlacementCandidate> mCandidates;
  Ticket mNextTicket = 1;
  /// Decaying maximum of the rates of this host's streams, in tokens/s.
  double mStreamRate;
  /// Moving average of mExpectedMemory of long answers. The amount requested
  /// while no long answer waits, and for each request behind the head.
  double mTypicalMemory;
  MonotonicTime mDrainMeasuredAt;
  DispatchCounts mCounts;
};

} // namespace ragwortdeck
