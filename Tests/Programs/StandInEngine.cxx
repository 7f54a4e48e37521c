#include "Core/Program.h"

#include "StandIns/EngineServer.h"
#include "StandIns/StandInProgram.h"

#include <QCoreApplication>
#include <array>
#include <memory>
#include <optional>

using namespace ragwortdeck;

namespace {

/// \brief Probabilities of stream faults per event.
struct FaultRates
{
  double mDuplicate = 0;
  double mSkip = 0;
  double mSwap = 0;
  double mDrop = 0;
  double mStall = 0;
  std::uint64_t mSeed = 1;
};

EngineOptions
ReadOptions(SettingsSection& aRoot)
{
  using std::chrono::milliseconds;
  EngineOptions options;
  if (aRoot.Has("models")) {
    options.mModels = aRoot.StringList("models");
  }
  options.mTokenInterval =
    Duration(aRoot.Integer("token_interval_us", 20'000, 100, 60'000'000));
  options.mPrefillPerToken =
    Duration(aRoot.Integer("prefill_per_token_us", 20, 0, 1'000'000));
  options.mMemoryTokens =
    std::uint64_t(aRoot.Integer("memory_tokens", 200'000, 1, 1'000'000'000));
  options.mMaxBatch =
    std::uint32_t(aRoot.Integer("max_batch", 256, 1, 100'000));
  options.mMinOutputTokens =
    std::uint32_t(aRoot.Integer("min_output_tokens", 16, 1, 1'000'000));
  options.mMaxOutputTokens =
    std::uint32_t(aRoot.Integer("max_output_tokens", 256, 1, 1'000'000));
  if (options.mMaxOutputTokens < options.mMinOutputTokens) {
    aRoot.Reject("max_output_tokens", "expected at least min_output_tokens");
  }
  options.mOrphanTimeout = aRoot.Milliseconds("orphan_timeout_ms",
                                              milliseconds(30'000),
                                              milliseconds(0),
                                              milliseconds(3'600'000));
  options.mModelVersion = aRoot.String("model_version", options.mModelVersion);
  auto& orders = options.mOrders;
  orders.mChecksFencing = aRoot.Boolean("checks_fencing", true);
  orders.mLoadTime = aRoot.Milliseconds("load_model_ms",
                                        milliseconds(100),
                                        milliseconds(0),
                                        milliseconds(3'600'000));
  orders.mModelBytes = std::uint64_t(aRoot.Integer(
    "model_bytes", std::int64_t(orders.mModelBytes), 1, INT64_MAX));
  orders.mMemoryBytes = std::uint64_t(aRoot.Integer(
    "memory_bytes", std::int64_t(orders.mMemoryBytes), 1, INT64_MAX));
  return options;
}

FaultRates
ReadFaults(SettingsSection aSection)
{
  FaultRates rates;
  rates.mDuplicate = aSection.Number("duplicate", 0, 0, 1);
  rates.mSkip = aSection.Number("skip", 0, 0, 1);
  rates.mSwap = aSection.Number("swap", 0, 0, 1);
  rates.mDrop = aSection.Number("drop", 0, 0, 1);
  rates.mStall = aSection.Number("stall", 0, 0, 1);
  rates.mSeed = std::uint64_t(aSection.Integer("seed", 1, 0, INT64_MAX));
  return rates;
}

EngineServer::ChooseFault
MakeFaults(const FaultRates& aRates)
{
  auto random = std::make_shared<RandomSource>(aRates.mSeed);
  return [random, aRates](const Generation&, std::int64_t, std::uint32_t) {
    double draw = random->Unit();
    const std::array<std::pair<double, StreamFault>, 5> table = { {
      { aRates.mDuplicate, StreamFault::kDuplicate },
      { aRates.mSkip, StreamFault::kSkip },
      { aRates.mSwap, StreamFault::kSwap },
      { aRates.mDrop, StreamFault::kDrop },
      { aRates.mStall, StreamFault::kStall },
    } };
    for (const auto& [rate, fault] : table) {
      if (draw < rate) {
        return fault;
      }
      draw -= rate;
    }
    return StreamFault::kNone;
  };
}

int
Serve(int& argc,
      char** argv,
      const Endpoint& aListen,
      const EngineOptions& aOptions,
      const FaultRates& aRates,
      const std::optional<Endpoint>& aWeightStore)
{
  QCoreApplication app(argc, argv);
  EngineServer server(aOptions);
  server.SetFaults(MakeFaults(aRates));
  if (aWeightStore) {
    server.SetWeightStore(*aWeightStore);
  }
  return ListenAndRun(aListen, [&server](const Endpoint& aEndpoint) {
    return server.Listen(aEndpoint);
  });
}

} // namespace

int
main(int argc, char** argv)
{
  ProgramSpec spec;
  spec.mName = "ragwort-standin-engine";
  spec.mDescription = "Stand-in for a model engine, for tests";
  spec.mLoad = [&](SettingsSection& aRoot) -> ProgramSpec::Run {
    const auto listen = aRoot.RequiredEndpoint("listen");
    const auto options = ReadOptions(aRoot);
    const auto rates =
      aRoot.Has("faults") ? ReadFaults(aRoot.Section("faults")) : FaultRates();
    std::optional<Endpoint> weights;
    if (aRoot.Has("weight_store")) {
      weights = aRoot.RequiredEndpoint("weight_store");
    }
    return [&argc, argv, listen, options, rates, weights] {
      return Serve(argc, argv, listen, options, rates, weights);
    };
  };
  return RunProgram(argc, argv, spec);
}
