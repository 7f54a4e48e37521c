#include "Entry/EntrySettings.h"

namespace ragwortdeck {

EntrySettings
ReadEntrySettings(SettingsSection& aRoot)
{
  constexpr std::int64_t kHighestPort = 65535;
  constexpr double kMostSeconds = 3600;
  constexpr double kMillisecondsPerSecond = 1000;
  constexpr std::chrono::milliseconds kShortest(1);
  constexpr std::chrono::milliseconds kLongest(3600000);
  EntrySettings settings;
  settings.mHost = aRoot.RequiredString("host");
  settings.mFailureDomain = aRoot.RequiredString("failure_domain");
  constexpr double kFastestMbps = 1e6;
  settings.mLinkMbps =
    static_cast<int>(aRoot.Number("link_mbps", 0, 0, kFastestMbps));
  {
    auto listen = aRoot.Section("listen");
    const auto address = listen.RequiredString("address");
    settings.mCallers = listen.RequiredEndpoint("callers");
    settings.mReady = listen.RequiredEndpoint("ready");
    const auto port = [&](const char* aKey) {
      return static_cast<std::uint16_t>(
        listen.Integer(aKey, 0, 1, kHighestPort));
    };
    settings.mPeers = { address, port("peer_port") };
    settings.mMetrics = { address, port("metrics_port") };
  }
  settings.mStore = aRoot.Section("store").RequiredEndpoint("endpoint");
  settings.mSeeds = aRoot.Section("peers").EndpointList("seeds");
  auto bounds = aRoot.Section("bounds");
  settings.mStrictKeys = bounds.Boolean("strict_keys", true);
  settings.mKeyRemoval = bounds.Milliseconds(
    "key_removal_ms", settings.mKeyRemoval, kShortest, kLongest);
  settings.mTableChange = bounds.Milliseconds(
    "table_change_ms", settings.mTableChange, kShortest, kLongest);
  const auto seconds = [&](const char* aKey, double aFallback) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(
      bounds.Number(aKey, aFallback, 0, kMostSeconds) *
      kMillisecondsPerSecond));
  };
  constexpr double kGraceSeconds = 8;
  constexpr double kRetryRatio = 0.2;
  constexpr double kRetryExtra = 100;
  constexpr double kRetryWindowSeconds = 10;
  constexpr double kMostRetries = 1e9;
  settings.mShutdownGrace = seconds("shutdown_grace_s", kGraceSeconds);
  settings.mRetries.mRatio = bounds.Number("retry_ratio", kRetryRatio, 0, 1);
  settings.mRetries.mFixedAllowance =
    bounds.Number("retry_extra", kRetryExtra, 0, kMostRetries);
  settings.mRetries.mWindow = seconds("retry_window_s", kRetryWindowSeconds);
  return settings;
}

} // namespace ragwortdeck
