#include "Events/EventRecorder.h"

#include <benchmark/benchmark.h>

namespace {

using namespace ragwortdeck;

WallTime
Now()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::system_clock::now());
}

// Goal: under 200 ns per event on the request path.
void
BenchmarkRecord(benchmark::State& aState)
{
  static HybridClock sClock(Now);
  static EventRecorder sRecorder(HostId("entry-1"), "router", sClock, {});
  EventFields fields;
  fields.mType = EventType::kFirstToken;
  fields.mRequest = "entry-01-0123456789abcdef";
  fields.mTarget = "engine-07";
  fields.mAttempt = 1;
  fields.mTableVersion = 42;
  for (auto _ : aState) {
    sRecorder.Record(fields);
  }
  aState.SetItemsProcessed(aState.iterations());
}

void
BenchmarkSnapshot(benchmark::State& aState)
{
  HybridClock clock(Now);
  EventRecorder recorder(HostId("entry-1"), "router", clock, {});
  for (int n = 0; n < 10'000; ++n) {
    recorder.Record({});
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(recorder.Snapshot());
  }
}

BENCHMARK(BenchmarkRecord)->Threads(1)->Threads(4);
BENCHMARK(BenchmarkSnapshot)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
