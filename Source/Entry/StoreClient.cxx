#include "Entry/StoreClient.h"

#include "Core/HttpStatus.h"

namespace ragwortdeck {

namespace {

/// The platform's store responds within 4 ms, or a few hundred ms when slow.
constexpr std::chrono::milliseconds kStoreTimeout{ 1000 };

} // namespace

Task<Result<std::string>>
StoreClient::Call(HttpCall aCall)
{
  mContext.mMetrics.Count("entry_store_calls_total");
  auto reply =
    co_await mContext.mCalls.Call(mContext.mSettings.mStore,
                                  std::move(aCall),
                                  kStoreTimeout,
                                  CallClient::Sharing::kSharedConnection);
  if (!reply) {
    co_return Failure(reply.error().mCode, reply.error().mMessage);
  }
  const auto status = reply.value().mStatus;
  if (status != kStatusOk) {
    // 410: the store has dropped the history that was asked for.
    const bool isAbsent = status == kStatusNotFound || status == kStatusGone;
    co_return Failure(isAbsent ? ErrorCode::kNotFound : ErrorCode::kUnavailable,
                      "status " + std::to_string(status));
  }
  co_return std::move(reply.value().mBody);
}

} // namespace ragwortdeck
