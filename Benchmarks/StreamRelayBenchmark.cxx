#include "Core/Log.h"
#include "Filters/DispatcherFactory.h"
#include "Filters/Router.h"
#include "StandIns/EngineServer.h"
#include "Targets/LoadRun.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QSemaphore>
#include <QThread>
#include <QTimer>
#include <benchmark/benchmark.h>
#include <filesystem>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

using namespace ragwortdeck;

namespace {

constexpr std::uint32_t kStreams = 1000;
constexpr std::uint32_t kRounds = 1;
constexpr std::uint32_t kTokens = 100;
constexpr Duration kTokenInterval{ 50'000 };
/// New streams start over this time, so that the time to the first token is
/// measured while other streams run.
constexpr Duration kRamp{ 4'000'000 };
constexpr double kMicrosPerMilli = 1000;
constexpr double kNanosPerMicro = 1000;
constexpr double kBytesPerKilobyte = 1024;

/// \brief Runs the stand-in engine on a separate thread.
class EngineThread
{
public:
  explicit EngineThread(const EngineOptions& aOptions)
    : mThread(QThread::create([this, aOptions] {
      EngineServer server(aOptions);
      mPort = server.Listen({ "127.0.0.1", 0 });
      QEventLoop loop;
      mReady.release();
      loop.exec();
    }))
  {
    mThread->start();
    mReady.acquire();
  }
  ~EngineThread()
  {
    mThread->quit();
    mThread->wait();
  }
  EngineThread(const EngineThread&) = delete;
  EngineThread& operator=(const EngineThread&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  QSemaphore mReady;
  std::uint16_t mPort = 0;
  std::unique_ptr<QThread> mThread;
};

EngineOptions
MakeEngineOptions()
{
  EngineOptions options;
  options.mTokenInterval = kTokenInterval;
  options.mMaxBatch = 2 * kStreams;
  options.mMemoryTokens = 100'000'000;
  return options;
}

RouterSettings
MakeSettings(const std::string& aEngine)
{
  SiteView view;
  view.mTable.mVersion = 1;
  TeamRow team;
  team.mTeam = TeamName("nakuru");
  view.mTable.mTeams.emplace(team.mTeam, team);
  view.mTable.mModels[ModelName("drafts")].mModel = ModelName("drafts");
  Target target;
  target.mId = TargetId("engine-1");
  target.mAddress = aEngine;
  target.mModels = { ModelName("drafts") };
  view.mTargets.emplace(target.mId, target);
  RouterSettings settings;
  settings.mHost = HostId("entry-01");
  settings.mListen = { "127.0.0.1", 0 };
  settings.mKeys = { { "k1", "0123456789abcdef" } };
  settings.mDispatcher = "least-outstanding";
  settings.mBootstrapView = std::make_shared<const SiteView>(view);
  return settings;
}

LoadPlan
MakePlan(const std::string& aAddress, std::uint64_t aSeed)
{
  LoadPlan plan;
  plan.mAddresses = { aAddress };
  plan.mToken = KeyRing::Create({ { "k1", "0123456789abcdef" } })
                  .value()
                  .IssueTeamToken("nakuru");
  plan.mStreams = kStreams;
  plan.mRequests = kStreams;
  plan.mRamp = kRamp;
  plan.mOutputTokens = kTokens;
  plan.mSeed = aSeed;
  return plan;
}

LoadReportSheet
RunToEnd(const LoadPlan& aPlan)
{
  QEventLoop loop;
  LoadRun run(aPlan);
  run.Start([&loop] { loop.quit(); });
  loop.exec();
  return std::move(run.Report());
}

/// Processor time of the router's threads so far, in nanoseconds.
double
RouterNanos()
{
  double total = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::string name;
    std::getline(std::ifstream(entry.path() / "comm") >> std::ws, name);
    if (!name.starts_with("router-")) {
      continue;
    }
    double nanos = 0;
    std::ifstream(entry.path() / "schedstat") >> nanos;
    total += nanos;
  }
  return total;
}

double
ResidentBytes()
{
  malloc_trim(0);
  double pages = 0;
  std::ifstream file("/proc/self/statm");
  file >> pages >> pages;
  return pages * double(sysconf(_SC_PAGESIZE));
}

/// Memory used per open stream, including client and engine.
double
BytesPerIdleStream(const std::string& aAddress, std::uint64_t aSeed)
{
  auto plan = MakePlan(aAddress, aSeed);
  plan.mOutputTokens = 1'000'000;
  plan.mRamp = Duration(500'000);
  const auto before = ResidentBytes();
  LoadRun run(plan);
  run.Start([] {});
  QEventLoop loop;
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
    if (run.Report().mFirstToken.size() >= kStreams) {
      loop.quit();
    }
  });
  timer.start(50);
  loop.exec();
  return (ResidentBytes() - before) / double(kStreams);
}

void
AddSamples(LoadReportSheet& aTotal, LoadReportSheet&& aPart)
{
  aTotal.Merge(std::move(aPart));
}

double
Milliseconds(std::vector<std::int64_t>& aSamples, double aQuantile)
{
  return double(QuantileOf(aSamples, aQuantile)) / kMicrosPerMilli;
}

/// Runs 1,000 parallel streams directly to the engine and then through the
/// router, in the same run.
void
RelayThousandStreams(benchmark::State& aState)
{
  LoadReportSheet direct;
  LoadReportSheet routed;
  double nanos = 0;
  for (auto _ : aState) {
    const EngineThread engine(MakeEngineOptions());
    const QtScheduler clock;
    const auto settings = MakeSettings(engine.Address());
    const auto router = std::move(
      Router::Start(settings, MakeRouterDispatcher(settings, clock), nullptr)
        .value());
    const auto address = "127.0.0.1:" + std::to_string(router->Port());
    for (std::uint32_t n = 0; n < kRounds; ++n) {
      AddSamples(direct,
                 RunToEnd(MakePlan(engine.Address(), std::uint64_t(2) * n)));
      const auto before = RouterNanos();
      AddSamples(routed, RunToEnd(MakePlan(address, std::uint64_t(2) * n + 1)));
      nanos += RouterNanos() - before;
    }
  }
  auto& counters = aState.counters;
  for (const auto& [name, quantile] :
       { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
    const auto directMs = Milliseconds(direct.mFirstToken, quantile);
    const auto routedMs = Milliseconds(routed.mFirstToken, quantile);
    counters[std::string("straight_ms_") + name] = directMs;
    counters[std::string("routed_ms_") + name] = routedMs;
    counters[std::string("added_ms_") + name] = routedMs - directMs;
  }
  counters["gap_p99_straight_ms"] = Milliseconds(direct.mInterToken, 0.99);
  counters["gap_p99_routed_ms"] = Milliseconds(routed.mInterToken, 0.99);
  counters["cpu_us_per_token"] =
    nanos / kNanosPerMicro / double(routed.mTokens);
  counters["completed"] = double(routed.mCompleted);
  if (!routed.IsClean() ||
      routed.mCompleted != std::uint64_t(kRounds) * kStreams) {
    const auto error = "not all answers were complete:\n" + routed.ToText();
    aState.SkipWithError(error.c_str());
  }
}

/// Memory of 1,000 open streams, including client and engine. Run each of the
/// two in a separate process, since one would reuse memory freed by the other.
void
MemoryOfThousandStreams(benchmark::State& aState, bool aIsRouted)
{
  double bytes = 0;
  for (auto _ : aState) {
    const EngineThread engine(MakeEngineOptions());
    const QtScheduler clock;
    const auto settings = MakeSettings(engine.Address());
    const auto router = std::move(
      Router::Start(settings, MakeRouterDispatcher(settings, clock), nullptr)
        .value());
    const auto routed = "127.0.0.1:" + std::to_string(router->Port());
    bytes = BytesPerIdleStream(aIsRouted ? routed : engine.Address(), 1);
  }
  aState.counters["kb_per_stream"] = bytes / kBytesPerKilobyte;
}

BENCHMARK_CAPTURE(MemoryOfThousandStreams, straight, false)
  ->Iterations(1)
  ->Unit(benchmark::kSecond)
  ->UseRealTime();
BENCHMARK_CAPTURE(MemoryOfThousandStreams, routed, true)
  ->Iterations(1)
  ->Unit(benchmark::kSecond)
  ->UseRealTime();
BENCHMARK(RelayThousandStreams)
  ->Iterations(1)
  ->Unit(benchmark::kSecond)
  ->UseRealTime();

} // namespace

int
main(int argc, char** argv)
{
  QCoreApplication app(argc, argv);
  Log::Configure(LogLevel::kWarning, LogFormat::kText);
  const RcuReaderThread reader;
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
