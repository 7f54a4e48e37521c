#pragma once

#include "Control/ControlCore.h"
#include "Control/LeaderDuties.h"
#include "Core/KeyRing.h"
#include "Core/TlsFiles.h"
#include "Platform/HostListClient.h"
#include "Platform/HttpKeyValueStore.h"

namespace ragwortdeck {

/// \brief Settings of ragwort-control.
struct ControlSettings
{
  ControlCoreSettings mCore;
  /// Where peers and operators connect.
  Endpoint mPeerListen;
  /// Where the router of this host connects.
  Endpoint mRouterListen;
  std::vector<SharedKey> mKeys;
  /// Between control processes, and from ragwort-ctl.
  TlsFiles mPeerTls;
  KeyValueSettings mKeyValue;
  std::optional<HostListSettings> mHostList;
  /// Port at which control processes of listed entry hosts listen; 0: listed
  /// hosts are not used to find peers.
  std::uint16_t mListedPeerPort = 0;
  std::chrono::milliseconds mLoadTimeout{ 800 };
  /// Absent when "orders.enabled" is false: this host never takes the lease.
  std::optional<LeaderSettings> mLeader;
  /// Longest time that a graceful stop waits for unsent bytes.
  std::chrono::milliseconds mDrainLimit{ 5000 };
};

/// Reads "host", "failure_domain", "peer_listen", "peer_address",
/// "router_listen", "seeds", "keys", "peer_tls", "key_value", "host_list",
/// "listed_peer_port", "membership", "load_poll", "orders" and "shutdown".
ControlSettings
ReadControlSettings(SettingsSection& aRoot);

} // namespace ragwortdeck
