#pragma once

#include "Core/Clock.h"
#include "Serving/TargetList.h"

#include <optional>

namespace ragwortdeck {

/// \brief What this host believes of the targets, built from successive lists.
///
/// Answers the pattern "the store was away, entries lapsed meanwhile": an
/// entry that is missing just after an outage is kept for kReturnGrace, since
/// live targets register again within about two seconds. At all other times a
/// missing entry means that the target is leaving.
class TargetDirectory
{
public:
  /// Live targets are back within about 2 s of the store's return; shorter
  /// than that, so that a target which really left is not used past 2 s.
  static constexpr Duration kReturnGrace = std::chrono::milliseconds(1600);
  /// A gap between lists this long counts as an outage: several read periods.
  static constexpr Duration kOutageGap = std::chrono::milliseconds(1500);
  /// A leaving target that is no longer listed is forgotten after this.
  static constexpr Duration kForgetAfter = std::chrono::seconds(30);

  struct Entry
  {
    Target mTarget;
    bool mLeaving = false;
    /// The target said so itself; the list may still say otherwise.
    bool mReportedLeaving = false;
    /// When this host learned that the target leaves.
    MonotonicTime mLeavingSince;
    /// When the end of its slow start is expected.
    MonotonicTime mWarmUpEnd;
    /// Set while the entry is missing after an outage.
    std::optional<MonotonicTime> mMissingSince;
  };

  /// Applies a list; an older revision than the current one is ignored.
  /// Returns the ids of targets that began to leave.
  std::vector<std::string> Apply(const TargetList& aList, MonotonicTime aNow);

  /// The list was read again and is the one that was applied last.
  void Confirm(MonotonicTime aNow);

  /// The target itself says that it leaves, for example while the store is
  /// away. Returns true when that is new.
  bool MarkLeaving(const std::string& aId, MonotonicTime aNow);
  /// How long ago the list was known to be current.
  Duration ListAge(MonotonicTime aNow) const;

  /// Ends the grace of missing entries; returns the ids that began to leave.
  std::vector<std::string> Expire(MonotonicTime aNow);

  const std::map<std::string, Entry>& Entries() const { return mEntries; }
  const Entry* Find(const std::string& aId) const;
  std::int64_t Revision() const { return mRevision; }
  bool IsKnown() const { return mRevision > 0; }

private:
  std::map<std::string, Entry> mEntries;
  std::int64_t mRevision = 0;
  std::optional<MonotonicTime> mReadAt;
  std::optional<MonotonicTime> mReturnedAt;
};

} // namespace ragwortdeck
