#pragma once

#include "Core/Clock.h"
#include "Policy/Dispatcher.h"

#include <cstdint>
#include <unordered_set>
#include <vector>

namespace ragwortdeck {

/// \brief What one engine's prefix cache holds, as far as its events tell.
/// Knows nothing after a gap in the events or when they are old.
class PrefixIndex
{
public:
  void OnEvents(const CacheEvents& aEvents, MonotonicTime aNow);
  /// Leading blocks of the prompt that the engine holds; 0 when unknown.
  std::size_t Match(const std::vector<std::uint64_t>& aPrefixHashes,
                    MonotonicTime aNow) const;

private:
  std::unordered_set<std::uint64_t> mBlocks;
  std::uint64_t mSequence = 0;
  MonotonicTime mUpdated{};
};

} // namespace ragwortdeck
