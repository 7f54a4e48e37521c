#pragma once

#include "Controllers/TableMessages.h"
#include "Core/Scheduler.h"

#include <functional>
#include <optional>
#include <set>

namespace ragwortdeck {

enum class HostRole : std::uint8_t
{
  kEntry,
  kEngine,
  kService,
};

/// \brief One entry of the host list.
struct DirectoryHost
{
  std::string mId;
  HostRole mRole = HostRole::kEntry;
  std::string mAddress;
  FailureDomain mFailureDomain;
  bool mLeaving = false;
  std::vector<ModelName> mModels;
  bool mChecksFencing = false;

  bool operator==(const DirectoryHost&) const = default;
};

/// \brief Merges the host list, the operators' marks and probe results.
///
/// A leaving mark overrides the list; leaving in the list overrides live; a
/// joining mark only admits a host that the list does not have yet. Probe
/// results say whether a target is reachable, and override neither.
class HostDirectory
{
public:
  /// aOnChange is called after each change of the merged result; aOnLoad after
  /// a load report that changes nothing but the load.
  HostDirectory(Scheduler& aScheduler,
                HostId aSelf,
                std::function<void()> aOnChange,
                std::function<void(const TargetId&)> aOnLoad);

  /// Replaces the host list. An empty list never replaces a list with hosts:
  /// it is far more likely to be a fault of the list than an empty site.
  void OnHostList(std::vector<DirectoryHost> aHosts);
  void OnMarks(const HostMarks& aMarks);
  /// Result of a probe of a target.
  void OnReachable(const TargetId& aTarget, bool aReachable);
  /// A load report, measured aAge ago; an older one than known is ignored.
  void OnLoad(const TargetId& aTarget, const LoadReport& aLoad, Duration aAge);

  /// The newest report of a target, with its age as of now; none before the
  /// first.
  std::optional<LoadReport> LoadOf(const TargetId& aTarget) const;
  /// Engines and services. Loads carry their age as of now.
  std::map<TargetId, Target> Targets() const;
  /// Entry hosts in order of id: all listed ones, also leaving ones, since
  /// they still use their share of each cap; and those with a joining mark.
  std::vector<HostId> EntryHosts() const;
  /// Addresses of entry hosts, to find peers through.
  std::vector<std::string> EntryAddresses() const;
  bool IsLeaving(const std::string& aHost) const;
  bool IsThisHostLeaving() const { return IsLeaving(mSelf.Value()); }
  /// Time since the last host list; negative when there was none.
  Duration ListAge() const;
  const std::map<std::string, DirectoryHost>& Merged() const { return mMerged; }

private:
  struct Load
  {
    LoadReport mReport;
    MonotonicTime mMeasured;
  };
  void MergeAll();

  Scheduler& mScheduler;
  HostId mSelf;
  std::function<void()> mOnChange;
  std::function<void(const TargetId&)> mOnLoad;
  std::map<std::string, DirectoryHost> mList;
  HostMarks mMarks;
  std::map<std::string, DirectoryHost> mMerged;
  std::set<TargetId> mUnreachable;
  std::map<TargetId, Load> mLoads;
  bool mHasList = false;
  MonotonicTime mListTime;
};

} // namespace ragwortdeck
