#include "Filters/DispatcherFactory.h"

#include "Core/RandomSource.h"
#include "Policy/DispatcherConfig.h"

#include <array>
#include <chrono>
#include <utility>

namespace ragwortdeck {

namespace {

constexpr std::array<std::pair<const char*, DispatchPolicy>, 7> kPolicies = { {
  { "credits", DispatchPolicy::kCredits },
  { "corrected", DispatchPolicy::kCorrected },
  { "independent", DispatchPolicy::kIndependent },
  { "least-outstanding", DispatchPolicy::kLeastOutstanding },
  { "two-random-choices", DispatchPolicy::kTwoRandomChoices },
  { "round-robin", DispatchPolicy::kRoundRobin },
  { "random", DispatchPolicy::kRandom },
} };

} // namespace

std::vector<std::string>
DispatcherNames()
{
  std::vector<std::string> names;
  names.reserve(kPolicies.size());
  for (const auto& [name, policy] : kPolicies) {
    names.emplace_back(name);
  }
  return names;
}

std::unique_ptr<Dispatcher>
MakeRouterDispatcher(const RouterSettings& aSettings, const Clock& aClock)
{
  DispatcherConfig config;
  for (const auto& [name, policy] : kPolicies) {
    if (aSettings.mDispatcher == name) {
      config.mPolicy = policy;
    }
  }
  config.mHost = aSettings.mHost;
  config.mFailureDomain = aSettings.mFailureDomain;
  config.mIncarnation =
    std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
  config.mSeed = RandomSource::SystemSeed();
  return MakeDispatcher(config, aClock);
}

} // namespace ragwortdeck
