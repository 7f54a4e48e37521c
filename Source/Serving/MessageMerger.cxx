#include "Serving/MessageMerger.h"

#include <utility>

namespace ragwortdeck {

bool
MessageMerger::Add(const std::string& aHost,
                   std::string aMessage,
                   MonotonicTime aNow)
{
  const bool isFirst = mItems.empty();
  mItems[aHost] = { std::move(aMessage), aNow };
  return isFirst;
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
