#include "Entry/EntryContext.h"

namespace ragwortdeck {

namespace {

CachedTable::Bounds
TableBounds(const EntrySettings& aSettings)
{
  // Margin for requests that were admitted just before the bound.
  constexpr std::chrono::milliseconds kMargin(300);
  CachedTable::Bounds bounds;
  if (aSettings.mStrictKeys) {
    bounds.mMaxKeyedAge = std::max<Duration>(std::chrono::milliseconds(1),
                                             aSettings.mKeyRemoval - kMargin);
  }
  bounds.mMaxDenialAge = std::max<Duration>(std::chrono::milliseconds(1),
                                            aSettings.mTableChange - kMargin);
  return bounds;
}

} // namespace

EntryContext::EntryContext(asio::io_context& aContext,
                           const Clock& aClock,
                           const PlatformCodec& aCodec,
                           EntrySettings aSettings,
                           DecisionLog& aLog)
  : mIo(aContext)
  , mClock(aClock)
  , mCodec(aCodec)
  , mSettings(std::move(aSettings))
  , mLog(aLog)
  , mRandom(RandomSource::SystemSeed())
  , mPool(aContext, aClock)
  , mCalls(mPool)
  , mTable(TableBounds(mSettings))
{
}

std::vector<const TargetDirectory::Entry*>
EntryContext::OpenTargets(const std::string& aService) const
{
  std::vector<const TargetDirectory::Entry*> open;
  for (const auto& [id, entry] : mTargets.Entries()) {
    if (!entry.mLeaving && entry.mTarget.mService == aService) {
      open.push_back(&entry);
    }
  }
  return open;
}

bool
EntryContext::TryRetry(const std::string& aService)
{
  const auto it =
    mRetries.try_emplace(aService, FleetRetryAllowance(mSettings.mRetries))
      .first;
  return it->second.TrySpend(Now(), mCountHosts ? mCountHosts() : 1);
}

void
EntryContext::CountRequest(const std::string& aService)
{
  mRetries.try_emplace(aService, FleetRetryAllowance(mSettings.mRetries))
    .first->second.OnRequest(Now());
}

void
EntryContext::OfferCapacity()
{
  if (mLine.Size() == 0) {
    return;
  }
  mLine.Offer([this](std::uint64_t aTicket) {
    const auto it = mWaiting.find(aTicket);
    return it == mWaiting.end() || it->second();
  });
}

} // namespace ragwortdeck
