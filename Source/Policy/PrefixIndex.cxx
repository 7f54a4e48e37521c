#include "Policy/PrefixIndex.h"

namespace ragwortdeck {

namespace {

/// Events older than this say nothing about the cache.
constexpr Duration kFresh{ std::chrono::seconds(5) };
/// Bounds the memory per engine; a fuller index starts again.
constexpr std::size_t kMaxBlocks = 100'000;

} // namespace

void
PrefixIndex::OnEvents(const CacheEvents& aEvents, MonotonicTime aNow)
{
  if (aEvents.mSequence != mSequence + 1 || mBlocks.size() > kMaxBlocks) {
    mBlocks.clear();
  }
  mSequence = aEvents.mSequence;
  mUpdated = aNow;
  for (const auto block : aEvents.mRemoved) {
    mBlocks.erase(block);
  }
  mBlocks.insert(aEvents.mStored.begin(), aEvents.mStored.end());
}

std::size_t
PrefixIndex::Match(const std::vector<std::uint64_t>& aPrefixHashes,
                   MonotonicTime aNow) const
{
  if (mBlocks.empty() || aNow - mUpdated > kFresh) {
    return 0;
  }
  std::size_t n = 0;
  while (n < aPrefixHashes.size() && mBlocks.contains(aPrefixHashes[n])) {
    ++n;
  }
  return n;
}

} // namespace ragwortdeck
