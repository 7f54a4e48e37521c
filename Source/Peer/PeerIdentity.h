#pragma once

#include "Core/Ids.h"
#include "Core/KeyRing.h"

#include <QSslConfiguration>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace ragwortdeck {

/// \brief Who a process is to its peers, and the keys it authenticates with.
struct PeerIdentity
{
  HostId mHost;
  /// Start time of the process, milliseconds since the epoch.
  std::uint64_t mIncarnation = 0;
  std::shared_ptr<const KeyRing> mKeys;
  /// Hybrid logical time for the header of each message; may be empty.
  std::function<std::uint64_t()> mTime;
  /// Called with the time of each authenticated message; may be empty.
  std::function<void(std::uint64_t)> mObserveTime;
  /// Encrypts connections in both directions; none: they are only signed.
  std::optional<QSslConfiguration> mTls{};
};

} // namespace ragwortdeck
