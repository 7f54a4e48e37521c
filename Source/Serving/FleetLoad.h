#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Load on one engine, from one host or from the whole fleet.
struct EngineLoad
{
  std::string mTarget;
  int mRuns = 0;
  /// KV cache that its runs hold or are expected to grow to, in tokens.
  std::int64_t mReservedTokens = 0;
  /// Prompt tokens whose prefill is not done yet.
  std::int64_t mPendingPrefillTokens = 0;

  MSGPACK_DEFINE_ARRAY(mTarget, mRuns, mReservedTokens, mPendingPrefillTokens)
  bool operator==(const EngineLoad&) const = default;
};

/// Returns how long a host may wait until it reports a change of its load, so
/// that changes within this time go in one message. aGrew: a run was added.
///
/// A new run is reported at once: hosts that choose an engine in the meantime
/// do not know of it. Until a decrease is reported, by a run that ended or a
/// prompt that was processed, other hosts send the engine slightly less work
/// than it could take. In a fleet of hundreds of hosts each report costs
/// hundreds of messages, so decreases wait longer there.
Duration
LoadReportDelay(bool aGrew, std::size_t aHosts);

/// \brief Load of the whole fleet on each engine: this host's own runs, counted
/// exactly, and the loads that the other hosts reported last.
///
/// Hosts that rely on load reports of the engines read the same outdated report
/// and all choose the engine that looked idle. So these reports are not used:
/// each host tells the others immediately when a run starts or ends, and counts
/// its own runs without delay.
class FleetLoad
{
public:
  /// A peer that has sent nothing for this long may be gone. If it is only
  /// suspended or cut off, its runs go on, so their load is not dropped but
  /// falls evenly to nothing until kPeerGone, as the runs end.
  static constexpr Duration kPeerTimeout = std::chrono::seconds(4);
  /// Most runs that a peer had when it fell silent have ended after this time.
  static constexpr Duration kPeerGone = std::chrono::seconds(10);

  /// \brief A generation that this host runs on an engine.
  struct Run
  {
    std::string mTarget;
    std::int64_t mPromptTokens = 0;
    /// Output tokens that memory is reserved for.
    std::int64_t mOutputTokens = 0;
    bool mPrefillDone = false;
  };

  /// Called after each change of this host's load. The argument is true if a
  /// run was added, which the other hosts must know before they choose an
  /// engine.
  std::function<void(bool)> mOnChange;

  void Start(std::uint64_t aRun, Run aDetails);
  /// Records that the first token has arrived, so the prefill is done.
  void OnPrefillDone(std::uint64_t aRun);
  /// Records that aGeneratedTokens tokens have been generated. The reservation
  /// grows if the estimate was too low.
  void OnTokensGenerated(std::uint64_t aRun, std::int64_t aGeneratedTokens);
  void End(std::uint64_t aRun);

  /// Returns the load of this host's runs, to be sent to the other hosts.
  std::vector<EngineLoad> OwnLoads() const;
  void SetPeer(const std::string& aPeer,
               const std::vector<EngineLoad>& aLoads,
               MonotonicTime aNow);
  /// Reduces the loads of peers that have sent nothing for kPeerTimeout, and
  /// drops them after kPeerGone.
  void Expire(MonotonicTime aNow);

  /// Returns the load on aTarget, summed over all hosts.
  EngineLoad TotalOn(const std::string& aTarget) const;
  /// Number of changes of this host's load.
  std::uint64_t OwnVersion() const { return mOwnVersion; }

private:
  struct Peer
  {
    std::vector<EngineLoad> mReported;
    /// The part of mReported that is counted in mOthers.
    std::vector<EngineLoad> mCounted;
    MonotonicTime mReceivedAt;
  };
  /// Counts aLoads instead of what was counted for aPeer so far.
  void Count(Peer& aPeer, std::vector<EngineLoad> aLoads);

  void OnOwnLoadChanged(bool aRunAdded);
  static void Add(std::map<std::string, EngineLoad>& aSums,
                  const EngineLoad& aLoad,
                  int aSign);
  static EngineLoad LoadOf(const Run& aRun);

  std::map<std::uint64_t, Run> mRuns;
  std::map<std::string, Peer> mPeers;
  std::map<std::string, EngineLoad> mOwn;
  std::map<std::string, EngineLoad> mOthers;
  std::uint64_t mOwnVersion = 0;
};

} // namespace ragwortdeck
