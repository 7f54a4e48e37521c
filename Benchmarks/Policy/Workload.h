#pragma once

#include "Core/RandomSource.h"
#include "Policy/PolicyBenchmark.h"

#include <memory>
#include <vector>

namespace ragwortdeck {

/// \brief One request of a caller.
struct Arrival
{
  MonotonicTime mTime;
  std::uint32_t mHost = 0;
  std::uint32_t mTeam = 0;
  bool mShort = false;
  std::uint32_t mPromptTokens = 0;
  /// Not known to the dispatcher.
  std::uint32_t mOutputTokens = 0;
};

/// \brief Generates table, targets and arrivals of a case from the seed.
class Workload
{
public:
  static constexpr std::uint32_t kTeams = 10;

  Workload(const BenchmarkCase& aCase, std::uint64_t aSeed);

  const std::vector<Arrival>& Arrivals() const { return mArrivals; }
  /// The view at the start; aDown names an engine that is down, or is empty.
  std::shared_ptr<const SiteView> View(const TargetId& aDown) const;
  RequestTraits TraitsOf(const Arrival& aArrival) const;
  /// Service in tokens, by which shares are measured: the prompt plus the true
  /// mean output of the kind.
  double Service(const Arrival& aArrival) const;

  static HostId HostAt(std::uint32_t aIndex);
  static TargetId EngineAt(std::uint32_t aIndex);
  static TeamName TeamAt(std::uint32_t aIndex);
  static std::uint32_t ShareOf(std::uint32_t aTeam);
  static FailureDomain DomainAt(std::uint32_t aIndex);

private:
  std::uint32_t DrawTeam();
  Arrival Draw(MonotonicTime aTime);

  BenchmarkCase mCase;
  RandomSource mRandom;
  std::vector<Arrival> mArrivals;
};

} // namespace ragwortdeck
