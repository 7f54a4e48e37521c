#pragma once

#include "Entry/Asio.h"
#include "Serving/TargetList.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ragwortdeck {

struct EntryContext;

/// \brief Finds out whether an engine crashed when its answer broke off as it
/// began.
class CrashWatch
{
public:
  /// An answer that was written for this long has not crashed its engine.
  static constexpr Duration kSoundAfter = std::chrono::milliseconds(300);

  explicit CrashWatch(EntryContext& aContext)
    : mContext(aContext)
  {
  }

  /// The answer to the request aRequest, whose prompt has the shared parts
  /// aParts, broke off before aEngine had written it for kSoundAfter.
  void OnBrokenOff(const Target& aEngine,
                   const std::string& aRequest,
                   const std::vector<std::string>& aParts);

private:
  /// \brief Answers of one engine that broke off, until it is known whether the
  /// engine crashed.
  struct Suspicion
  {
    MonotonicTime mAt;
    std::string mRequest;
    std::set<std::string> mParts;
  };
  /// An engine that accepts a connection has not crashed.
  Task<void> Probe(Target aEngine);
  void OnCrash(const std::string& aEngine, const Suspicion& aSuspicion);

  EntryContext& mContext;
  /// By engine.
  std::map<std::string, Suspicion> mSuspicions;
};

} // namespace ragwortdeck
