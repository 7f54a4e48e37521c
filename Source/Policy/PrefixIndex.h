#pragma once

#include "Core/Clock.h"
#include "Policy/Dispatcher.h"

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace ragwortdeck {

/// \brief Mirrors the prefix cache of one engine from its events. A gap in
/// the events discards the earlier ones; old events match nothing.
class PrefixIndex
{
public:
  void OnEvents(const CacheEvents& aEvents, MonotonicTime aNow);
  /// Number of leading prompt blocks in the cache; 0 when unknown.
  std::size_t Match(const std::vector<std::uint64_t>& aPrefixHashes,
                    MonotonicTime aNow) const;

private:
  std::unordered_set<std::uint64_t> mBlocks;
  std::uint64_t mSequence = 0;
  MonotonicTime mUpdated{};
};

} // namespace ragwortdeck
