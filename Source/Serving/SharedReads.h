#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A live entry host as the other hosts know it.
struct FleetHost
{
  std::string mName;
  /// Rate of its network link, in Mbit/s.
  int mLinkMbps = 0;
  bool operator==(const FleetHost&) const = default;
};

/// \brief Decides when this host reads the key-value store, given that the
/// hosts share the results of their reads.
///
/// Each host computes its rank; hosts with faster links rank first. The host
/// of the first rank reads in each period, and a later one reads only when no
/// result of an earlier one has arrived. No leader is elected: two hosts that
/// read at the same time cost one extra call and nothing else.
///
/// Covers two failures:
/// - The store refuses some hosts. The host whose read succeeded last goes
///   first for kReaderTenure, so that the refused hosts do not delay each read.
/// - The store is unavailable. Hosts of later ranks pause longer after a failed
///   read, so that hundreds of hosts do not call it hundreds of times a second:
///   the hosts of the first ranks notice its return within a second and tell
///   the others.
class SharedReads
{
public:
  struct Timing
  {
    /// Time between two reads of all hosts together.
    Duration mPeriod{ 0 };
    /// Delay for each host that ranks before this one.
    Duration mRankDelay{ 0 };
    /// Pause after a failed read; doubled after each one, up to mMaxPause.
    Duration mInitialPause{ 0 };
    Duration mMaxPause{ 0 };
  };

  /// Number of ranks that are mRankDelay apart; the ranks after them (the tail)
  /// are kTailRankDelay apart.
  static constexpr std::size_t kLeadingRanks = 6;
  /// Ranks after kLeadingRanks + kMaxTailRanks add no delay: a host that is
  /// cut off from all others must read by itself before its copy of the table
  /// or target list exceeds its maximum age.
  static constexpr std::size_t kMaxTailRanks = 25;
  static constexpr Duration kTailRankDelay = std::chrono::milliseconds(20);
  /// How long a host that has become the reader goes first.
  static constexpr Duration kReaderTenure = std::chrono::seconds(4);
  /// Added to the pause after a failed read for each rank, up to kMaxRankPause.
  static constexpr Duration kRankPause = std::chrono::milliseconds(150);
  static constexpr Duration kMaxRankPause = std::chrono::milliseconds(7000);

  SharedReads(std::string aSelf, const Timing& aTiming)
    : mSelf(std::move(aSelf))
    , mTiming(aTiming)
    , mNextPause(aTiming.mInitialPause)
  {
  }

  /// Rank of aSelf among aHosts, which do not include aSelf; 0 is the first.
  static std::size_t RankOf(const FleetHost& aSelf,
                            const std::vector<FleetHost>& aHosts);

  /// Whether aSelf is the one host of aHosts and aSelf that owns aItem, by
  /// rendezvous hashing.
  static bool IsOwner(const std::string& aSelf,
                      const std::vector<FleetHost>& aHosts,
                      const std::string& aItem);
  /// The owner of aItem among the hosts with the fastest links of aHosts and
  /// aSelf, by rendezvous hashing.
  static std::string FastOwnerOf(const FleetHost& aSelf,
                                 const std::vector<FleetHost>& aHosts,
                                 const std::string& aItem);

  /// Bounds of the delay before the first read of a starting host.
  struct FirstRead
  {
    Duration mEarliest{ 0 };
    Duration mLatest{ 0 };
  };
  /// Returns the bounds for a host with a link of aLinkMbps. aSearch is the
  /// time within which the hosts of the fleet get to know each other.
  ///
  /// Covers the start of a whole fleet at once: whoever reads first sends the
  /// result to all others, which takes a slow link long, and hosts that wait
  /// for it in vain read as well. So hosts with fast links go first.
  static FirstRead FirstReadOf(int aLinkMbps, Duration aSearch);

  /// Lets no read be due before aTime, unless a result arrives first.
  void DeferUntil(MonotonicTime aTime) { mDeferredUntil = aTime; }
  /// Whether this host reads for all now. Its next read may then last until
  /// there is something new.
  bool IsReader() const { return mReader == mSelf; }
  bool InTenure(MonotonicTime aNow) const
  {
    return !mReader.empty() && aNow - mReaderSince < kReaderTenure;
  }
  /// When the next read of this host is due, given its rank.
  MonotonicTime DueAt(std::size_t aRank) const;
  /// This host has started a read.
  void Started(MonotonicTime aNow);
  /// A result that aReader (this or another host) has read has arrived.
  void ResultArrived(const std::string& aReader, MonotonicTime aNow);
  /// A read of this host has failed. The pause follows from the rank at the
  /// time of DueAt(): a host that has lost all others meanwhile ranks first,
  /// and must read by itself.
  void Failed(MonotonicTime aNow);

private:
  std::string mSelf;
  Timing mTiming;
  /// When a read of this host last started or a result last arrived.
  MonotonicTime mLastReadAt;
  MonotonicTime mDeferredUntil;
  /// Whether a read of this host has failed since the last result, and when the
  /// pause after it ends for the first rank.
  bool mHasFailed = false;
  MonotonicTime mPausedUntil;
  /// Pause after the next failed read.
  Duration mNextPause;
  /// The host whose result arrived last, and when it became the reader.
  std::string mReader;
  MonotonicTime mReaderSince;
};

} // namespace ragwortdeck
