#include "Entry/StoreClient.h"

#include "Core/HttpStatus.h"

namespace ragwortdeck {

namespace {

/// The platform's store responds within 4 ms, or a few hundred ms when slow.
constexpr std::chrono::milliseconds kStoreTimeout{ 1000 };

} // namespace

Task<Result<StoreReply>>
StoreClient::Call(HttpCall aCall)
{
  mContext.mMetrics.Count("entry_store_calls_total");
  const auto store = mContext.mSettings.mStore;
  auto reply =
    co_await mContext.mCalls.Call(store,
                                  std::move(aCall),
                                  kStoreTimeout,
                                  CallClient::Sharing::kSharedConnection);
  if (!reply) {
    co_return Failure(reply.error().mCode, reply.error().mMessage);
  }
  const auto era = ReadEra(reply.value().mHeaders);
  const auto status = reply.value().mStatus;
  // 410: the store has dropped the history that was asked for.
  const bool isAbsent = status == kStatusNotFound || status == kStatusGone;
  if (status != kStatusOk && !isAbsent) {
    co_return Failure(ErrorCode::kUnavailable,
                      "status " + std::to_string(status));
  }
  if (!era) {
    // Another connection may lead to a store that answers in the latest era.
    mContext.mPool.CloseIdle(store);
    co_return Failure(ErrorCode::kConflict,
                      "response of an earlier or unknown era");
  }
  if (isAbsent) {
    co_return Failure(ErrorCode::kNotFound, "status " + std::to_string(status));
  }
  co_return StoreReply{ *era, std::move(reply.value().mBody) };
}

std::optional<StoreEra>
StoreClient::ReadEra(const HttpFields& aHeaders)
{
  const auto read = mContext.mCodec.ReadStoreEra(aHeaders);
  const auto era = read ? read.value() : StoreEra{};
  const bool isOutdated =
    mContext.ObserveEra(era, kName) == EraTracker::Outcome::kOutdated;
  if (read && !isOutdated) {
    mEraWasBad = false;
    return era;
  }
  mContext.mMetrics.Count(era.IsKnown()
                            ? "entry_outdated_store_answers_total"
                            : "entry_store_answers_without_era_total");
  if (!std::exchange(mEraWasBad, true)) {
    const auto why = !read           ? read.error().mMessage
                     : era.IsKnown() ? "earlier era"
                                     : "no era stated";
    mContext.mLog.Write("store_era_refused",
                        { { "era", era.mNumber },
                          { "latest", mContext.mEra.Latest().mNumber },
                          { "why", why },
                          { "used", !isOutdated } });
  }
  return isOutdated ? std::nullopt : std::optional(era);
}

} // namespace ragwortdeck
