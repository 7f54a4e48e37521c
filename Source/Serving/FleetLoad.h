#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Work that one host has on one engine.
struct EngineLoad
{
  std::string mTarget;
  int mRuns = 0;
  /// Memory that its runs hold or are expected to grow to.
  std::int64_t mReservedTokens = 0;
  /// Prompt tokens that the engine still has to read.
  std::int64_t mUnreadTokens = 0;

  MSGPACK_DEFINE_ARRAY(mTarget, mRuns, mReservedTokens, mUnreadTokens)
  bool operator==(const EngineLoad&) const = default;
};

/// \brief Work of the whole fleet on each engine: this host's own runs,
/// counted exactly, and what the other hosts last told of theirs.
///
/// Answers the pattern "many hosts read the same late report and all choose
/// the engine that looked idle": no engine report is read at all. Each host
/// tells the others of each start and end at once, and adds its own work
/// without delay.
class FleetLoad
{
public:
  /// A peer that has not been heard for this long no longer counts: its
  /// engines have dropped its runs by then.
  static constexpr Duration kPeerLapse = std::chrono::seconds(4);

  struct Run
  {
    std::string mTarget;
    std::int64_t mPromptTokens = 0;
    /// Output that is reserved for.
    std::int64_t mOutputTokens = 0;
    bool mPromptRead = false;
  };

  /// Called after each change of the own work; true when a run was added, which
  /// the others must know before they choose an engine.
  std::function<void(bool)> mOnChange;

  void Start(std::uint64_t aRun, Run aDetails);
  /// The first token has come, so the prompt has been read.
  void PromptRead(std::uint64_t aRun);
  /// aMade tokens have been made; the reservation grows with them when the
  /// estimate was too low.
  void Progress(std::uint64_t aRun, std::int64_t aMade);
  void End(std::uint64_t aRun);

  /// What this host tells the others.
  std::vector<EngineLoad> Own() const;
  void SetPeer(const std::string& aPeer,
               const std::vector<EngineLoad>& aLoads,
               MonotonicTime aNow);
  void Expire(MonotonicTime aNow);

  /// Sum over the fleet.
  EngineLoad Of(const std::string& aTarget) const;
  /// Counts changes of the own work.
  std::uint64_t OwnVersion() const { return mOwnVersion; }

private:
  struct Peer
  {
    std::vector<EngineLoad> mLoads;
    MonotonicTime mHeardAt;
  };

  void Changed(bool aGrew);
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
