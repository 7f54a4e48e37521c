#include "Serving/ContentParts.h"

#include <algorithm>

namespace ragwortdeck {

std::vector<ContentPart>
SplitContent(ContentKind aKind,
             const std::string& aContent,
             std::size_t aMaxBytes)
{
  std::vector<ContentPart> parts;
  for (std::size_t at = 0; at < aContent.size(); at += aMaxBytes) {
    parts.push_back({ static_cast<int>(aKind),
                      0,
                      static_cast<int>(parts.size()),
                      0,
                      aContent.substr(at, aMaxBytes) });
  }
  for (auto& it : parts) {
    it.mCount = static_cast<int>(parts.size());
  }
  return parts;
}

template<typename Version>
std::optional<std::string>
ContentAssembler<Version>::Add(const std::string& aSender,
                               const Version& aVersion,
                               const ContentPart& aPart)
{
  if (aPart.mCount < 1 || aPart.mCount > kMaxParts || aPart.mIndex < 0 ||
      aPart.mIndex >= aPart.mCount) {
    return std::nullopt;
  }
  const auto known = mAssemblies.find(aSender);
  if (known != mAssemblies.end() && aVersion < known->second.mVersion) {
    return std::nullopt;
  }
  if (known == mAssemblies.end() && mAssemblies.size() >= kMaxSenders) {
    mAssemblies.erase(
      std::min_element(mAssemblies.begin(),
                       mAssemblies.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mStarted < aRight.second.mStarted;
                       }));
  }
  auto& assembly = mAssemblies[aSender];
  if (assembly.mVersion != aVersion || assembly.mCount != aPart.mCount) {
    assembly = { aVersion, aPart.mCount, 0, ++mNext, {} };
  }
  if (assembly.mParts.emplace(aPart.mIndex, aPart.mBytes).second) {
    assembly.mBytes += aPart.mBytes.size();
  }
  if (assembly.mBytes > kMaxBytes) {
    mAssemblies.erase(aSender);
    return std::nullopt;
  }
  if (static_cast<int>(assembly.mParts.size()) < assembly.mCount) {
    return std::nullopt;
  }
  std::string content;
  for (const auto& [index, bytes] : assembly.mParts) {
    content += bytes;
  }
  mAssemblies.erase(aSender);
  return content;
}

template class ContentAssembler<TableVersion>;
template class ContentAssembler<StoreVersion>;

} // namespace ragwortdeck
