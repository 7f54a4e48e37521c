#include "Entry/EntrySettings.h"

#include "Core/HostResources.h"

#include <algorithm>

namespace ragwortdeck {

EntrySettings
ReadEntrySettings(SettingsSection& aRoot)
{
  constexpr std::int64_t kMaxPort = 65535;
  constexpr double kMaxSeconds = 3600;
  constexpr double kMillisecondsPerSecond = 1000;
  constexpr std::chrono::milliseconds kMinDuration(1);
  constexpr std::chrono::milliseconds kMaxDuration(3600000);
  EntrySettings settings;
  settings.mHost = aRoot.RequiredString("host");
  settings.mFailureDomain = aRoot.RequiredString("failure_domain");
  constexpr double kMaxLinkMbps = 1e6;
  settings.mLinkMbps =
    static_cast<int>(aRoot.Number("link_mbps", 0, 0, kMaxLinkMbps));
  constexpr std::int64_t kMinMemoryMb = 16;
  // Entry hosts are small; a larger one has to state its memory.
  constexpr std::int64_t kMaxDefaultMb = 128;
  settings.mMemoryBytes = ReadMemoryBytes(aRoot, kMinMemoryMb, kMaxDefaultMb);
  constexpr std::int64_t kMinDescriptors = 64;
  constexpr std::int64_t kMaxDescriptors = 1 << 20;
  const auto openable = static_cast<std::int64_t>(MaxOpenDescriptors());
  settings.mMaxDescriptors = static_cast<std::size_t>(std::min(
    openable,
    aRoot.Integer("max_descriptors",
                  std::clamp(openable, kMinDescriptors, kMaxDescriptors),
                  kMinDescriptors,
                  kMaxDescriptors)));
  {
    auto listen = aRoot.Section("listen");
    const auto address = listen.RequiredString("address");
    settings.mCallers = listen.RequiredEndpoint("callers");
    settings.mReady = listen.RequiredEndpoint("ready");
    const auto port = [&](const char* aKey) {
      return static_cast<std::uint16_t>(listen.Integer(aKey, 0, 1, kMaxPort));
    };
    settings.mPeers = { address, port("peer_port") };
    settings.mMetrics = { address, port("metrics_port") };
  }
  settings.mStore = aRoot.Section("store").RequiredEndpoint("endpoint");
  settings.mSeeds = aRoot.Section("peers").EndpointList("seeds");
  auto bounds = aRoot.Section("bounds");
  settings.mStrictKeys = bounds.Boolean("strict_keys", true);
  settings.mKeyRemoval = bounds.Milliseconds(
    "key_removal_ms", settings.mKeyRemoval, kMinDuration, kMaxDuration);
  settings.mTableChange = bounds.Milliseconds(
    "table_change_ms", settings.mTableChange, kMinDuration, kMaxDuration);
  settings.mDrainTime = bounds.Milliseconds(
    "drain_ms", settings.mDrainTime, kMinDuration, kMaxDuration);
  const auto seconds = [&](const char* aKey, double aFallback) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(
      bounds.Number(aKey, aFallback, 0, kMaxSeconds) * kMillisecondsPerSecond));
  };
  constexpr double kDefaultGraceSeconds = 8;
  constexpr double kDefaultRetryRatio = 0.2;
  constexpr double kDefaultRetryExtra = 100;
  constexpr double kDefaultRetryWindowSeconds = 10;
  constexpr double kMaxRetries = 1e9;
  settings.mShutdownGrace = seconds("shutdown_grace_s", kDefaultGraceSeconds);
  settings.mRetries.mRatio =
    bounds.Number("retry_ratio", kDefaultRetryRatio, 0, 1);
  settings.mRetries.mFixedAllowance =
    bounds.Number("retry_extra", kDefaultRetryExtra, 0, kMaxRetries);
  settings.mRetries.mWindow =
    seconds("retry_window_s", kDefaultRetryWindowSeconds);
  return settings;
}

} // namespace ragwortdeck
