#pragma once

#include "Core/Clock.h"
#include "Core/RandomSource.h"

#include <cstdint>
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
  /// Its version receives several messages in one datagram.
  bool mAcceptsMerged = false;
  bool operator==(const Receiver&) const = default;
};

/// \brief To whom a host sends one message that is meant for all hosts.
struct FanOut
{
  /// Hosts that receive the message itself.
  std::vector<std::string> mDirect;
  /// Hosts that pass the message on at once within their failure domain.
  std::vector<std::string> mRelays;
  /// Hosts that pass the message on within their failure domain, together with
  /// other messages.
  std::vector<std::string> mCollectors;
  /// The sender itself collects the message for its failure domain.
  bool mCollectsOwn = false;
  bool operator==(const FanOut&) const = default;
};

/// \brief How much depends on one message to all hosts.
enum class MessageClass
{
  /// The next one replaces it within a second, and it may wait to be sent with
  /// others.
  kRoutine,
  /// It is not repeated: each domain gets it from two relays.
  kImportant,
  /// Like kImportant, and so large that only fast links pass it on.
  kLarge,
};

/// Plans one message from aSelf to all of aReceivers.
///
/// Covers a large fleet in which every start and end of a generation is
/// reported to all hosts: sent to each directly, the copies between failure
/// domains grow with the product of hosts and generations. Each other domain
/// gets one copy, and the host that receives it passes it on. That host is
/// chosen anew for each message, so no host coordinates a domain, and one that
/// is lost, frozen or cut off costs its domain single messages until it counts
/// as silent.
///
/// In a domain of dozens of hosts the datagrams themselves are the cost: a
/// hundred bytes each, several hundred a second to every host. There routine
/// messages go to one of a few collectors, the hosts with the fastest links,
/// which pass on in one datagram what arrives within a short time
/// (MessageMerger). aTurn counts the sender's messages: successive ones take
/// different collectors, so that a lost collector costs single messages, never
/// all of a sender's.
///
/// Hosts of aSelf's domain, of an unknown domain or of a small domain receive
/// the message directly. Hosts that were silent for kSilentAfter or longer are
/// not chosen while others are left in their domain.
FanOut
PlanFanOut(const Receiver& aSelf,
           const std::vector<Receiver>& aReceivers,
           MessageClass aClass,
           std::uint64_t aTurn,
           RandomSource& aRandom);

} // namespace ragwortdeck
