#include "Entry/SiteFleet.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <thread>

namespace ragwortdeck {

namespace {

using Json = nlohmann::json;

/// Timeout that ends a test that hangs; no check depends on its length.
constexpr std::chrono::seconds kHangTimeout{ 60 };
constexpr std::chrono::microseconds kIdlePause{ 200 };
/// Less than the time between the reads of two hosts (SharedReads).
constexpr std::chrono::milliseconds kLongestStep{ 20 };
constexpr int kLinkMbps = 700;
constexpr const char* kHostName = "shop.example";

Json
RouteOf(const std::string& aName, bool aPublic)
{
  return { { "name", aName },     { "host", kHostName },
           { "service", "s" },    { "path_prefix", "/" + aName + "/" },
           { "kind", "safe" },    { "timeout_ms", 2000 },
           { "goal_ms", 300 },    { "max_attempts", 2 },
           { "public", aPublic }, { "priority", 2 } };
}

} // namespace

bool
TestLoop::RunReady()
{
  restart();
  return poll() > 0;
}

SiteFleet::Host::~Host()
{
  mLoop.DropAll();
}

bool
SiteFleet::Host::Admits(const std::string& aKey,
                        const std::string& aRoute) const
{
  return mContext->mTable
           .Admit(kHostName, "/" + aRoute + "/x", aKey, mContext->Now())
           .mRoute != nullptr;
}

std::int64_t
SiteFleet::Host::TableVersion() const
{
  return mContext->mTable.VersionNumber();
}

bool
SiteFleet::Host::Uses(const std::string& aTarget) const
{
  return mContext->mTargets.Accepts(aTarget, Duration(0), mContext->Now());
}

SiteFleet::SiteFleet()
  : mLog(mClock, open("/dev/null", O_WRONLY | O_CLOEXEC))
  , mStore(std::make_unique<StoreStandIn>(mLoop))
{
  const udp::endpoint any(asio::ip::make_address(AddressOf(0)), 0);
  const udp::socket probe(mLoop, any);
  const udp::socket otherProbe(mLoop, any);
  mPort = probe.local_endpoint().port();
  mOtherPort = otherProbe.local_endpoint().port();
  // A host that finds an empty list waits for seconds, as in a first start.
  mStore->State().Put("entry/127.0.5.251", "127.0.5.251");
}

SiteFleet::~SiteFleet()
{
  mLoop.DropAll();
}

std::string
SiteFleet::AddressOf(int aIndex)
{
  return "127.0.5." + std::to_string(aIndex + 1);
}

SiteFleet::Host&
SiteFleet::Start(int aIndex, bool aIsCutOff)
{
  mHosts.erase(aIndex);
  EntrySettings settings;
  settings.mHost = "host-" + std::to_string(aIndex);
  settings.mFailureDomain = std::string(1, static_cast<char>('a' + aIndex % 3));
  settings.mPeers = { AddressOf(aIndex), aIsCutOff ? mOtherPort : mPort };
  settings.mLinkMbps = kLinkMbps;
  settings.mStore = mStore->AddressFor(aIndex);
  for (const auto& [index, host] : mHosts) {
    settings.mSeeds.push_back({ AddressOf(index), mPort });
  }
  auto host = std::make_unique<Host>();
  auto& loop = host->mLoop;
  host->mContext =
    std::make_unique<EntryContext>(loop, mClock, mCodec, settings, mLog);
  host->mExchange = std::make_unique<HostExchange>(loop,
                                                   mClock,
                                                   host->mContext->mRandom,
                                                   settings.mPeers,
                                                   settings.mFailureDomain,
                                                   kLinkMbps,
                                                   ++mStarts);
  const auto error = host->mExchange->Open();
  CPPUNIT_ASSERT_MESSAGE(error.value_or(""), !error);
  host->mFeed = std::make_unique<SiteFeed>(*host->mContext, *host->mExchange);
  host->mFeed->Start();
  return *(mHosts[aIndex] = std::move(host));
}

void
SiteFleet::StartAll(int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    Start(i);
  }
  RunUntil([&] {
    return All([&](const Host& aHost) {
      return aHost.mContext->HasContents() &&
             aHost.mExchange->CountLiveHosts() + 1 == mHosts.size();
    });
  });
}

void
SiteFleet::RunUntil(const std::function<bool()>& aDone)
{
  const auto until = std::chrono::steady_clock::now() + kHangTimeout;
  mSteppedAt = std::chrono::steady_clock::now();
  while (!aDone()) {
    CPPUNIT_ASSERT_MESSAGE("the test timed out",
                           std::chrono::steady_clock::now() < until);
    Step();
    bool ran = mLoop.RunReady();
    for (const auto& [index, host] : mHosts) {
      ran = (!host->mIsFrozen && host->mLoop.RunReady()) || ran;
    }
    if (!ran) {
      std::this_thread::sleep_for(kIdlePause);
    }
  }
}

void
SiteFleet::RunFor(std::chrono::milliseconds aTime,
                  const std::function<void()>& aCheck)
{
  const auto until = mClock.Now() + aTime;
  RunUntil([&] {
    if (aCheck) {
      aCheck();
    }
    return mClock.Now() >= until;
  });
}

void
SiteFleet::Step()
{
  const auto now = std::chrono::steady_clock::now();
  const auto passed = std::chrono::duration_cast<Duration>(now - mSteppedAt);
  mClock.Advance(std::min<Duration>(passed, kLongestStep));
  mSteppedAt = now;
}

void
SiteFleet::SendRaw(int aFrom, int aIndex, const HostMessage& aMessage)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aMessage);
  udp::socket socket(mLoop, { asio::ip::make_address(AddressOf(aFrom)), 0 });
  socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                 { asio::ip::make_address(AddressOf(aIndex)), mPort });
}

bool
SiteFleet::All(const std::function<bool(const Host&)>& aHolds) const
{
  return std::all_of(mHosts.begin(), mHosts.end(), [&](const auto& aItem) {
    return aHolds(*aItem.second);
  });
}

std::string
SiteFleet::TableOf(std::int64_t aVersion,
                   const std::vector<std::string>& aKeys,
                   const std::vector<std::string>& aExtraRoutes)
{
  Json routes = { RouteOf("order", false), RouteOf("look", true) };
  for (const auto& name : aExtraRoutes) {
    routes.push_back(RouteOf(name, true));
  }
  return Json{
    { "version", aVersion },
    { "routes", routes },
    { "services", { { { "name", "s" }, { "max_connections", 10 } } } },
    { "tenants", { { { "name", "team" }, { "api_keys", aKeys } } } }
  }.dump();
}

std::string
SiteFleet::EntryOf(const std::string& aState, std::int64_t aBorn, int aWarmUpMs)
{
  return Json{
    { "service", "s" },
    { "address", "127.0.5.250:9" },
    { "zone", "a" },
    { "version", "v1" },
    { "slots", 6 },
    { "state", aState },
    { "cold_remaining_ms", aWarmUpMs },
    { "sequence", 1 },
    { "born", aBorn }
  }.dump();
}

std::int64_t
SiteFleet::WriteTable(std::int64_t aVersion,
                      const std::vector<std::string>& aKeys,
                      const std::vector<std::string>& aExtraRoutes)
{
  return mStore->State().Put("op/config",
                             TableOf(aVersion, aKeys, aExtraRoutes));
}

void
SiteFleet::WriteTarget(const std::string& aId,
                       const std::string& aState,
                       std::int64_t aBorn,
                       int aWarmUpMs)
{
  mStore->State().Put("servers/" + aId, EntryOf(aState, aBorn, aWarmUpMs));
}

} // namespace ragwortdeck
