#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A live entry host, as the others see it.
struct FleetHost
{
  std::string mName;
  /// Rate of its network link, in Mbit/s.
  int mLinkMbps = 0;
  bool operator==(const FleetHost&) const = default;
};

/// \brief When this host should read the store, if no other host has.
///
/// All hosts share what one of them reads. They rank themselves, hosts with
/// faster links first, so the first reads each period, and the next ones only
/// when no result of an earlier one has come. There is no leader to elect or
/// lose: two readers at once cost a call and nothing else.
///
/// Answers two patterns. "The store turns some hosts away": whoever read last
/// goes first for kKeepReader, so that the hosts that were turned away do not
/// delay every read. "The store is away": hosts of higher ranks pause longer
/// after a failure, so that a hundred hosts do not ask it a hundred times a
/// second.
class SharedReads
{
public:
  struct Timing
  {
    /// Time between reads of the whole fleet.
    Duration mPeriod{ 0 };
    /// Added for each host that ranks before this one.
    Duration mRankDelay{ 0 };
    /// Pause after a failed read; doubled up to mLongestPause.
    Duration mFirstPause{ 0 };
    Duration mLongestPause{ 0 };
  };

  /// Ranks that are mRankDelay apart; later ones are kTailDelay apart.
  static constexpr std::size_t kRanks = 6;
  /// Beyond kRanks and these, hosts are alike: a host that is cut off from
  /// all others must read by itself before its bounds are over.
  static constexpr std::size_t kTailRanks = 25;
  static constexpr Duration kTailDelay = std::chrono::milliseconds(20);
  /// The host that took over goes first this long.
  static constexpr Duration kKeepReader = std::chrono::seconds(4);
  /// Added to the pause after a failure for each rank, up to kMostRankPause.
  static constexpr Duration kRankPause = std::chrono::milliseconds(60);
  static constexpr Duration kMostRankPause = std::chrono::milliseconds(2000);

  SharedReads(std::string aSelf, const Timing& aTiming)
    : mSelf(std::move(aSelf))
    , mTiming(aTiming)
    , mPause(aTiming.mFirstPause)
  {
  }

  /// Position of aSelf in the order of aHosts, which does not hold it.
  static std::size_t RankOf(const FleetHost& aSelf,
                            const std::vector<FleetHost>& aHosts);

  /// Whether aSelf is the one among aHosts and aSelf that looks after aItem.
  static bool IsOwner(const std::string& aSelf,
                      const std::vector<FleetHost>& aHosts,
                      const std::string& aItem);
  /// The host that looks after aItem: one of those with the fastest links.
  static std::string FastOwnerOf(const FleetHost& aSelf,
                                 const std::vector<FleetHost>& aHosts,
                                 const std::string& aItem);

  /// No read is due before aTime unless a result comes.
  void DeferUntil(MonotonicTime aTime) { mNotBefore = aTime; }
  /// When the next read is due at this host, whose rank is aRank.
  MonotonicTime DueAt(std::size_t aRank) const;
  /// This host starts a read.
  void Started(MonotonicTime aNow);
  /// A result of aReader, this or another host, has come.
  void ResultArrived(const std::string& aReader, MonotonicTime aNow);
  /// This host's read failed.
  void Failed(std::size_t aRank, MonotonicTime aNow);

private:
  std::string mSelf;
  Timing mTiming;
  MonotonicTime mLast;
  MonotonicTime mNotBefore;
  Duration mPause;
  /// The host that read last, and when it took over.
  std::string mReader;
  MonotonicTime mReaderSince;
};

} // namespace ragwortdeck
