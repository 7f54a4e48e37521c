#include "Serving/MessageMerger.h"

#include <algorithm>
#include <utility>

namespace ragwortdeck {

MonotonicTime
MessageMerger::Add(const std::string& aHost,
                   std::string aMessage,
                   bool aOwnDomain,
                   MonotonicTime aNow)
{
  const auto due = aNow + (aOwnDomain ? kOwnDomainInterval : kInterval);
  mDueAt = mItems.empty() ? due : std::min(mDueAt, due);
  mItems[aHost] = { std::move(aMessage), aNow };
  return mDueAt;
}

std::vector<std::vector<std::string>>
MessageMerger::Take(MonotonicTime aNow)
{
  std::vector<std::vector<std::string>> datagrams;
  std::size_t bytes = 0;
  for (auto& [host, item] : std::exchange(mItems, {})) {
    if (aNow - item.mAddedAt > kMaxAge) {
      continue;
    }
    if (datagrams.empty() || bytes + item.mMessage.size() > kMaxBytes) {
      datagrams.emplace_back();
      bytes = 0;
    }
    bytes += item.mMessage.size();
    datagrams.back().push_back(std::move(item.mMessage));
  }
  return datagrams;
}

} // namespace ragwortdeck
