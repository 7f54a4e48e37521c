#pragma once

#include "Entry/Asio.h"
#include "Serving/PromptQuarantine.h"
#include "Serving/TargetList.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortdeck {

struct EntryContext;
struct FinalAnswer;

/// \brief Finds out whether an engine crashed when its answer broke off as it
/// began, tells the other hosts, and refuses requests that would crash more
/// engines (PromptQuarantine).
class CrashWatch
{
public:
  /// An answer that was written for this long has not crashed its engine.
  static constexpr Duration kSoundAfter = std::chrono::milliseconds(300);

  using Parts = PromptQuarantine::Parts;
  using Block = PromptQuarantine::Block;

  explicit CrashWatch(EntryContext& aContext);

  /// Applies decisions and sends reports, for the life of the process. Reports
  /// that arrived while the process was suspended are not dated, so crashes and
  /// answers in them are ignored.
  Task<void> Loop();
  /// The answer to the request aRequest, whose prompt has the shared parts
  /// aParts, broke off before aEngine had written it for kSoundAfter.
  void OnBrokenOff(const Target& aEngine,
                   const std::string& aRequest,
                   const Parts& aParts);
  /// The answer ended before kSoundAfter without a mark of its end, which a
  /// crash looks like. The engine began to write it at aBegan.
  void OnUnmarkedEnd(const Target& aEngine,
                     const std::string& aRequest,
                     const Parts& aParts,
                     MonotonicTime aBegan);
  /// An engine began to write an answer at aBegan, and completed it with a mark
  /// of its end or went on for kSoundAfter.
  void OnSound(const Parts& aParts, MonotonicTime aBegan);
  /// Adds the report of another host.
  void Merge(const CrashReport& aReport);
  /// The quarantined part that keeps a request from all engines.
  std::optional<Block> Find(const Parts& aParts);
  /// As Find(), for a request that is sent at once otherwise.
  std::optional<Block> FindAtSend(const Parts& aParts);
  /// Whether a request whose answer from aEngine has just broken off as it
  /// began may be sent to another engine.
  bool MayRepeat(const Parts& aParts, const std::string& aEngine);
  /// Refuses a request that was not sent.
  FinalAnswer Refuse(const std::string& aRequest, const Block& aBlock);

  /// Sends a report to all hosts; the second argument is true if it has news.
  std::function<void(const CrashReport&, bool)> mOnReport;
  /// Whether this host tests a part; it tests all if there is no such hook.
  PromptQuarantine::IsOwner mIsOwner;

private:
  /// \brief An answer that ended without a mark of its end.
  struct UnmarkedAnswer
  {
    Parts mParts;
    MonotonicTime mBegan;
  };
  /// \brief Answers of one engine that broke off or may have, until it is known
  /// whether the engine crashed.
  struct Suspicion
  {
    MonotonicTime mAt;
    std::string mRequest;
    std::set<std::string> mParts;
    bool mBrokenOff = false;
    std::vector<UnmarkedAnswer> mUnmarked;
  };
  /// aUnmarkedSince: when an answer began that may have ended as it should.
  void Suspect(const Target& aEngine,
               const std::string& aRequest,
               const Parts& aParts,
               std::optional<MonotonicTime> aUnmarkedSince);
  /// An engine that accepts a connection has not crashed.
  Task<void> Probe(Target aEngine);
  void OnCrash(const std::string& aEngine, const Suspicion& aSuspicion);
  /// Applies what the quarantine decided.
  void Update();
  /// Sends a report if one is due.
  void Publish();

  bool MayBeDated(MonotonicTime aNow) const;

  EntryContext& mContext;
  PromptQuarantine mQuarantine;
  /// The last run of the loop; none before the first one.
  std::optional<MonotonicTime> mTickAt;
  /// Until when messages are read that arrived during a suspension.
  MonotonicTime mReadsOldUntil;
  /// By engine.
  std::map<std::string, Suspicion> mSuspicions;
  MonotonicTime mReportedAt;
  MonotonicTime mRefusalLoggedAt;
};

} // namespace ragwortdeck
