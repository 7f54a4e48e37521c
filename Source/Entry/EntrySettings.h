#pragma once

#include "Core/Settings.h"
#include "Serving/FleetRetryAllowance.h"

namespace ragwortdeck {

/// \brief Settings of an entry process; docs/entry.md lists the keys.
struct EntrySettings
{
  std::string mHost;
  std::string mFailureDomain;
  /// Rate of this host's network link; 0 when not known. Hosts with faster
  /// links work for the others.
  int mLinkMbps = 0;
  Endpoint mCallers;
  Endpoint mReady;
  /// UDP, for messages between hosts; the same port on all of them.
  Endpoint mPeers;
  Endpoint mMetrics;
  Endpoint mStore;
  std::vector<Endpoint> mSeeds;
  /// A key that was removed must not be served this long after.
  bool mStrictKeys = true;
  std::chrono::milliseconds mKeyRemoval{ 5000 };
  /// Within this a change of the table must be in force.
  std::chrono::milliseconds mTableChange{ 2000 };
  std::chrono::milliseconds mShutdownGrace{ 8000 };
  FleetRetryAllowance::Bounds mRetries;

  bool operator==(const EntrySettings&) const = default;
};

EntrySettings
ReadEntrySettings(SettingsSection& aRoot);

} // namespace ragwortdeck
