#pragma once

#include "Core/Clock.h"
#include "Serving/TargetList.h"

#include <map>
#include <optional>
#include <string>

namespace ragwortdeck {

/// \brief Targets that turned a request of this host away and want no more
/// requests from it for a stated time.
///
/// Unlike the avoidance of TargetHealth, a pause holds even if no other target
/// is left, and a success does not end it. It concerns this host only: other
/// hosts may still be welcome.
class TargetPauses
{
public:
  /// Limit of a pause, against absurd values.
  static constexpr Duration kLongest = std::chrono::hours(1);

  /// aTarget wants nothing for aWish. A pause is never shortened by a later
  /// wish, and ends only when the target starts again. Returns whether the
  /// target is paused for longer than before.
  bool Start(const Target& aTarget, Duration aWish, MonotonicTime aNow);
  /// End of the pause of aTarget; nothing if it is not paused.
  std::optional<MonotonicTime> EndOf(const Target& aTarget,
                                     MonotonicTime aNow) const;

private:
  struct Pause
  {
    /// Target::mBorn of the target that stated it.
    std::int64_t mBorn = 0;
    MonotonicTime mEnd;
  };
  std::map<std::string, Pause> mPauses;
};

} // namespace ragwortdeck
