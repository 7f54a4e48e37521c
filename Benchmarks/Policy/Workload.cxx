#include "Policy/Workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace ragwortdeck {

namespace {

/// Requests per second and engine at normal load.
constexpr double kRatePerEngine = 2.0;
/// Parameters of the log-normal output lengths: means of about 1,000 and 60.
constexpr double kLongMu = 6.2;
constexpr double kLongSigma = 1.2;
constexpr double kShortMu = 3.8;
constexpr double kShortSigma = 0.8;
constexpr std::uint32_t kLongMaximum = 32'768;
constexpr std::uint32_t kShortMaximum = 400;
constexpr std::uint32_t kLongDeadlineSeconds = 240;
constexpr std::uint32_t kShortDeadlineSeconds = 10;
/// A few large teams and many small ones.
constexpr std::array<std::uint32_t, Workload::kTeams> kShares = {
  300, 200, 100, 100, 60, 60, 60, 40, 40, 40
};
constexpr std::uint32_t kShareSum = 1'000;
/// Stream cap of the first team and token rate cap of the second in cases with
/// caps, sized for 14 engines.
constexpr std::uint32_t kStreamCap = 80;
constexpr std::uint32_t kTokenRateCap = 2'000;

const ModelName kModel("planner");
const KindName kShortKind("short");
const KindName kLongKind("long");

std::string
Numbered(const char* aPrefix, std::uint32_t aIndex)
{
  return std::string(aPrefix) + (aIndex < 10 ? "0" : "") +
         std::to_string(aIndex);
}

std::uint32_t
DrawLength(RandomSource& aRandom, double aMu, double aSigma, double aMaximum)
{
  const auto length = std::floor(aRandom.LogNormal(aMu, aSigma));
  return static_cast<std::uint32_t>(std::clamp(length, 3.0, aMaximum));
}

} // namespace

HostId
Workload::HostAt(std::uint32_t aIndex)
{
  return HostId(Numbered("entry-", aIndex));
}

TargetId
Workload::EngineAt(std::uint32_t aIndex)
{
  return TargetId(Numbered("engine-", aIndex));
}

TeamName
Workload::TeamAt(std::uint32_t aIndex)
{
  return TeamName(Numbered("team-", aIndex));
}

std::uint32_t
Workload::ShareOf(std::uint32_t aTeam)
{
  return kShares[aTeam];
}

FailureDomain
Workload::DomainAt(std::uint32_t aIndex)
{
  return FailureDomain(Numbered("domain-", aIndex % 3));
}

Workload::Workload(const BenchmarkCase& aCase, std::uint64_t aSeed)
  : mCase(aCase)
  , mRandom(aSeed)
{
  const auto rate = kRatePerEngine * mCase.mEngines * mCase.mDemand;
  MonotonicTime time{ Duration(1'000'000) };
  const auto end = time + mCase.mArrivals;
  while (true) {
    time += Duration(
      static_cast<Duration::rep>(mRandom.Exponential(1.0 / rate) * 1e6));
    if (time >= end) {
      return;
    }
    mArrivals.push_back(Draw(time));
  }
}

std::uint32_t
Workload::DrawTeam()
{
  if (mCase.mEqualDemand) {
    return static_cast<std::uint32_t>(mRandom.Below(kTeams));
  }
  if (mCase.mLargeTeamFraction > 0.0) {
    return mRandom.Chance(mCase.mLargeTeamFraction)
             ? 0
             : 1 + static_cast<std::uint32_t>(mRandom.Below(kTeams - 1));
  }
  auto point = mRandom.Below(kShareSum);
  std::uint32_t team = 0;
  while (point >= kShares[team]) {
    point -= kShares[team++];
  }
  return team;
}

Arrival
Workload::Draw(MonotonicTime aTime)
{
  Arrival arrival;
  arrival.mTime = aTime;
  arrival.mHost = static_cast<std::uint32_t>(mRandom.Below(mCase.mHosts));
  arrival.mTeam = DrawTeam();
  arrival.mShort = mRandom.Chance(mCase.mShortFraction);
  const auto prompt =
    arrival.mShort ? 50 + mRandom.Below(250) : 200 + mRandom.Below(1'000);
  arrival.mPromptTokens = static_cast<std::uint32_t>(prompt);
  arrival.mOutputTokens =
    arrival.mShort ? DrawLength(mRandom, kShortMu, kShortSigma, kShortMaximum)
                   : DrawLength(mRandom, kLongMu, kLongSigma, kLongMaximum);
  return arrival;
}

std::shared_ptr<const SiteView>
Workload::View(const TargetId& aDown) const
{
  auto view = std::make_shared<SiteView>();
  view->mTable.mVersion = 1;
  for (std::uint32_t i = 0; i < kTeams; ++i) {
    TeamRow row;
    row.mTeam = TeamAt(i);
    row.mShare = kShares[i];
    row.mMaxConcurrent = mCase.mCaps && i == 0 ? kStreamCap : 0;
    row.mTokensPerSecond = mCase.mCaps && i == 1 ? kTokenRateCap : 0;
    view->mTable.mTeams.emplace(row.mTeam, row);
  }
  KindRow shorts{ kShortKind, KindClass::kShort, kShortDeadlineSeconds,
                  5,          kShortMaximum,     RepeatRule::kIdempotent,
                  3 };
  KindRow longs{ kLongKind, KindClass::kLong, kLongDeadlineSeconds,
                 5,         kLongMaximum,     RepeatRule::kIdempotent,
                 0 };
  view->mTable.mKinds = { { kShortKind, shorts }, { kLongKind, longs } };
  for (std::uint32_t i = 0; i < mCase.mEngines; ++i) {
    Target target;
    target.mId = EngineAt(i);
    target.mState =
      target.mId == aDown ? TargetState::kDown : TargetState::kLive;
    target.mFailureDomain = DomainAt(i);
    target.mModels = { kModel };
    const EngineFakeConfig engine;
    target.mLoad.mMemoryTokens = engine.mMemoryTokens;
    target.mLoad.mMaxBatch = engine.mMaxBatch;
    view->mTargets.emplace(target.mId, target);
  }
  for (std::uint32_t i = 0; i < mCase.mHosts; ++i) {
    view->mEntryHosts.push_back(HostAt(i));
  }
  return view;
}

RequestTraits
Workload::TraitsOf(const Arrival& aArrival) const
{
  RequestTraits traits;
  traits.mTeam = TeamAt(aArrival.mTeam);
  traits.mKind = aArrival.mShort ? kShortKind : kLongKind;
  traits.mClass = aArrival.mShort ? KindClass::kShort : KindClass::kLong;
  traits.mModel = kModel;
  traits.mPromptTokens = aArrival.mPromptTokens;
  traits.mMaxOutputTokens = aArrival.mShort ? kShortMaximum : kLongMaximum;
  const auto seconds =
    aArrival.mShort ? kShortDeadlineSeconds : kLongDeadlineSeconds;
  traits.mDeadline = aArrival.mTime + std::chrono::seconds(seconds);
  return traits;
}

double
Workload::Service(const Arrival& aArrival) const
{
  const auto mu = aArrival.mShort ? kShortMu : kLongMu;
  const auto sigma = aArrival.mShort ? kShortSigma : kLongSigma;
  return aArrival.mPromptTokens + std::exp(mu + sigma * sigma / 2.0);
}

} // namespace ragwortdeck
