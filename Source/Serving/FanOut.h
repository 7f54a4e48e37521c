#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"

#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Another host, as a receiver of messages to the whole fleet.
struct Receiver
{
  std::string mName;
  /// Empty when not known, as for a host that runs an older version.
  std::string mFailureDomain;
  int mLinkMbps = 0;
  /// Time since its last message.
  Duration mSilentFor{ 0 };
  bool operator==(const Receiver&) const = default;
};

/// \brief To whom a host sends one message that is meant for all hosts.
struct FanOut
{
  /// Hosts that receive the message itself.
  std::vector<std::string> mDirect;
  /// Hosts that pass the message on within their failure domain.
  std::vector<std::string> mRelays;
  bool operator==(const FanOut&) const = default;
};

/// \brief How much depends on one message to all hosts.
enum class MessageClass
{
  /// The next one replaces it within a second.
  kRoutine,
  /// It is not repeated: each domain gets it from two relays.
  kImportant,
  /// Like kImportant, and so large that only fast links pass it on.
  kLarge,
};

/// Plans one message to all of aReceivers.
///
/// Covers a large fleet in which every start and end of a generation is
/// reported to all hosts: sent to each directly, the copies between failure
/// domains grow with the product of hosts and generations. Each other domain
/// gets one copy, and the host that receives it passes it on. That host is
/// chosen anew for each message, so no host coordinates a domain, and one that
/// is lost, frozen or cut off costs its domain single messages until it counts
/// as silent.
///
/// Hosts of aOwnDomain, of an unknown domain or of a small domain receive the
/// message directly. Hosts that were silent for kSilentAfter or longer are not
/// chosen while others are left in their domain.
FanOut
PlanFanOut(const std::string& aOwnDomain,
           const std::vector<Receiver>& aReceivers,
           MessageClass aClass,
           RandomSource& aRandom);

} // namespace ragwortdeck
