#include "Serving/FleetLoad.h"

#include <algorithm>
#include <cmath>

namespace ragwortdeck {

Duration
LoadReportDelay(bool aGrew, std::size_t aHosts)
{
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  constexpr microseconds kIncreaseDelay{ 300 };
  constexpr milliseconds kDecreaseDelayPerHost{ 1 };
  constexpr milliseconds kMinDecreaseDelay{ 60 };
  // A long response holds its memory for several seconds.
  constexpr milliseconds kMaxDecreaseDelay{ 300 };
  if (aGrew) {
    return kIncreaseDelay;
  }
  return std::clamp(kDecreaseDelayPerHost * static_cast<Duration::rep>(aHosts),
                    kMinDecreaseDelay,
                    kMaxDecreaseDelay);
}

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
FleetLoad::Count(Peer& aPeer, std::vector<EngineLoad> aLoads)
{
  for (const auto& load : aPeer.mCounted) {
    Add(mOthers, load, -1);
  }
  aPeer.mCounted = std::move(aLoads);
  for (const auto& load : aPeer.mCounted) {
    Add(mOthers, load, 1);
  }
}

void
FleetLoad::SetPeer(const std::string& aPeer,
                   const std::vector<EngineLoad>& aLoads,
                   MonotonicTime aNow)
{
  auto& peer = mPeers[aPeer];
  peer.mReceivedAt = aNow;
  // Most messages of a large fleet report no change.
  if (aLoads == peer.mReported && aLoads == peer.mCounted) {
    return;
  }
  Count(peer, aLoads);
  peer.mReported = aLoads;
}

void
FleetLoad::Expire(MonotonicTime aNow)
{
  for (auto& [name, peer] : mPeers) {
    const auto silent = aNow - peer.mReceivedAt;
    if (silent <= kPeerTimeout) {
      continue;
    }
    const double share =
      std::max(0.0,
               static_cast<double>((kPeerGone - silent).count()) /
                 static_cast<double>((kPeerGone - kPeerTimeout).count()));
    std::vector<EngineLoad> left;
    for (const auto& load : peer.mReported) {
      const auto runs = static_cast<int>(std::ceil(load.mRuns * share));
      if (runs > 0) {
        // Prompts are processed within this time.
        left.push_back({ load.mTarget,
                         runs,
                         static_cast<std::int64_t>(
                           static_cast<double>(load.mReservedTokens) * share),
                         0 });
      }
    }
    Count(peer, std::move(left));
  }
  std::erase_if(mPeers, [&](const auto& aItem) {
    return aNow - aItem.second.mReceivedAt > kPeerGone;
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
