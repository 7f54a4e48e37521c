#include "Control/ControlSettings.h"

#include "Core/KeySettings.h"

namespace ragwortdeck {

using std::chrono::milliseconds;

// JSON and YAML readers hold integers up to this exactly.
static constexpr std::int64_t kMaxModelBytes = 1LL << 50;

static void
ReadMembership(SettingsSection aSection, MembershipSettings& aMembership)
{
  aMembership.mPeriod = aSection.Milliseconds(
    "period_ms", milliseconds(500), milliseconds(50), milliseconds(60'000));
  aMembership.mProbeTimeout = aSection.Milliseconds("probe_timeout_ms",
                                                    milliseconds(200),
                                                    milliseconds(10),
                                                    milliseconds(30'000));
  if (aMembership.mProbeTimeout >= aMembership.mPeriod) {
    aSection.Reject("probe_timeout_ms", "expected less than period_ms");
  }
}

/// Bytes of a model by "model_bytes", and of single ones by "model_sizes".
static void
ReadModelSizes(SettingsSection& aSection, PlacementLimits& aLimits)
{
  constexpr std::int64_t kDefault = 16LL << 30;
  const auto usual =
    std::uint64_t(aSection.Integer("model_bytes", kDefault, 1, kMaxModelBytes));
  std::map<ModelName, std::uint64_t> sizes;
  for (auto& entry : aSection.Sections("model_sizes")) {
    const ModelName model(entry.RequiredString("model"));
    const auto bytes = entry.Integer("bytes", kDefault, 1, kMaxModelBytes);
    if (!sizes.emplace(model, std::uint64_t(bytes)).second) {
      entry.Reject("model", "expected each model once");
    }
  }
  aLimits.mModelBytes = [usual, sizes](const ModelName& aModel,
                                       const std::string&) {
    const auto it = sizes.find(aModel);
    return it == sizes.end() ? usual : it->second;
  };
  aLimits.mMaxLoads = std::size_t(
    aSection.Integer("max_loads", std::int64_t(aLimits.mMaxLoads), 1, 1000));
}

static std::optional<LeaderSettings>
ReadLeaderSettings(SettingsSection aSection)
{
  using std::chrono::seconds;
  LeaderSettings leader;
  const bool isEnabled = aSection.Boolean("enabled", true);
  auto& lease = leader.mLease;
  lease.mTtl = seconds(aSection.Integer("lease_ttl_s", 15, 3, 600));
  // Three renewals fit into the time to live.
  lease.mRenewEvery = lease.mTtl / 3;
  lease.mPollEvery = lease.mTtl;
  auto& orders = leader.mOrders;
  orders.mPeriod = aSection.Milliseconds(
    "period_ms", milliseconds(2000), milliseconds(100), milliseconds(600'000));
  orders.mOrderLifetime = aSection.Milliseconds("order_lifetime_ms",
                                                milliseconds(4000),
                                                milliseconds(200),
                                                milliseconds(60'000));
  if (orders.mOrderLifetime + lease.mMargin >= lease.mTtl - lease.mRenewEvery) {
    aSection.Reject("order_lifetime_ms",
                    "expected less than two thirds of lease_ttl_s, less 1 s");
  }
  orders.mWeightBytes = std::uint64_t(aSection.Integer(
    "weight_bytes", std::int64_t(orders.mWeightBytes), 1, INT64_MAX));
  orders.mWeightWindow = aSection.Milliseconds("weight_window_ms",
                                               milliseconds(60'000),
                                               milliseconds(100),
                                               milliseconds(3'600'000));
  ReadModelSizes(aSection, orders.mLimits);
  return isEnabled ? std::optional(leader) : std::nullopt;
}

ControlSettings
ReadControlSettings(SettingsSection& aRoot)
{
  ControlSettings settings;
  auto& core = settings.mCore;
  core.mHost = HostId(aRoot.RequiredString("host"));
  core.mFailureDomain = FailureDomain(aRoot.RequiredString("failure_domain"));
  settings.mPeerListen = aRoot.RequiredEndpoint("peer_listen");
  core.mAddress = aRoot.Has("peer_address")
                    ? ToText(aRoot.RequiredEndpoint("peer_address"))
                    : ToText(settings.mPeerListen);
  settings.mRouterListen = aRoot.RequiredEndpoint("router_listen");
  for (const auto& seed : aRoot.EndpointList("seeds")) {
    core.mSeeds.push_back(ToText(seed));
  }
  settings.mKeys = ReadSharedKeys(aRoot);
  MakeKeyRing(aRoot, settings.mKeys);
  settings.mPeerTls = ReadPeerTls(aRoot.Section("peer_tls"));
  settings.mKeyValue = KeyValueSettings::Read(aRoot.Section("key_value"));
  if (aRoot.Has("host_list")) {
    settings.mHostList = HostListSettings::Read(aRoot.Section("host_list"));
  }
  settings.mListedPeerPort = std::uint16_t(
    aRoot.Integer("listed_peer_port", settings.mPeerListen.mPort, 0, 65'535));
  ReadMembership(aRoot.Section("membership"), core.mMembership);
  {
    auto loads = aRoot.Section("load_poll");
    core.mLoads.mInterval = loads.Milliseconds("interval_ms",
                                               milliseconds(1000),
                                               milliseconds(50),
                                               milliseconds(60'000));
    settings.mLoadTimeout = loads.Milliseconds(
      "timeout_ms", milliseconds(800), milliseconds(10), milliseconds(60'000));
    core.mLoads.mTakeOver = core.mLoads.mInterval * 5 / 2;
  }
  settings.mLeader = ReadLeaderSettings(aRoot.Section("orders"));
  {
    auto shutdown = aRoot.Section("shutdown");
    settings.mDrainLimit = shutdown.Milliseconds("drain_limit_ms",
                                                 milliseconds(5000),
                                                 milliseconds(0),
                                                 milliseconds(600'000));
  }
  return settings;
}

} // namespace ragwortdeck
