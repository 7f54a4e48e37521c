#pragma once

#include "Entry/HostExchange.h"
#include "Entry/StoreClient.h"
#include "Serving/HostListing.h"

#include <functional>

namespace ragwortdeck {

/// \brief Finds the other hosts, and keeps some of them in the host list of the
/// store.
///
/// A starting host contacts the seeds of the settings and the hosts of the
/// list; one of them introduces it to all others. Only a few hosts of each
/// failure domain are listed (ShouldBeListed).
class HostDiscovery
{
public:
  HostDiscovery(EntryContext& aContext,
                HostExchange& aExchange,
                StoreClient& aStore);

  /// Called when the host list holds no other host, so that nobody can send
  /// this host the contents yet.
  std::function<void()> mOnFirstStart;
  /// Adds the contents that this host lacks to a request to another host.
  std::function<void(HostMessage&)> mAddContentRequest;

  /// Finds the other hosts, then keeps this host's entry in the list.
  Task<void> Loop();
  /// Introduces the sender if it asks for that, and takes introductions.
  void Handle(const HostMessage& aMessage);

private:
  Task<void> FindHosts();
  /// Asks one host after the other until one introduces this host.
  Task<void> SearchUntil(MonotonicTime aUntil);
  /// Returns the listed hosts without this one, or nothing if the store cannot
  /// be read.
  Task<std::optional<std::vector<std::string>>> ReadHosts(bool aMayBeStale);
  /// Writes this host's entry and reads the list again. On failure no lease is
  /// held.
  Task<void> Register();
  /// Renews the lease of this host's entry, or forgets it if it has ended.
  Task<void> Renew();
  /// Forgets the lease of an earlier era: the store may have lost it, and given
  /// its number to another host.
  void DropLostLease();
  /// Makes this host known to all that it knows of, and asks one of them to
  /// introduce it to the others.
  void RequestIntroduction();
  void AskForIntroduction(const std::string& aHost);
  void Add(const std::vector<std::string>& aHosts);
  /// The hosts that this one has heard from lately.
  std::vector<ListingCandidate> HeardHosts() const;

  EntryContext& mContext;
  HostExchange& mExchange;
  StoreClient& mStore;
  bool mIntroduced = false;
  MonotonicTime mAskedAt;
  /// The lease of this host's entry in the host list; empty when none is held.
  std::string mLease;
  StoreEra mLeaseEra;
  MonotonicTime mRenewedAt;
};

} // namespace ragwortdeck
