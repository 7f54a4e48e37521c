#include "Control/ControlSettings.h"

#include "Core/KeySettings.h"

namespace ragwortdeck {

using std::chrono::milliseconds;

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
