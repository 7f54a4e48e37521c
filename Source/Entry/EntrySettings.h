#pragma once

#include "Core/Settings.h"
#include "Serving/FleetRetryAllowance.h"

namespace ragwortdeck {

/// \brief Settings of an entry process; docs/entry.md lists the keys.
struct EntrySettings
{
  std::string mHost;
  std::string mFailureDomain;
  /// Bandwidth of this host's network link; 0 when not known. Hosts with faster
  /// links do shared work for the others.
  int mLinkMbps = 0;
  /// Memory and file descriptors that this process may use.
  std::size_t mMemoryBytes = std::size_t(96) << 20U;
  std::size_t mMaxDescriptors = 1024;
  Endpoint mCallers;
  /// For readiness probes.
  Endpoint mReady;
  /// UDP, for messages between hosts; the port is the same on all hosts.
  Endpoint mPeers;
  Endpoint mMetrics;
  /// The key-value store.
  Endpoint mStore;
  /// Hosts that are contacted first.
  std::vector<Endpoint> mSeeds;
  /// Whether a removed key must be rejected once mKeyRemoval has passed since
  /// its removal.
  bool mStrictKeys = true;
  std::chrono::milliseconds mKeyRemoval{ 5000 };
  /// A change of the table must take effect within this time.
  std::chrono::milliseconds mTableChange{ 2000 };
  /// A leaving target takes requests for this long after its notice.
  std::chrono::milliseconds mDrainTime{ 2000 };
  std::chrono::milliseconds mShutdownGrace{ 8000 };
  FleetRetryAllowance::Bounds mRetries;

  bool operator==(const EntrySettings&) const = default;
};

EntrySettings
ReadEntrySettings(SettingsSection& aRoot);

} // namespace ragwortdeck
