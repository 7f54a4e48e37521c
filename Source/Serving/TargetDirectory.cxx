#include "Serving/TargetDirectory.h"

namespace ragwortdeck {

namespace {

bool
BeginLeaving(TargetDirectory::Entry& aEntry, MonotonicTime aNow)
{
  if (aEntry.mLeaving) {
    return false;
  }
  aEntry.mLeaving = true;
  aEntry.mLeavingSince = aNow;
  aEntry.mMissingSince.reset();
  return true;
}

} // namespace

void
TargetDirectory::Confirm(MonotonicTime aNow)
{
  if (mLastReadAt && aNow - *mLastReadAt > kMinOutageGap) {
    mOutageEndedAt = aNow;
  }
  mLastReadAt = aNow;
}

bool
TargetDirectory::MarkLeaving(const std::string& aId, MonotonicTime aNow)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    return false;
  }
  it->second.mReportedLeaving = true;
  return BeginLeaving(it->second, aNow);
}

Duration
TargetDirectory::ListAge(MonotonicTime aNow) const
{
  return mLastReadAt ? aNow - *mLastReadAt : Duration::max();
}

std::vector<std::string>
TargetDirectory::Apply(const TargetList& aList, MonotonicTime aNow)
{
  std::vector<std::string> leaving;
  if (aList.mRevision < mRevision) {
    return leaving;
  }
  mRevision = aList.mRevision;
  Confirm(aNow);
  const bool afterOutage =
    mOutageEndedAt && aNow - *mOutageEndedAt < kReregistrationGrace;
  for (const auto& [id, target] : aList.mTargets) {
    auto& entry = mEntries[id];
    if (entry.mTarget != target) {
      entry.mWarmUpEnd = aNow + std::chrono::milliseconds(target.mWarmUpMs);
    }
    entry.mTarget = target;
    entry.mMissingSince.reset();
    if (target.mLeaving) {
      if (BeginLeaving(entry, aNow)) {
        leaving.push_back(id);
      }
    } else if (!entry.mReportedLeaving) {
      entry.mLeaving = false;
    }
  }
  for (auto& [id, entry] : mEntries) {
    if (aList.mTargets.contains(id) || entry.mLeaving) {
      continue;
    }
    if (afterOutage) {
      if (!entry.mMissingSince) {
        entry.mMissingSince = aNow;
      }
    } else if (BeginLeaving(entry, aNow)) {
      leaving.push_back(id);
    }
  }
  std::erase_if(mEntries, [&](const auto& aItem) {
    return aItem.second.mLeaving && !aList.mTargets.contains(aItem.first) &&
           aNow - aItem.second.mLeavingSince > kForgetAfter;
  });
  return leaving;
}

std::vector<std::string>
TargetDirectory::Expire(MonotonicTime aNow)
{
  std::vector<std::string> leaving;
  for (auto& [id, entry] : mEntries) {
    if (entry.mMissingSince && mOutageEndedAt &&
        aNow - *mOutageEndedAt >= kReregistrationGrace &&
        BeginLeaving(entry, aNow)) {
      leaving.push_back(id);
    }
  }
  return leaving;
}

const TargetDirectory::Entry*
TargetDirectory::Find(const std::string& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second;
}

} // namespace ragwortdeck
