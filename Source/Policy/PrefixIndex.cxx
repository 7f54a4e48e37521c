#include "Policy/PrefixIndex.h"

namespace ragwortdeck {

namespace {

/// The index is not used when its last events are older than this.
constexpr Duration kMaxEventAge{ std::chrono::seconds(5) };
/// Bounds the memory per engine; a larger index is cleared.
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
  if (mBlocks.empty() || aNow - mUpdated > kMaxEventAge) {
    return 0;
  }
  std::size_t n = 0;
  while (n < aPrefixHashes.size() && mBlocks.contains(aPrefixHashes[n])) {
    ++n;
  }
  return n;
}

} // namespace ragwortdeck
