#pragma once

#include "Core/SiteView.h"
#include "Core/Verdict.h"
#include "Policy/RequestTraits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace ragwortdeck {

/// Names a submitted request within one dispatcher; 0 is never used.
using Ticket = std::uint64_t;

/// The target to send to, or the refusal.
using DispatchDecision = std::variant<TargetId, Verdict>;
using DispatchCallback = std::function<void(const DispatchDecision&)>;

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
  /// Dispatches what has become possible and refuses what has become
  /// hopeless. Call at least every 50 ms.
  virtual void Tick() = 0;
};

} // namespace ragwortdeck
