#include "Core/Program.h"
#include "StandIns/StandInProgram.h"
#include "StandIns/WeightService.h"

/// Weight store for tests; settings: "listen", "rate_per_second", "weights"
/// (list of "name" and "bytes").
int
main(int argc, char** argv)
{
  using namespace ragwortdeck;
  constexpr std::int64_t kMaxBytes = 64 << 20;
  ProgramSpec spec;
  spec.mName = "ragwort-standin-weights";
  spec.mDescription = "Stand-in of the rate-limited weight store";
  spec.mLoad = [&](SettingsSection& aSettings) -> ProgramSpec::Run {
    const auto listen = aSettings.RequiredEndpoint("listen");
    const auto rate = aSettings.Number("rate_per_second", 2, 0.001, 1e6);
    std::map<QString, qint64> weights;
    for (auto& entry : aSettings.Sections("weights")) {
      const auto name = QString::fromStdString(entry.RequiredString("name"));
      weights[name] = entry.Integer("bytes", 1024, 0, kMaxBytes);
    }
    return [listen, rate, weights, &argc, argv] {
      return RunStandIn(argc, argv, listen, [&](Scheduler& aScheduler) {
        auto service = std::make_unique<WeightService>(aScheduler);
        service->mRate = rate;
        service->mWeights = weights;
        return service;
      });
    };
  };
  return RunProgram(argc, argv, spec);
}
