#include "Serving/TargetDirectory.h"

#include <algorithm>

namespace ragwortdeck {

bool
TargetDirectory::BeginLeaving(Entry& aEntry, MonotonicTime aNow) const
{
  if (aEntry.mLeaving) {
    return false;
  }
  aEntry.mLeaving = true;
  aEntry.mLeavingSince = aNow;
  aEntry.mLeavingEra = mVersion.mEra;
  aEntry.mMissingSince.reset();
  return true;
}

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

bool
TargetDirectory::ApplyEntry(const Target& aTarget, MonotonicTime aNow)
{
  const bool isNew = !mEntries.contains(aTarget.mId);
  auto& entry = mEntries[aTarget.mId];
  entry.mMissingSince.reset();
  const bool mayBeOlder = !isNew && MayBeOlder(aNow);
  if (mayBeOlder && aTarget.mBorn != 0 && aTarget.mBorn < entry.mBorn) {
    return false;
  }
  const bool hasRestarted = entry.mBorn != 0 && aTarget.mBorn > entry.mBorn;
  if (entry.mTarget != aTarget && (!mayBeOlder || hasRestarted)) {
    entry.mWarmUpEnd = aNow + std::chrono::milliseconds(aTarget.mWarmUpMs);
  }
  entry.mTarget = aTarget;
  const bool hasReported = HasReported(aTarget.mId, aTarget.mBorn, aNow);
  entry.mBorn = std::max(entry.mBorn, aTarget.mBorn);
  entry.mIsDoubted = mayBeOlder && entry.mLeaving &&
                     entry.mLeavingEra < mVersion.mEra && !aTarget.mLeaving &&
                     !hasRestarted && !hasReported;
  if (!hasReported && !entry.mIsDoubted &&
      (hasRestarted || !aTarget.mLeaving)) {
    entry.mLeaving = false;
  }
  return (hasReported || aTarget.mLeaving) && BeginLeaving(entry, aNow);
}

std::vector<std::string>
TargetDirectory::Apply(const TargetList& aList, MonotonicTime aNow)
{
  std::vector<std::string> leaving;
  if (aList.mVersion < mVersion) {
    return leaving;
  }
  Confirm(aNow);
  if (IsKnown() && aList.mVersion.mEra != mVersion.mEra) {
    mEraBeganAt = aNow;
    mOutageEndedAt = aNow;
  }
  mVersion = aList.mVersion;
  const bool afterOutage =
    mOutageEndedAt && aNow - *mOutageEndedAt < kReregistrationGrace;
  for (const auto& [id, target] : aList.mTargets) {
    if (ApplyEntry(target, aNow)) {
      leaving.push_back(id);
    }
  }
  for (auto& [id, entry] : mEntries) {
    if (aList.mTargets.contains(id)) {
      continue;
    }
    entry.mIsDoubted = false;
    if (entry.mLeaving) {
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
    if (entry.mIsDoubted && !MayBeOlder(aNow)) {
      entry.mIsDoubted = false;
      entry.mLeaving = false;
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
