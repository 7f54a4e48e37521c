#pragma once

#include "Core/RandomSource.h"
#include "Policy/Dispatcher.h"
#include "Policy/DispatcherConfig.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace ragwortdeck {

/// \brief The usual load balancing rules: each request goes to an engine at
/// once, chosen from this router's own knowledge only. Serves as the
/// baseline of the policy benchmark.
class BaselineDispatcher : public Dispatcher
{
public:
  BaselineDispatcher(DispatchPolicy aPolicy, std::uint64_t aSeed);

  Ticket Submit(const RequestTraits& aTraits,
                DispatchCallback aCallback) override;
  void OnTokens(Ticket aTicket, std::uint32_t aTokens) override;
  void OnFinished(Ticket aTicket, DispatchOutcome aOutcome) override;
  void Cancel(Ticket aTicket) override;
  void OnView(std::shared_ptr<const SiteView> aView) override;
  void OnLoadReport(const TargetId& aTarget,
                    const LoadReport& aReport) override;
  void Tick() override {}
  DispatchCounts Counts() const override { return mCounts; }

private:
  std::vector<TargetId> Candidates(const RequestTraits& aTraits) const;
  const TargetId& Choose(const std::vector<TargetId>& aCandidates);
  const TargetId& LeastOutstanding(const std::vector<TargetId>& aCandidates);
  const TargetId& LessLoadedOfTwo(const std::vector<TargetId>& aCandidates);

  DispatchPolicy mPolicy;
  RandomSource mRandom;
  std::shared_ptr<const SiteView> mView;
  std::map<TargetId, std::uint32_t> mOutstanding;
  std::unordered_map<Ticket, TargetId> mDispatched;
  Ticket mNextTicket = 1;
  std::uint64_t mNextRoundRobin;
  DispatchCounts mCounts;
};

} // namespace ragwortdeck
