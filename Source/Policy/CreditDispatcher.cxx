#include "Policy/CreditDispatcher.h"

#include "Core/Contains.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

/// Maximum number of engines that one host uses per model. Bounds the cost of a
/// decision and the number of owners that a host sends requests to, regardless
/// of the size of the fleet.
constexpr std::size_t kEnginesPerHost = 32;
/// Short questions may fill an engine up to this fraction of its memory.
constexpr double kShortMemoryFraction = 0.97;
/// Without valid credits, a request may need at most this fraction of the free
/// memory, since other hosts may dispatch to it at the same time.
constexpr double kUncoordinatedFraction = 0.25;
/// Tokens per second assumed for a stream until a higher rate is measured.
constexpr double kInitialStreamRate = 80.0;
/// Factor by which the maximum rate decays per measured stream.
constexpr double kStreamRateDecay = 0.999;
/// Streams with fewer tokens are too short to measure a rate.
constexpr std::uint32_t kMinRateTokens = 32;
/// Initial value of the typical memory of a long answer, in tokens.
constexpr double kInitialTypicalMemory = 1'000.0;
constexpr double kTypicalMemorySmoothing = 0.05;
/// Fraction of the expected time of an answer that must remain before the
/// deadline at its start. Most answers are shorter than the mean of a
/// heavy-tailed length distribution.
constexpr double kMinTimeFraction = 0.5;
/// Time per token from which the expected time of an answer is estimated.
constexpr double kSecondsPerToken = 0.025;
/// A request is refused early when its estimated wait is this many times as
/// long as its deadline allows, because the estimate is rough.
constexpr double kWaitTolerance = 2.0;
constexpr Duration kDrainPeriod{ std::chrono::seconds(1) };
constexpr double kDrainSmoothing = 0.2;
/// Maximum number of queued requests of a team to request credits for at once.
constexpr std::uint32_t kMaxTeamWanted = 8;
/// Maximum number of requests behind the head to request credits for.
constexpr std::size_t kMaxExtraWanted = 2;

std::uint64_t
ToTokens(double aValue)
{
  return static_cast<std::uint64_t>(std::ceil(std::max(aValue, 0.0)));
}

Duration
ToDuration(double aSeconds)
{
  return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

Verdict
Overloaded(Duration aRetryAfter)
{
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(aRetryAfter);
  return { RunState::kNotRun,
           429,
           "queue_full",
           "the answer would come after its deadline; repeat later",
           std::max<std::chrono::milliseconds>(wait, std::chrono::seconds(1)) };
}

/// Rendezvous hash that selects the subset of engines that a host uses.
std::uint64_t
SubsetRank(const HostId& aHost, const TargetId& aTarget)
{
  const auto& host = aHost.Value();
  const auto& target = aTarget.Value();
  const auto seed = XXH3_64bits(host.data(), host.size());
  return XXH3_64bits_withSeed(target.data(), target.size(), seed);
}

} // namespace

CreditDispatcher::CreditDispatcher(const DispatcherConfig& aConfig,
                                   const Clock& aClock)
  : mConfig(aConfig)
  , mClock(aClock)
  , mCredits(aConfig.mHost, aConfig.mIncarnation, aClock)
  , mLedger(aClock)
  , mEjector(aClock, aConfig.mSeed + 1)
  , mRetries(aClock)
  , mPlacement(aConfig.mSeed)
  , mStreamRate(kInitialStreamRate)
  , mTypicalMemory(kInitialTypicalMemory)
  , mDrainMeasuredAt(aClock.Now())
{
}

CreditDispatcher::TargetIndex
CreditDispatcher::TargetIndexOf(const TargetId& aId)
{
  const auto next = static_cast<TargetIndex>(mTargets.size());
  const auto [it, isNew] = mTargetIndex.emplace(aId, next);
  if (isNew) {
    EngineState target;
    target.mId = aId;
    target.mMemorySlot =
      mCredits.SlotOf({ CreditKind::kTargetMemory, aId.Value() });
    target.mBatchSlot =
      mCredits.SlotOf({ CreditKind::kTargetSlots, aId.Value() });
    mTargets.push_back(std::move(target));
    mLedger.Add();
    mEjector.Add();
  }
  return it->second;
}

void
CreditDispatcher::OnView(std::shared_ptr<const SiteView> aView)
{
  mView = std::move(aView);
  // Static shares are the cap divided by the number of listed hosts, which
  // always comes from the view, even if membership arrived first.
  mCredits.SetHosts(mView->mEntryHosts.size(),
                    mHasMembership ? mLiveHosts : mView->mEntryHosts);
  UpdateTargets();
  UpdateTeams();
  UpdateModels();
}

void
CreditDispatcher::UpdateTargets()
{
  for (auto& target : mTargets) {
    target.mIsLive = false;
  }
  for (const auto& [id, target] : mView->mTargets) {
    if (target.mRole == TargetRole::kEngine) {
      UpdateTarget(target);
    }
  }
}

void
CreditDispatcher::UpdateTarget(const Target& aTarget)
{
  auto& target = mTargets[TargetIndexOf(aTarget.mId)];
  target.mIsLive = aTarget.mState == TargetState::kLive;
  target.mIsSameDomain = aTarget.mFailureDomain == mConfig.mFailureDomain;
  target.mAdapters = aTarget.mAdapters;
  if (aTarget.mLoad.mMemoryTokens > 0) {
    target.mMemoryTokens = static_cast<double>(aTarget.mLoad.mMemoryTokens);
    target.mMaxBatch = std::max<double>(aTarget.mLoad.mMaxBatch, 1.0);
  }
}

void
CreditDispatcher::UpdateTeams()
{
  for (auto& [name, team] : mTeams) {
    const auto row = mView->mTable.mTeams.find(name);
    if (row != mView->mTable.mTeams.end() && team.mRow != row->second) {
      team.mRow = row->second;
      mCredits.SetCap(team.mStreamSlot, team.mRow.mMaxConcurrent);
      mCredits.SetCap(team.mRateSlot, team.mRow.mTokensPerSecond);
      for (auto& [model, state] : mModels) {
        state.mQueue.SetShare(name, team.mRow.mShare);
      }
      SetTeamBlocked(name, team, !CanTeamStart(team));
    }
  }
}

void
CreditDispatcher::UpdateModels()
{
  for (auto& [name, model] : mModels) {
    model.mEngines.clear();
  }
  for (const auto& [id, target] : mView->mTargets) {
    const auto index = mTargetIndex.find(id);
    if (index == mTargetIndex.end() || !mTargets[index->second].mIsLive) {
      continue;
    }
    for (const auto& model : target.mModels) {
      mModels[model].mEngines.push_back(index->second);
    }
  }
  std::vector<bool> isUsed(mTargets.size(), false);
  for (auto& [name, model] : mModels) {
    auto& engines = model.mEngines;
    if (engines.size() > kEnginesPerHost) {
      std::partial_sort(
        engines.begin(),
        engines.begin() + kEnginesPerHost,
        engines.end(),
        [this](auto aLeft, auto aRight) {
          return SubsetRank(mConfig.mHost, mTargets[aLeft].mId) >
                 SubsetRank(mConfig.mHost, mTargets[aRight].mId);
        });
      engines.resize(kEnginesPerHost);
    }
    for (const auto engine : engines) {
      isUsed[engine] = true;
    }
  }
  std::size_t live = 0;
  for (TargetIndex i = 0; i < mTargets.size(); ++i) {
    const auto& target = mTargets[i];
    live += isUsed[i] ? 1 : 0;
    // Credits are requested only for engines in use, to save messages.
    const bool needsCredits =
      isUsed[i] && mConfig.mPolicy == DispatchPolicy::kCredits;
    mCredits.SetCap(target.mMemorySlot,
                    needsCredits ? ToTokens(target.mMemoryTokens) : 0);
    mCredits.SetCap(target.mBatchSlot,
                    needsCredits ? ToTokens(target.mMaxBatch) : 0);
  }
  mEjector.SetLiveCount(live);
}

CreditDispatcher::TeamState&
CreditDispatcher::TeamOf(const TeamName& aTeam)
{
  const auto [it, isNew] = mTeams.try_emplace(aTeam);
  auto& team = it->second;
  if (!isNew) {
    return team;
  }
  if (mView) {
    const auto row = mView->mTable.mTeams.find(aTeam);
    team.mRow = row == mView->mTable.mTeams.end() ? TeamRow() : row->second;
  }
  const auto& name = aTeam.Value();
  team.mStreamSlot = mCredits.SlotOf({ CreditKind::kTeamStreams, name });
  team.mRateSlot = mCredits.SlotOf({ CreditKind::kTeamTokenRate, name });
  mCredits.SetCap(team.mStreamSlot, team.mRow.mMaxConcurrent);
  mCredits.SetCap(team.mRateSlot, team.mRow.mTokensPerSecond);
  mTeamOfSlot.emplace(team.mStreamSlot, aTeam);
  mTeamOfSlot.emplace(team.mRateSlot, aTeam);
  return team;
}

std::optional<Verdict>
CreditDispatcher::CheckAdmission(const RequestTraits& aTraits,
                                 const ModelState* aModel,
                                 MonotonicTime aLatestStart) const
{
  if (aModel == nullptr ||
      std::none_of(
        aModel->mEngines.begin(), aModel->mEngines.end(), [&](auto aEngine) {
          return CanServe(mTargets[aEngine], aTraits);
        })) {
    return NoTarget();
  }
  const auto now = mClock.Now();
  if (aLatestStart < now) {
    return Overloaded(Duration::zero());
  }
  // Short questions overtake long answers, so their wait cannot be estimated
  // from the backlog; they are refused when their latest start has passed.
  if (aModel->mDrainRate <= 0.0 || aTraits.mClass == KindClass::kShort) {
    return std::nullopt;
  }
  const auto seconds = aModel->mQueue.BacklogPerShare(aTraits.mTeam) *
                       aModel->mQueue.ActiveShares() / aModel->mDrainRate;
  const auto wait = ToDuration(seconds / kWaitTolerance);
  if (now + wait <= aLatestStart) {
    return std::nullopt;
  }
  return Overloaded(wait - (aLatestStart - now));
}

Ticket
CreditDispatcher::Refuse(Ticket aTicket,
                         const DispatchCallback& aCallback,
                         const Verdict& aVerdict)
{
  ++mCounts.mRefused;
  aCallback(aVerdict);
  return aTicket;
}

Ticket
CreditDispatcher::Submit(const RequestTraits& aTraits,
                         DispatchCallback aCallback)
{
  const auto ticket = mNextTicket++;
  mRetries.OnRequest();
  Waiting waiting{ aTraits, std::move(aCallback) };
  waiting.mCurve = mLengths.CurveOf(aTraits.mTeam, aTraits.mKind);
  const auto length =
    mLengths.Remaining(waiting.mCurve, 0, aTraits.mMaxOutputTokens);
  waiting.mExpectedMemory =
    MemoryLedger::Committed(aTraits.mPromptTokens, length);
  const auto latestStart =
    aTraits.mDeadline -
    ToDuration(length * kMinTimeFraction * kSecondsPerToken);
  const auto model = mModels.find(aTraits.mModel);
  auto* state = model == mModels.end() ? nullptr : &model->second;
  if (const auto verdict = CheckAdmission(aTraits, state, latestStart)) {
    return Refuse(ticket, waiting.mCallback, *verdict);
  }
  auto& team = TeamOf(aTraits.mTeam);
  if (aTraits.mClass == KindClass::kLong) {
    mTypicalMemory +=
      kTypicalMemorySmoothing * (waiting.mExpectedMemory - mTypicalMemory);
  }
  QueuedRequest queued;
  queued.mTicket = ticket;
  queued.mTeam = aTraits.mTeam;
  queued.mClass = aTraits.mClass;
  queued.mPriority = aTraits.mPriority;
  queued.mCost = aTraits.mPromptTokens + length;
  queued.mArrival = mClock.Now();
  queued.mDeadline = aTraits.mDeadline;
  queued.mLatestStart = latestStart;
  state->mQueue.SetShare(aTraits.mTeam, team.mRow.mShare);
  state->mQueue.SetBlocked(aTraits.mTeam, team.mIsBlocked);
  if (!state->mQueue.Push(queued)) {
    return Refuse(
      ticket, waiting.mCallback, Overloaded(std::chrono::seconds(5)));
  }
  ++team.mQueued;
  if (!std::exchange(team.mIsActive, true)) {
    mActiveTeams.push_back(&team);
  }
  mWaiting.emplace(ticket, std::move(waiting));
  DispatchQueued(*state);
  return ticket;
}

bool
CreditDispatcher::CanTeamStart(TeamState& aTeam) const
{
  const auto next = aTeam.mStreams + 1;
  if (aTeam.mRow.mMaxConcurrent > 0 &&
      next > mCredits.Allowed(aTeam.mStreamSlot)) {
    return false;
  }
  return aTeam.mRow.mTokensPerSecond == 0 ||
         ToTokens(next * mStreamRate) <= mCredits.Allowed(aTeam.mRateSlot);
}

void
CreditDispatcher::SetTeamBlocked(const TeamName& aName,
                                 TeamState& aTeam,
                                 bool aBlocked)
{
  if (aTeam.mIsBlocked == aBlocked) {
    return;
  }
  aTeam.mIsBlocked = aBlocked;
  if (aBlocked) {
    mBlockedTeams.push_back(aName);
  } else {
    std::erase(mBlockedTeams, aName);
  }
  for (auto& [name, model] : mModels) {
    model.mQueue.SetBlocked(aName, aBlocked);
  }
}

void
CreditDispatcher::UpdateTeamUse(TeamState& aTeam)
{
  const auto wanted = std::min(aTeam.mQueued, kMaxTeamWanted);
  mCredits.SetUse(aTeam.mStreamSlot, aTeam.mStreams);
  mCredits.SetWanted(aTeam.mStreamSlot, wanted, 0);
  mCredits.SetUse(aTeam.mRateSlot, ToTokens(aTeam.mStreams * mStreamRate));
  mCredits.SetWanted(aTeam.mRateSlot, ToTokens(wanted * mStreamRate), 0);
}

bool
CreditDispatcher::CanServe(const EngineState& aTarget,
                           const RequestTraits& aTraits) const
{
  return aTarget.mIsLive && !Contains(aTraits.mExcluded, aTarget.mId) &&
         (aTraits.mAdapter.empty() ||
          Contains(aTarget.mAdapters, aTraits.mAdapter));
}

MemoryLedger::Load
CreditDispatcher::LoadOf(TargetIndex aTarget) const
{
  const auto& target = mTargets[aTarget];
  if (mConfig.mPolicy == DispatchPolicy::kIndependent) {
    return mLedger.Reported(aTarget);
  }
  if (mConfig.mPolicy == DispatchPolicy::kCorrected ||
      !mCredits.HasValidGrant(target.mMemorySlot)) {
    return mLedger.Corrected(aTarget);
  }
  const auto& own = mLedger.Own(aTarget);
  const auto others = mCredits.OthersUse(target.mMemorySlot);
  const auto streams = mCredits.OthersUse(target.mBatchSlot);
  return { own.mMemory + static_cast<double>(others),
           own.mStreams + static_cast<double>(streams) };
}

bool
CreditDispatcher::HasRoom(TargetIndex aTarget,
                          const MemoryLedger::Load& aLoad,
                          const Waiting& aWaiting) const
{
  const auto& target = mTargets[aTarget];
  const auto weight = mEjector.Weight(aTarget);
  const auto memory = target.mMemoryTokens * weight;
  if (aLoad.mStreams + 1.0 > target.mMaxBatch * weight) {
    return false;
  }
  if (aWaiting.mTraits.mClass == KindClass::kShort) {
    return aLoad.mMemory + aWaiting.mExpectedMemory <=
           memory * kShortMemoryFraction;
  }
  const auto limit = memory * (1.0 - mLedger.Margin(aTarget));
  const auto& own = mLedger.Own(aTarget);
  // An empty engine accepts any answer, even one larger than the limit.
  if (own.mStreams < 0.5 && aLoad.mStreams < 0.5) {
    return true;
  }
  if (mConfig.mPolicy == DispatchPolicy::kCredits &&
      mCredits.HasValidGrant(target.mMemorySlot)) {
    const auto allowed = mCredits.Allowed(target.mMemorySlot);
    const auto streams = mCredits.Allowed(target.mBatchSlot);
    return aLoad.mMemory + aWaiting.mExpectedMemory <= limit &&
           own.mMemory + aWaiting.mExpectedMemory <=
             static_cast<double>(allowed) &&
           own.mStreams + 1.0 <= static_cast<double>(streams);
  }
  if (mConfig.mPolicy == DispatchPolicy::kCredits) {
    // The owner is unreachable, so other hosts may see the same free memory.
    return aWaiting.mExpectedMemory <=
           (limit - aLoad.mMemory) * kUncoordinatedFraction;
  }
  return aLoad.mMemory + aWaiting.mExpectedMemory <= limit;
}

PlacementCandidate
CreditDispatcher::CandidateOf(TargetIndex aTarget,
                              const MemoryLedger::Load& aLoad) const
{
  const auto& target = mTargets[aTarget];
  PlacementCandidate candidate;
  candidate.mTarget = aTarget;
  candidate.mBatchFraction = (aLoad.mStreams + 1.0) / target.mMaxBatch;
  candidate.mOwnStreams =
    static_cast<std::uint32_t>(mLedger.Own(aTarget).mStreams);
  candidate.mIsSameDomain = target.mIsSameDomain;
  return candidate;
}

std::optional<CreditDispatcher::TargetIndex>
CreditDispatcher::ChooseTarget(const ModelState& aModel,
                               const Waiting& aWaiting)
{
  mCandidates.clear();
  const auto now = mClock.Now();
  for (const auto engine : aModel.mEngines) {
    const auto& target = mTargets[engine];
    if (mEjector.IsEjected(engine) || !CanServe(target, aWaiting.mTraits)) {
      continue;
    }
    const auto load = LoadOf(engine);
    if (!HasRoom(engine, load, aWaiting)) {
      continue;
    }
    auto candidate = CandidateOf(engine, load);
    const auto& hashes = aWaiting.mTraits.mPrefixHashes;
    if (!hashes.empty()) {
      const auto match = target.mPrefixes.Match(hashes, now);
      candidate.mCachedFraction =
        static_cast<double>(match) / static_cast<double>(hashes.size());
    }
    mCandidates.push_back(candidate);
  }
  return mPlacement.Choose(mCandidates);
}

void
CreditDispatcher::DispatchQueued(ModelState& aModel)
{
  DispatchLane(aModel, KindClass::kShort);
  DispatchLane(aModel, KindClass::kLong);
}

void
CreditDispatcher::DispatchLane(ModelState& aModel, KindClass aLane)
{
  while (const auto* head = aModel.mQueue.Head(aLane)) {
    const auto& waiting = mWaiting.at(head->mTicket);
    const auto& name = waiting.mTraits.mTeam;
    auto& team = TeamOf(name);
    if (!CanTeamStart(team)) {
      SetTeamBlocked(TeamName(name), team, true);
      continue;
    }
    // Smaller requests must not overtake the head, or it could wait for room
    // forever.
    const auto target = ChooseTarget(aModel, waiting);
    if (!target) {
      return;
    }
    Dispatch(aModel, aLane, *target);
  }
}

void
CreditDispatcher::Dispatch(ModelState& aModel,
                           KindClass aLane,
                           TargetIndex aTarget)
{
  const auto queued = aModel.mQueue.Pop(aLane);
  aModel.mDispatchedCost += queued.mCost;
  auto node = mWaiting.extract(queued.mTicket);
  const auto& waiting = node.mapped();
  auto& team = TeamOf(queued.mTeam);
  Stream stream;
  stream.mTarget = aTarget;
  stream.mTeam = &team;
  stream.mCurve = waiting.mCurve;
  stream.mPrompt = waiting.mTraits.mPromptTokens;
  stream.mMaxOutput = waiting.mTraits.mMaxOutputTokens;
  stream.mCommitted = waiting.mExpectedMemory;
  stream.mLimits =
    PhaseTimeouts::At(mClock.Now(), queued.mDeadline, stream.mPrompt);
  mLedger.AddStream(aTarget, stream.mCommitted);
  UpdateTargetUse(aTarget);
  --team.mQueued;
  ++team.mStreams;
  UpdateTeamUse(team);
  ++mCounts.mDispatched;
  mStreams.emplace(queued.mTicket, stream);
  waiting.mCallback(mTargets[aTarget].mId);
}

void
CreditDispatcher::UpdateTargetUse(TargetIndex aTarget)
{
  const auto& own = mLedger.Own(aTarget);
  mCredits.SetUse(mTargets[aTarget].mMemorySlot, ToTokens(own.mMemory));
  mCredits.SetUse(mTargets[aTarget].mBatchSlot, ToTokens(own.mStreams));
}

void
CreditDispatcher::OnTokens(Ticket aTicket, std::uint32_t aTokens)
{
  const auto it = mStreams.find(aTicket);
  if (it == mStreams.end() || aTokens == 0) {
    return;
  }
  auto& stream = it->second;
  if (stream.mGenerated == 0) {
    mEjector.OnSuccess(stream.mTarget);
    stream.mFirstToken = mClock.Now();
  }
  const auto before = stream.mGenerated;
  stream.mGenerated += aTokens;
  mLengths.OnProgress(stream.mCurve, before, stream.mGenerated);
  const auto growth =
    mLengths.Remaining(stream.mCurve, stream.mGenerated, stream.mMaxOutput);
  const auto committed =
    MemoryLedger::Committed(stream.mPrompt + stream.mGenerated, growth);
  mLedger.ChangeStream(stream.mTarget, committed - stream.mCommitted);
  stream.mCommitted = committed;
  UpdateTargetUse(stream.mTarget);
}

void
CreditDispatcher::Release(Ticket aTicket, Stream& aStream)
{
  mLedger.RemoveStream(aStream.mTarget, aStream.mCommitted);
  UpdateTargetUse(aStream.mTarget);
  const auto seconds =
    std::chrono::duration<double>(mClock.Now() - aStream.mFirstToken).count();
  if (aStream.mGenerated >= kMinRateTokens && seconds > 0.0) {
    const auto rate = aStream.mGenerated / seconds;
    mStreamRate = std::max(mStreamRate * kStreamRateDecay, rate);
  }
  auto& team = *aStream.mTeam;
  --team.mStreams;
  UpdateTeamUse(team);
  mStreams.erase(aTicket);
}

void
CreditDispatcher::OnFinished(Ticket aTicket, DispatchOutcome aOutcome)
{
  const auto it = mStreams.find(aTicket);
  if (it == mStreams.end()) {
    return;
  }
  auto& stream = it->second;
  if (aOutcome == DispatchOutcome::kCompleted) {
    mLengths.OnEnd(stream.mCurve, stream.mGenerated);
  } else if (aOutcome != DispatchOutcome::kCancelled) {
    mEjector.OnFailure(stream.mTarget);
  }
  Release(aTicket, stream);
}

void
CreditDispatcher::Cancel(Ticket aTicket)
{
  const auto waiting = mWaiting.find(aTicket);
  if (waiting == mWaiting.end()) {
    OnFinished(aTicket, DispatchOutcome::kCancelled);
    return;
  }
  const auto& traits = waiting->second.mTraits;
  mModels[traits.mModel].mQueue.Remove(aTicket);
  auto& team = TeamOf(traits.mTeam);
  --team.mQueued;
  UpdateTeamUse(team);
  mWaiting.erase(waiting);
}

void
CreditDispatcher::OnLoadReport(const TargetId& aTarget,
                               const LoadReport& aReport)
{
  const auto it = mTargetIndex.find(aTarget);
  if (it == mTargetIndex.end()) {
    return;
  }
  mLedger.OnReport(it->second, aReport);
  auto& target = mTargets[it->second];
  if (aReport.mMemoryTokens > 0 && aReport.mMaxBatch > 0) {
    target.mMemoryTokens = static_cast<double>(aReport.mMemoryTokens);
    target.mMaxBatch = aReport.mMaxBatch;
  }
}

void
CreditDispatcher::RefuseExpired(ModelState& aModel)
{
  for (const auto ticket : aModel.mQueue.TakeExpired(mClock.Now())) {
    auto node = mWaiting.extract(ticket);
    auto& team = TeamOf(node.mapped().mTraits.mTeam);
    --team.mQueued;
    UpdateTeamUse(team);
    Refuse(
      ticket, node.mapped().mCallback, Overloaded(std::chrono::seconds(10)));
  }
}

void
CreditDispatcher::MeasureDrain(Duration aElapsed)
{
  const auto seconds = std::chrono::duration<double>(aElapsed).count();
  for (auto& [name, model] : mModels) {
    const bool hasWaiting = model.mQueue.Size() > 0;
    if (hasWaiting && model.mHadWaiting) {
      const auto rate = model.mDispatchedCost / seconds;
      model.mDrainRate =
        model.mDrainRate <= 0.0
          ? rate
          : model.mDrainRate + kDrainSmoothing * (rate - model.mDrainRate);
    }
    model.mHadWaiting = hasWaiting;
    model.mDispatchedCost = 0.0;
  }
}

void
CreditDispatcher::Tick()
{
  mEjector.Tick();
  const auto elapsed = mClock.Now() - mDrainMeasuredAt;
  if (elapsed >= kDrainPeriod) {
    MeasureDrain(elapsed);
    mDrainMeasuredAt = mClock.Now();
  }
  // Iterates over a copy, because SetTeamBlocked() changes the list.
  for (const auto& name : std::vector<TeamName>(mBlockedTeams)) {
    auto& team = mTeams.at(name);
    if (CanTeamStart(team)) {
      SetTeamBlocked(name, team, false);
    }
  }
  for (auto& [name, model] : mModels) {
    RefuseExpired(model);
    DispatchQueued(model);
  }
}

std::optional<CreditDispatcher::TargetIndex>
CreditDispatcher::EngineForCreditRequest(const ModelState& aModel)
{
  // Uses the same rule as for dispatch. Otherwise all hosts would request
  // credits of the one emptiest engine.
  mCandidates.clear();
  for (const auto engine : aModel.mEngines) {
    if (!mEjector.IsEjected(engine)) {
      mCandidates.push_back(CandidateOf(engine, LoadOf(engine)));
    }
  }
  return mPlacement.Choose(mCandidates);
}

void
CreditDispatcher::UpdateWantedCredits(ModelState& aModel)
{
  for (const auto engine : aModel.mEngines) {
    mCredits.SetWanted(mTargets[engine].mMemorySlot, 0, 0);
    mCredits.SetWanted(mTargets[engine].mBatchSlot, 1, 0);
  }
  const auto* head = aModel.mQueue.Head(KindClass::kLong);
  const auto expectedMemory = head == nullptr
                                ? mTypicalMemory
                                : mWaiting.at(head->mTicket).mExpectedMemory;
  const auto engine = EngineForCreditRequest(aModel);
  if (!engine) {
    return;
  }
  const auto& target = mTargets[*engine];
  if (head == nullptr) {
    mCredits.SetWanted(target.mMemorySlot, ToTokens(expectedMemory), 0);
    return;
  }
  const auto extra = std::min(aModel.mQueue.Size() - 1, kMaxExtraWanted);
  mCredits.SetWanted(target.mMemorySlot,
                     ToTokens(expectedMemory + extra * mTypicalMemory),
                     ToTokens(expectedMemory));
  mCredits.SetWanted(target.mBatchSlot, extra + 1, 1);
}

std::vector<CreditRequest>
CreditDispatcher::CollectCreditRequests()
{
  if (mConfig.mPolicy == DispatchPolicy::kCredits) {
    for (auto& [name, model] : mModels) {
      UpdateWantedCredits(model);
    }
  }
  std::erase_if(mActiveTeams, [this](TeamState* aTeam) {
    UpdateTeamUse(*aTeam);
    aTeam->mIsActive = aTeam->mQueued > 0 || aTeam->mStreams > 0;
    return !aTeam->mIsActive;
  });
  return mCredits.Collect();
}

void
CreditDispatcher::OnCredits(const CreditGrant& aGrant)
{
  for (const auto slot : mCredits.OnGrant(aGrant)) {
    const auto name = mTeamOfSlot.find(slot);
    if (name == mTeamOfSlot.end()) {
      continue;
    }
    auto& team = mTeams.at(name->second);
    if (team.mIsBlocked && CanTeamStart(team)) {
      SetTeamBlocked(name->second, team, false);
    }
  }
}

void
CreditDispatcher::OnOwners(const std::vector<HostId>& aLiveHosts)
{
  mHasMembership = true;
  mLiveHosts = aLiveHosts;
  const auto listed = mView ? mView->mEntryHosts.size() : aLiveHosts.size();
  mCredits.SetHosts(listed, aLiveHosts);
}

void
CreditDispatcher::OnCacheEvents(const TargetId& aTarget,
                                const CacheEvents& aEvents)
{
  const auto it = mTargetIndex.find(aTarget);
  if (it != mTargetIndex.end()) {
    mTargets[it->second].mPrefixes.OnEvents(aEvents, mClock.Now());
  }
}

bool
CreditDispatcher::TryRetry(const RequestTraits& /*aTraits*/)
{
  return mRetries.TrySpend();
}

PhaseLimits
CreditDispatcher::Limits(Ticket aTicket) const
{
  const auto it = mStreams.find(aTicket);
  return it == mStreams.end() ? PhaseLimits() : it->second.mLimits;
}

DispatchCounts
CreditDispatcher::Counts() const
{
  auto counts = mCounts;
  counts.mQueued = mWaiting.size();
  counts.mRunning = mStreams.size();
  counts.mEjectedTargets = mEjector.Ejected();
  return counts;
}

} // namespace ragwortdeck
