#include "Entry/TargetPool.h"

#include "Entry/AnswerReader.h"
#include "Entry/HttpHeaders.h"

namespace ragwortdeck {

TargetPool::TargetPool(asio::io_context& aContext,
                       const Clock& aClock,
                       MemoryAccount& aMemory)
  : mContext(aContext)
  , mClock(aClock)
  , mMemory(aMemory)
{
}

TargetConnectionPtr
TargetPool::TakeIdle(const Endpoint& aEndpoint, const std::string& aRequest)
{
  auto& idle = mIdle[aEndpoint];
  for (auto n = idle.size(); n > 0; --n) {
    const auto it = idle.begin() + static_cast<std::ptrdiff_t>(n - 1);
    if (!aRequest.empty() && ((*it)->mLastRequest == aRequest ||
                              (*it)->mRefused.contains(aRequest))) {
      continue;
    }
    auto connection = *it;
    idle.erase(it);
    if (mClock.Now() < connection->mIdleUntil && connection->IsReusable()) {
      connection->mReused = true;
      return connection;
    }
  }
  return nullptr;
}

Task<TargetConnectionPtr>
TargetPool::Acquire(Endpoint aEndpoint,
                    bool aNewConnection,
                    std::string aRequest)
{
  if (!aNewConnection) {
    if (auto connection = TakeIdle(aEndpoint, aRequest)) {
      connection->mLastRequest = std::move(aRequest);
      co_return connection;
    }
  }
  auto connection =
    std::make_shared<TargetConnection>(mContext, aEndpoint, mMemory);
  connection->mLastRequest = std::move(aRequest);
  connection->mOnRefused = mOnRefused;
  ++mOpened;
  error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, ec);
  if (ec) {
    co_return nullptr;
  }
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  connection->mStream.expires_after(kConnectTimeout);
  co_await connection->mStream.async_connect(endpoint, RedirectError(ec));
  if (ec) {
    co_return nullptr;
  }
  connection->mStream.socket().set_option(tcp::no_delay(true), ec);
  connection->mStream.expires_never();
  co_return connection;
}

void
TargetPool::Release(TargetConnectionPtr aConnection, int aKeepAliveSeconds)
{
  // Percentage of the stated timeout that is used, since the target started
  // to count earlier.
  constexpr int kUsedPercent = 70;
  constexpr int kPercent = 100;
  if (!aConnection->IsReusable() ||
      aConnection->mRefused.size() > kMaxRefusals) {
    return;
  }
  const Duration stated =
    std::chrono::seconds(aKeepAliveSeconds) * kUsedPercent / kPercent;
  aConnection->mIdleUntil =
    mClock.Now() +
    (aKeepAliveSeconds > 0 ? stated : Duration(kDefaultIdleTimeout));
  aConnection->mStream.expires_never();
  aConnection->ShrinkBuffer();
  mIdle[aConnection->mEndpoint].push_back(std::move(aConnection));
}

void
TargetPool::ReleaseOrClose(TargetConnectionPtr aConnection,
                           const AnswerReader& aAnswer)
{
  if (aAnswer.MayReuse()) {
    Release(std::move(aConnection), KeepAliveSeconds(aAnswer.Head()));
  } else {
    aConnection->Close();
  }
}

void
TargetPool::CloseIdle(const Endpoint& aEndpoint)
{
  mIdle.erase(aEndpoint);
}

void
TargetPool::Sweep()
{
  for (auto& [endpoint, idle] : mIdle) {
    std::erase_if(idle, [&](const TargetConnectionPtr& aItem) {
      return mClock.Now() >= aItem->mIdleUntil || !aItem->IsReusable();
    });
  }
  std::erase_if(mIdle, [](const auto& aItem) { return aItem.second.empty(); });
}

} // namespace ragwortdeck
