#include "Serving/TargetListChange.h"

#include <xxhash.h>

namespace ragwortdeck {

std::uint64_t
FingerprintOf(const TargetList& aList)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aList.mTargets);
  return XXH64(bytes.data(), bytes.size(), 0);
}

TargetListChange
TargetListChange::Between(const TargetList& aBefore, const TargetList& aAfter)
{
  TargetListChange change;
  change.mFrom = FingerprintOf(aBefore);
  change.mTo = FingerprintOf(aAfter);
  for (const auto& [id, target] : aAfter.mTargets) {
    const auto it = aBefore.mTargets.find(id);
    if (it == aBefore.mTargets.end() || it->second != target) {
      change.mUpdated.emplace(id, target);
    }
  }
  for (const auto& [id, target] : aBefore.mTargets) {
    if (!aAfter.mTargets.contains(id)) {
      change.mRemoved.push_back(id);
    }
  }
  return change;
}

std::optional<TargetList>
TargetListChange::ApplyTo(const TargetList& aList,
                          const StoreVersion& aVersion) const
{
  if (FingerprintOf(aList) != mFrom) {
    return std::nullopt;
  }
  auto list = aList;
  list.mVersion = aVersion;
  for (const auto& [id, target] : mUpdated) {
    list.mTargets[id] = target;
  }
  for (const auto& id : mRemoved) {
    list.mTargets.erase(id);
  }
  if (FingerprintOf(list) != mTo) {
    return std::nullopt;
  }
  return list;
}

} // namespace ragwortdeck
