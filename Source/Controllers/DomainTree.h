#pragma once

#include "Controllers/MembershipMessages.h"

#include <map>

namespace ragwortdeck {

/// \brief Ranks the live hosts of each failure domain and arranges them as a
/// tree of bounded fan-out, the highest ranks as roots.
///
/// The host at position p passes on to the fan-out hosts from position
/// roots + fan-out * p on, so that each host below the roots has one parent.
class DomainTree
{
public:
  DomainTree(HostId aSelf,
             FailureDomain aFailureDomain,
             std::size_t aRoots,
             std::size_t aFanOut);

  /// All members that are alive or under suspicion, with this host. Suspects
  /// get no place: they cannot be relied on to pass anything on.
  void Update(const std::vector<MemberRecord>& aMembers);

  bool IsRoot() const;
  /// Hosts that this host passes on to.
  std::vector<HostId> Children() const;
  /// Roots of all domains, without this host.
  std::vector<HostId> AllRoots() const;
  /// Rank of a host; the highest ranks are roots.
  static std::uint64_t Rank(const HostId& aHost);

private:
  const std::vector<HostId>& OwnDomain() const;

  HostId mSelf;
  FailureDomain mFailureDomain;
  std::size_t mRoots;
  std::size_t mFanOut;
  /// Hosts by domain, highest rank first.
  std::map<FailureDomain, std::vector<HostId>> mDomains;
};

} // namespace ragwortdeck
