#include "Serving/FleetLoad.h"

#include <algorithm>

namespace ragwortdeck {

void
FleetLoad::Add(std::map<std::string, EngineLoad>& aSums,
               const EngineLoad& aLoad,
               int aSign)
{
  auto& sum = aSums[aLoad.mTarget];
  sum.mTarget = aLoad.mTarget;
  sum.mRuns += aSign * aLoad.mRuns;
  sum.mReservedTokens += aSign * aLoad.mReservedTokens;
  sum.mPendingPrefillTokens += aSign * aLoad.mPendingPrefillTokens;
  if (sum.mRuns <= 0) {
    aSums.erase(aLoad.mTarget);
  }
}

EngineLoad
FleetLoad::LoadOf(const Run& aRun)
{
  return { aRun.mTarget,
           1,
           aRun.mPromptTokens + aRun.mOutputTokens,
           aRun.mPrefillDone ? 0 : aRun.mPromptTokens };
}

void
FleetLoad::OnOwnLoadChanged(bool aRunAdded)
{
  ++mOwnVersion;
  if (mOnChange) {
    mOnChange(aRunAdded);
  }
}

void
FleetLoad::Start(std::uint64_t aRun, Run aDetails)
{
  End(aRun);
  Add(mOwn, LoadOf(aDetails), 1);
  mRuns[aRun] = std::move(aDetails);
  OnOwnLoadChanged(true);
}

void
FleetLoad::OnPrefillDone(std::uint64_t aRun)
{
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end() || it->second.mPrefillDone) {
    return;
  }
  Add(mOwn, LoadOf(it->second), -1);
  it->second.mPrefillDone = true;
  Add(mOwn, LoadOf(it->second), 1);
  OnOwnLoadChanged(false);
}

void
FleetLoad::OnTokensGenerated(std::uint64_t aRun, std::int64_t aGeneratedTokens)
{
  // A run that exceeded its estimate reserves 1 / kTailDivisor of its output so
  // far for further output: output lengths have long tails.
  constexpr std::int64_t kTailDivisor = 4;
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end() || aGeneratedTokens <= it->second.mOutputTokens) {
    return;
  }
  Add(mOwn, LoadOf(it->second), -1);
  it->second.mOutputTokens = aGeneratedTokens + aGeneratedTokens / kTailDivisor;
  Add(mOwn, LoadOf(it->second), 1);
  OnOwnLoadChanged(false);
}

void
FleetLoad::End(std::uint64_t aRun)
{
  const auto it = mRuns.find(aRun);
  if (it == mRuns.end()) {
    return;
  }
  Add(mOwn, LoadOf(it->second), -1);
  mRuns.erase(it);
  OnOwnLoadChanged(false);
}

std::vector<EngineLoad>
FleetLoad::OwnLoads() const
{
  std::vector<EngineLoad> loads;
  loads.reserve(mOwn.size());
  for (const auto& [target, load] : mOwn) {
    loads.push_back(load);
  }
  return loads;
}

void
FleetLoad::SetPeer(const std::string& aPeer,
                   const std::vector<EngineLoad>& aLoads,
                   MonotonicTime aNow)
{
  auto& peer = mPeers[aPeer];
  for (const auto& load : peer.mLoads) {
    Add(mOthers, load, -1);
  }
  peer = { aLoads, aNow };
  for (const auto& load : peer.mLoads) {
    Add(mOthers, load, 1);
  }
}

void
FleetLoad::Expire(MonotonicTime aNow)
{
  std::erase_if(mPeers, [&](const auto& aItem) {
    if (aNow - aItem.second.mReceivedAt <= kPeerTimeout) {
      return false;
    }
    for (const auto& load : aItem.second.mLoads) {
      Add(mOthers, load, -1);
    }
    return true;
  });
}

EngineLoad
FleetLoad::TotalOn(const std::string& aTarget) const
{
  EngineLoad sum;
  sum.mTarget = aTarget;
  for (const auto* part : { &mOwn, &mOthers }) {
    if (const auto it = part->find(aTarget); it != part->end()) {
      sum.mRuns += it->second.mRuns;
      sum.mReservedTokens += it->second.mReservedTokens;
      sum.mPendingPrefillTokens += it->second.mPendingPrefillTokens;
    }
  }
  return sum;
}

} // namespace ragwortdeck
