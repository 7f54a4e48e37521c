#pragma once

#include "Core/SiteView.h"
#include "Core/Verdict.h"
#include "Policy/CreditMessages.h"
#include "Policy/RequestTraits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace ragwortdeck {

/// Identifies a submitted request within one dispatcher; 0 is never used.
using Ticket = std::uint64_t;

/// The target to send to, or the refusal.
using DispatchDecision = std::variant<TargetId, Verdict>;
using DispatchCallback = std::function<void(const DispatchDecision&)>;

/// The refusal when no engine can serve the request.
inline Verdict
NoTarget()
{
  return { RunState::kNotRun,
           503,
           "no_target",
           "no engine serves this model now; repeat later",
           std::chrono::seconds(1) };
}

/// How a dispatched request ended on its target.
enum class DispatchOutcome
{
  kCompleted,
  kCancelled,
  /// The target refused the connection or answered with a server error.
  kTargetFailed,
  /// No token within the limit of its phase.
  kTargetStalled,
};

/// \brief A batch of changes of an engine's prefix cache.
struct CacheEvents
{
  /// Counts batches from 1. A gap invalidates earlier events.
  std::uint64_t mSequence = 0;
  /// Hashes of blocks, as in RequestTraits::mPrefixHashes.
  std::vector<std::uint64_t> mStored;
  std::vector<std::uint64_t> mRemoved;

  bool operator==(const CacheEvents&) const = default;
};

/// \brief Time limits of the phases of one dispatched request.
struct PhaseLimits
{
  Duration mConnect{ std::chrono::seconds(1) };
  Duration mFirstToken{ std::chrono::seconds(30) };
  Duration mBetweenTokens{ std::chrono::seconds(10) };
  Duration mTotal{ std::chrono::seconds(600) };

  bool operator==(const PhaseLimits&) const = default;
};

/// \brief Counts of requests and targets for metrics.
struct DispatchCounts
{
  std::uint64_t mQueued = 0;
  std::uint64_t mRunning = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mEjectedTargets = 0;

  bool operator==(const DispatchCounts&) const = default;
};

/// \brief Decides when and where each model request of one router runs.
///
/// Not thread-safe: the router calls it under one mutex. Callbacks run inside
/// Submit() or Tick() and must not call the dispatcher.
class Dispatcher
{
public:
  virtual ~Dispatcher() = default;

  /// Queues a request. aCallback runs exactly once, unless the request is
  /// cancelled first.
  virtual Ticket Submit(const RequestTraits& aTraits,
                        DispatchCallback aCallback) = 0;
  /// The target has delivered aTokens more tokens.
  virtual void OnTokens(Ticket aTicket, std::uint32_t aTokens) = 0;
  /// A dispatched request has ended; the ticket is then unknown.
  virtual void OnFinished(Ticket aTicket, DispatchOutcome aOutcome) = 0;
  /// Removes a queued request, or ends a dispatched one as cancelled.
  virtual void Cancel(Ticket aTicket) = 0;
  virtual void OnView(std::shared_ptr<const SiteView> aView) = 0;
  virtual void OnLoadReport(const TargetId& aTarget,
                            const LoadReport& aReport) = 0;
  /// Dispatches queued requests that have room now and refuses those that can
  /// no longer meet their deadline. Call at least every 50 ms.
  virtual void Tick() = 0;

  /// Batched requests to credit owners since the last call. Call every 200 ms
  /// and send each one to its mOwner.
  virtual std::vector<CreditRequest> CollectCreditRequests() { return {}; }
  /// Applies the grant of an owner.
  virtual void OnCredits(const CreditGrant& aGrant)
  {
    static_cast<void>(aGrant);
  }
  /// Sets the hosts that are alive according to membership; owners are chosen
  /// among them. Before the first call, SiteView::mEntryHosts are used.
  virtual void OnOwners(const std::vector<HostId>& aLiveHosts)
  {
    static_cast<void>(aLiveHosts);
  }
  virtual void OnCacheEvents(const TargetId& aTarget,
                             const CacheEvents& aEvents)
  {
    static_cast<void>(aTarget);
    static_cast<void>(aEvents);
  }
  /// Asks whether a request whose target failed before the first token may be
  /// submitted again. Returning true spends one retry of the budget.
  virtual bool TryRetry(const RequestTraits& aTraits)
  {
    static_cast<void>(aTraits);
    return true;
  }
  /// Time limits of a dispatched request. Call right after the decision.
  virtual PhaseLimits Limits(Ticket aTicket) const
  {
    static_cast<void>(aTicket);
    return {};
  }
  virtual DispatchCounts Counts() const { return {}; }
};

} // namespace ragwortdeck
