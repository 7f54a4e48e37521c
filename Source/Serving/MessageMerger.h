#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Collects messages of other hosts, to be passed on together.
///
/// Covers a failure domain of dozens of hosts in a fleet that reports several
/// hundred changes of load a second: a host that receives each in a datagram of
/// its own spends most of its processor time on them. Each message replaces the
/// one before from the same host.
class MessageMerger
{
public:
  /// How long a message waits for others. Hosts that choose an engine in the
  /// meantime do not know of it.
  static constexpr Duration kInterval = std::chrono::milliseconds(20);
  /// The same for a message of this failure domain: its hosts prefer the same
  /// engines, so they collide most often.
  static constexpr Duration kOwnDomainInterval = std::chrono::milliseconds(4);
  /// A message that waited longer is dropped: this host was suspended, and its
  /// sender has sent others since.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(250);
  /// Largest sum of the messages of one datagram, in bytes.
  static constexpr std::size_t kMaxBytes = std::size_t(8) << 10U;

  /// Returns when the next Take() is due.
  MonotonicTime Add(const std::string& aHost,
                    std::string aMessage,
                    bool aOwnDomain,
                    MonotonicTime aNow);
  /// Returns the messages to pass on, one element for each datagram, and
  /// forgets them.
  std::vector<std::vector<std::string>> Take(MonotonicTime aNow);

private:
  struct Item
  {
    std::string mMessage;
    MonotonicTime mAddedAt;
  };
  std::map<std::string, Item> mItems;
  /// When the next Take() is due, if mItems is not empty.
  MonotonicTime mDueAt;
};

} // namespace ragwortdeck
