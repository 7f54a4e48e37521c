#include "Serving/SharedReads.h"

#include <algorithm>
#include <xxhash.h>

namespace ragwortdeck {

namespace {

std::uint64_t
WeightOf(const std::string& aHost, const std::string& aItem)
{
  return XXH64(
    aItem.data(), aItem.size(), XXH64(aHost.data(), aHost.size(), 0));
}

} // namespace

std::size_t
SharedReads::RankOf(const FleetHost& aSelf,
                    const std::vector<FleetHost>& aHosts)
{
  const auto hash = [](const std::string& aName) {
    return XXH64(aName.data(), aName.size(), 0);
  };
  const auto selfWeight = hash(aSelf.mName);
  return static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](const FleetHost& aItem) {
      return aItem.mLinkMbps > aSelf.mLinkMbps ||
             (aItem.mLinkMbps == aSelf.mLinkMbps &&
              hash(aItem.mName) < selfWeight);
    }));
}

bool
SharedReads::IsOwner(const std::string& aSelf,
                     const std::vector<FleetHost>& aHosts,
                     const std::string& aItem)
{
  const auto selfWeight = WeightOf(aSelf, aItem);
  return std::none_of(
    aHosts.begin(), aHosts.end(), [&](const FleetHost& aHost) {
      return WeightOf(aHost.mName, aItem) > selfWeight;
    });
}

SharedReads::FirstRead
SharedReads::FirstReadOf(int aLinkMbps, Duration aSearch)
{
  using std::chrono::milliseconds;
  // A starting host registers and requests the contents from others first.
  constexpr milliseconds kEarliest{ 40 };
  constexpr milliseconds kMinSpread{ 60 };
  constexpr milliseconds kMaxSpread{ 160 };
  // Time in which a link of 1 Mbit/s sends some table contents.
  constexpr milliseconds kTimeAtOneMbps{ 3000 };
  const auto sendTime =
    std::min(kMaxSpread, kTimeAtOneMbps / std::max(1, aLinkMbps));
  const Duration earliest = aSearch + kEarliest + sendTime;
  return { earliest, earliest + std::max(kMinSpread, sendTime) };
}

std::string
SharedReads::FastOwnerOf(const FleetHost& aSelf,
                         const std::vector<FleetHost>& aHosts,
                         const std::string& aItem)
{
  auto owner = aSelf;
  auto weight = WeightOf(aSelf.mName, aItem);
  for (const auto& host : aHosts) {
    const auto hostWeight = WeightOf(host.mName, aItem);
    if (host.mLinkMbps > owner.mLinkMbps ||
        (host.mLinkMbps == owner.mLinkMbps && hostWeight > weight)) {
      owner = host;
      weight = hostWeight;
    }
  }
  return owner.mName;
}

MonotonicTime
SharedReads::DueAt(std::size_t aRank) const
{
  // The reader ranks before all others during its tenure.
  const auto rank =
    InTenure(mLastReadAt) ? (IsReader() ? 0 : aRank + 1) : aRank;
  const auto tail =
    rank > kLeadingRanks ? std::min(rank - kLeadingRanks, kMaxTailRanks) : 0;
  auto notBefore = mDeferredUntil;
  if (mHasFailed) {
    notBefore = std::max(
      notBefore,
      mPausedUntil + std::min(kMaxRankPause,
                              kRankPause * static_cast<Duration::rep>(aRank)));
  }
  return std::max(notBefore,
                  mLastReadAt + mTiming.mPeriod +
                    mTiming.mRankDelay * static_cast<Duration::rep>(
                                           std::min(rank, kLeadingRanks)) +
                    kTailRankDelay * static_cast<Duration::rep>(tail));
}

void
SharedReads::Started(MonotonicTime aNow)
{
  mLastReadAt = aNow;
}

void
SharedReads::ResultArrived(const std::string& aReader, MonotonicTime aNow)
{
  // After the tenure the ranks decide once, and the host that reads then
  // becomes the reader.
  if (aReader != mReader || aNow - mReaderSince >= kReaderTenure) {
    mReader = aReader;
    mReaderSince = aNow;
  }
  mLastReadAt = aNow;
  mNextPause = mTiming.mInitialPause;
  mDeferredUntil = {};
  mHasFailed = false;
}

void
SharedReads::Failed(MonotonicTime aNow)
{
  if (mReader == mSelf) {
    mReader.clear();
  }
  mHasFailed = true;
  mPausedUntil = aNow + mNextPause;
  mNextPause = std::min(mTiming.mMaxPause, mNextPause * 2);
}

} // namespace ragwortdeck
