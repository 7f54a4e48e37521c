#pragma once

#include "Core/Clock.h"
#include "Serving/TargetList.h"

#include <optional>

namespace ragwortdeck {

/// \brief The targets that this host knows, built from successive target lists.
///
/// Covers the case that entries expire while the store is unavailable: an entry
/// that is missing just after an outage is kept for kReregistrationGrace, since
/// live targets register again within about two seconds. At all other times a
/// missing entry means that the target is leaving.
class TargetDirectory
{
public:
  /// How long missing entries are kept after an outage. Live targets register
  /// again within about 2 s after the store is back; the grace is shorter, so
  /// that a target that has really left is not used for more than 2 s.
  static constexpr Duration kReregistrationGrace =
    std::chrono::milliseconds(1600);
  /// A longer time between two reads of the list counts as an outage. It spans
  /// several read periods.
  static constexpr Duration kMinOutageGap = std::chrono::milliseconds(1500);
  /// A leaving target that is no longer listed is removed after this time.
  static constexpr Duration kForgetAfter = std::chrono::seconds(30);

  struct Entry
  {
    Target mTarget;
    bool mLeaving = false;
    /// The target itself reported that it is leaving; the list may not show it
    /// yet.
    bool mReportedLeaving = false;
    /// When this host learned that the target is leaving.
    MonotonicTime mLeavingSince;
    /// Expected end of the slow phase after its start.
    MonotonicTime mWarmUpEnd;
    /// When the entry was first missing after an outage; unset while listed.
    std::optional<MonotonicTime> mMissingSince;
  };

  /// Applies a list; a revision older than the current one is ignored. Returns
  /// the ids of targets that are leaving since this list.
  std::vector<std::string> Apply(const TargetList& aList, MonotonicTime aNow);

  /// The list was read again and has not changed since the last Apply.
  void Confirm(MonotonicTime aNow);

  /// The target itself reports that it is leaving, for example while the store
  /// is unavailable. Returns true when this host did not know it.
  bool MarkLeaving(const std::string& aId, MonotonicTime aNow);
  /// Time since the list was last read; Duration::max() if it never was.
  Duration ListAge(MonotonicTime aNow) const;

  /// Marks missing entries as leaving once their grace is over; returns their
  /// ids.
  std::vector<std::string> Expire(MonotonicTime aNow);

  const std::map<std::string, Entry>& Entries() const { return mEntries; }
  const Entry* Find(const std::string& aId) const;
  std::int64_t Revision() const { return mRevision; }
  bool IsKnown() const { return mRevision > 0; }

private:
  std::map<std::string, Entry> mEntries;
  std::int64_t mRevision = 0;
  std::optional<MonotonicTime> mLastReadAt;
  /// End of the last outage.
  std::optional<MonotonicTime> mOutageEndedAt;
};

} // namespace ragwortdeck
