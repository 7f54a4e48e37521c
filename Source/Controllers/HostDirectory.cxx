#include "Controllers/HostDirectory.h"

#include "Core/Log.h"

namespace ragwortdeck {

namespace {

const Log sLog("hosts");

HostRole
RoleOf(const MarkedHost& aMark)
{
  if (aMark.mRole == "engine") {
    return HostRole::kEngine;
  }
  return aMark.mRole == "service" ? HostRole::kService : HostRole::kEntry;
}

/// True when the reports differ in nothing that the view's other readers need:
/// which models are ready, and the sizes that shares are computed from.
bool
DifferOnlyInLoad(const LoadReport& aLeft, const LoadReport& aRight)
{
  return aLeft.mMemoryTokens == aRight.mMemoryTokens &&
         aLeft.mMaxBatch == aRight.mMaxBatch &&
         aLeft.mReadyModels == aRight.mReadyModels;
}

} // namespace

HostDirectory::HostDirectory(Scheduler& aScheduler,
                             HostId aSelf,
                             std::function<void()> aOnChange,
                             std::function<void(const TargetId&)> aOnLoad)
  : mScheduler(aScheduler)
  , mSelf(std::move(aSelf))
  , mOnChange(std::move(aOnChange))
  , mOnLoad(std::move(aOnLoad))
{
}

void
HostDirectory::OnHostList(std::vector<DirectoryHost> aHosts)
{
  if (aHosts.empty() && !mList.empty()) {
    sLog.Warning("an empty host list is ignored");
    return;
  }
  mHasList = true;
  mListTime = mScheduler.Now();
  mList.clear();
  for (auto& host : aHosts) {
    auto id = host.mId;
    mList.insert_or_assign(std::move(id), std::move(host));
  }
  MergeAll();
}

void
HostDirectory::OnMarks(const HostMarks& aMarks)
{
  if (aMarks.mRevision <= mMarks.mRevision) {
    return;
  }
  mMarks = aMarks;
  MergeAll();
}

void
HostDirectory::MergeAll()
{
  auto merged = mList;
  for (const auto& [id, mark] : mMarks.mMarks) {
    const auto it = merged.find(id);
    if (mark.mKind == MarkKind::kLeaving) {
      if (it != merged.end()) {
        it->second.mLeaving = true;
      }
      continue;
    }
    // A target is of no use without its address; an entry host counts even
    // before the list names one.
    const bool usable =
      RoleOf(mark) == HostRole::kEntry || !mark.mAddress.empty();
    if (it == merged.end() && usable) {
      merged[id] = {
        id,    RoleOf(mark), mark.mAddress,      mark.mFailureDomain,
        false, mark.mModels, mark.mChecksFencing
      };
    }
  }
  if (merged == mMerged) {
    return;
  }
  mMerged = std::move(merged);
  std::erase_if(mLoads, [this](const auto& aLoad) {
    return !mMerged.contains(aLoad.first.Value());
  });
  std::erase_if(mUnreachable, [this](const TargetId& aTarget) {
    return !mMerged.contains(aTarget.Value());
  });
  mOnChange();
}

bool
HostDirectory::IsLeaving(const std::string& aHost) const
{
  // The mark counts even for a host that no list has named yet.
  const auto mark = mMarks.mMarks.find(aHost);
  if (mark != mMarks.mMarks.end() && mark->second.mKind == MarkKind::kLeaving) {
    return true;
  }
  const auto it = mMerged.find(aHost);
  return it != mMerged.end() && it->second.mLeaving;
}

void
HostDirectory::OnReachable(const TargetId& aTarget, bool aReachable)
{
  if (!mMerged.contains(aTarget.Value())) {
    return;
  }
  const bool changed = aReachable ? mUnreachable.erase(aTarget) > 0
                                  : mUnreachable.insert(aTarget).second;
  if (changed) {
    sLog.Info("target " + aTarget.Value() +
              (aReachable ? " is reachable" : " is not reachable"));
    mOnChange();
  }
}

void
HostDirectory::OnLoad(const TargetId& aTarget,
                      const LoadReport& aLoad,
                      Duration aAge)
{
  if (!mMerged.contains(aTarget.Value())) {
    return;
  }
  const auto measured = mScheduler.Now() - aAge;
  const auto it = mLoads.find(aTarget);
  if (it != mLoads.end() && it->second.mMeasured >= measured) {
    return;
  }
  const bool onlyLoad =
    it != mLoads.end() && DifferOnlyInLoad(it->second.mReport, aLoad);
  mLoads[aTarget] = { aLoad, measured };
  if (onlyLoad) {
    mOnLoad(aTarget);
  } else {
    mOnChange();
  }
}

std::optional<LoadReport>
HostDirectory::LoadOf(const TargetId& aTarget) const
{
  const auto it = mLoads.find(aTarget);
  if (it == mLoads.end()) {
    return std::nullopt;
  }
  auto report = it->second.mReport;
  report.mAgeMicros = (mScheduler.Now() - it->second.mMeasured).count();
  return report;
}

std::map<TargetId, Target>
HostDirectory::Targets() const
{
  std::map<TargetId, Target> targets;
  for (const auto& [id, host] : mMerged) {
    if (host.mRole == HostRole::kEntry) {
      continue;
    }
    Target target;
    target.mId = TargetId(id);
    target.mRole = host.mRole == HostRole::kEngine ? TargetRole::kEngine
                                                   : TargetRole::kService;
    target.mFailureDomain = host.mFailureDomain;
    target.mAddress = host.mAddress;
    target.mModels = host.mModels;
    target.mChecksFencing = host.mChecksFencing;
    if (host.mLeaving) {
      target.mState = TargetState::kLeaving;
    } else if (mUnreachable.contains(target.mId)) {
      target.mState = TargetState::kDown;
    }
    if (const auto load = LoadOf(target.mId)) {
      target.mLoad = *load;
      // The engine's own word is newer than the host list, which lags and does
      // not follow orders.
      if (target.mLoad.mReadyModels) {
        target.mModels = *target.mLoad.mReadyModels;
      }
    }
    targets.emplace(target.mId, std::move(target));
  }
  return targets;
}

std::vector<HostId>
HostDirectory::EntryHosts() const
{
  std::vector<HostId> hosts;
  for (const auto& [id, host] : mMerged) {
    if (host.mRole == HostRole::kEntry) {
      hosts.emplace_back(id);
    }
  }
  return hosts;
}

std::vector<std::string>
HostDirectory::EntryAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [id, host] : mMerged) {
    if (host.mRole == HostRole::kEntry) {
      addresses.push_back(host.mAddress);
    }
  }
  return addresses;
}

Duration
HostDirectory::ListAge() const
{
  return mHasList ? mScheduler.Now() - mListTime : Duration(-1);
}

} // namespace ragwortdeck
