#pragma once

#include "Policy/Dispatcher.h"

#include <map>

namespace ragwortdeck {

/// \brief Provisional dispatcher: sends each request at once to the live
/// engine with the fewest outstanding requests of this router.
class LeastOutstandingDispatcher : public Dispatcher
{
public:
  Ticket Submit(const RequestTraits& aTraits,
                DispatchCallback aCallback) override;
  void OnTokens(Ticket, std::uint32_t) override {}
  void OnFinished(Ticket aTicket, DispatchOutcome aOutcome) override;
  void Cancel(Ticket aTicket) override;
  void OnView(std::shared_ptr<const SiteView> aView) override;
  void OnLoadReport(const TargetId&, const LoadReport&) override {}
  void Tick() override {}

private:
  const Target* Choose(const RequestTraits& aTraits) const;

  std::shared_ptr<const SiteView> mView;
  Ticket mNext = 1;
  std::map<Ticket, TargetId> mDispatched;
  std::map<TargetId, std::uint32_t> mOutstanding;
};

} // namespace ragwortdeck
