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
///
/// When the store comes back from an older copy, its list may be older than
/// what this host knows. That counts as the end of an outage; besides, until
/// kCopyDoubt has passed, a target that was leaving stays so and one that has
/// warmed up is not taken for cold, unless it has started again.
///
/// What a target says of itself holds against the list until the target starts
/// again, which a later mBorn shows.
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
  /// How long the list of a later era may be older than what was known. An
  /// entry that its target does not refresh lapses after a few seconds.
  static constexpr Duration kCopyDoubt = std::chrono::seconds(10);
  /// A leaving target that is no longer listed is removed after this time.
  static constexpr Duration kForgetAfter = std::chrono::seconds(30);
  /// How long the report of a target that is not listed is kept. The target may
  /// be listed again, as when its entry expired during an outage of the store.
  static constexpr Duration kKeepReport = std::chrono::minutes(10);
  /// Largest number of reports of targets that are not listed.
  static constexpr std::size_t kMaxReports = 10000;

  struct Entry
  {
    Target mTarget;
    bool mLeaving = false;
    /// Latest known start of the target; 0 when not known.
    std::int64_t mBorn = 0;
    /// When this host learned that the target is leaving, and the era of the
    /// list that it had.
    MonotonicTime mLeavingSince;
    StoreEra mLeavingEra;
    /// Kept as leaving though the list of a later era does not say so.
    bool mIsDoubted = false;
    /// Expected end of the slow phase after its start.
    MonotonicTime mWarmUpEnd;
    /// When the entry was first missing after an outage; unset while listed.
    std::optional<MonotonicTime> mMissingSince;
  };

  /// Applies a list; a version older than the current one is ignored. Returns
  /// the ids of targets that are leaving since this list.
  std::vector<std::string> Apply(const TargetList& aList, MonotonicTime aNow);

  /// The list was read again and has not changed since the last Apply.
  void Confirm(MonotonicTime aNow);

  /// The target itself reports that it is leaving, for example while the store
  /// is unavailable. aBorn is the start that the report is about; 0 stands for
  /// the latest known one. Returns true if a target that is known is leaving
  /// since this report. The report of an earlier start is ignored; that of a
  /// target that is not known takes effect when it is listed.
  bool MarkLeaving(const std::string& aId,
                   std::int64_t aBorn,
                   MonotonicTime aNow);
  /// Whether the target takes requests now. aResumeTime is how long after the
  /// notice a leaving target still takes this one.
  bool Accepts(const std::string& aId,
               Duration aResumeTime,
               MonotonicTime aNow) const;
  /// Time since the list was last read; Duration::max() if it never was.
  Duration ListAge(MonotonicTime aNow) const;

  /// Marks missing entries as leaving once their grace is over; returns their
  /// ids. Ends kCopyDoubt.
  std::vector<std::string> Expire(MonotonicTime aNow);

  const std::map<std::string, Entry>& Entries() const { return mEntries; }
  const Entry* Find(const std::string& aId) const;
  const StoreVersion& Version() const { return mVersion; }
  bool IsKnown() const { return mVersion.IsKnown(); }

private:
  struct Report
  {
    std::int64_t mBorn = 0;
    /// When it was made, or its target was last listed.
    MonotonicTime mKeptSince;
  };
  /// Whether the target that is listed with aBorn reported that it is leaving.
  bool HasReported(const std::string& aId,
                   std::int64_t aBorn,
                   MonotonicTime aNow);
  void DropOldReports(MonotonicTime aNow);
  /// Takes the entry of one target of the list; returns whether the target is
  /// leaving since this list.
  bool ApplyEntry(const Target& aTarget, MonotonicTime aNow);
  bool BeginLeaving(Entry& aEntry, MonotonicTime aNow) const;
  bool MayBeOlder(MonotonicTime aNow) const
  {
    return mEraBeganAt && aNow - *mEraBeganAt < kCopyDoubt;
  }

  std::map<std::string, Entry> mEntries;
  /// Targets that reported that they are leaving.
  std::map<std::string, Report> mReports;
  StoreVersion mVersion;
  /// When a list of a later era than the one before was first applied.
  std::optional<MonotonicTime> mEraBeganAt;
  std::optional<MonotonicTime> mLastReadAt;
  /// End of the last outage.
  std::optional<MonotonicTime> mOutageEndedAt;
};

} // namespace ragwortdeck
