#include "Serving/TargetDirectory.h"

#include <algorithm>

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
TargetDirectory::MarkLeaving(const std::string& aId,
                             std::int64_t aBorn,
                             MonotonicTime aNow)
{
  const auto it = mEntries.find(aId);
  const bool isKnown = it != mEntries.end();
  const std::int64_t known = isKnown ? it->second.mBorn : 0;
  if (aBorn != 0 && aBorn < known) {
    return false;
  }
  DropOldReports(aNow);
  if (!isKnown && mReports.size() >= kMaxReports + mEntries.size()) {
    return false;
  }
  auto& report = mReports[aId];
  report.mBorn = std::max({ report.mBorn, aBorn, known });
  report.mKeptSince = aNow;
  return isKnown && BeginLeaving(it->second, aNow);
}

bool
TargetDirectory::HasReported(const std::string& aId,
                             std::int64_t aBorn,
                             MonotonicTime aNow)
{
  const auto it = mReports.find(aId);
  if (it == mReports.end()) {
    return false;
  }
  auto& report = it->second;
  if (report.mBorn != 0 && aBorn > report.mBorn) {
    mReports.erase(it);
    return false;
  }
  report.mBorn = std::max(report.mBorn, aBorn);
  report.mKeptSince = aNow;
  return true;
}

void
TargetDirectory::DropOldReports(MonotonicTime aNow)
{
  std::erase_if(mReports, [&](const auto& aItem) {
    return !mEntries.contains(aItem.first) &&
           aNow - aItem.second.mKeptSince > kKeepReport;
  });
}

bool
TargetDirectory::Accepts(const std::string& aId,
                         Duration aResumeTime,
                         MonotonicTime aNow) const
{
  const auto* entry = Find(aId);
  return entry &&
         (!entry->mLeaving || aNow - entry->mLeavingSince < aResumeTime);
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
    const bool hasReported = HasReported(id, target.mBorn, aNow);
    const bool hasRestarted = entry.mBorn != 0 && target.mBorn > entry.mBorn;
    entry.mBorn = std::max(entry.mBorn, target.mBorn);
    if (!hasReported && (hasRestarted || !target.mLeaving)) {
      entry.mLeaving = false;
    }
    if ((hasReported || target.mLeaving) && BeginLeaving(entry, aNow)) {
      leaving.push_back(id);
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
