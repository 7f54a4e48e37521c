#include "Policy/CreditOwner.h"
#include "Policy/DispatcherConfig.h"

#include <benchmark/benchmark.h>
#include <memory>
#include <string>
#include <vector>

/// Cost of one decision of the default dispatcher by the number of targets and
/// teams. "Decision" submits and finishes one request; "Tick" is the periodic
/// work with no request waiting; "Exchange" is one exchange of messages with
/// the credit owners.
namespace {

using namespace ragwortdeck;
using namespace std::chrono_literals;

/// \brief Clock that the benchmark advances.
class StepClock : public Clock
{
public:
  MonotonicTime Now() const override { return mNow; }
  WallTime WallNow() const override
  {
    return WallTime(mNow.time_since_epoch());
  }

  MonotonicTime mNow{ 1h };
};

std::shared_ptr<const SiteView>
MakeView(std::int64_t aTargets, std::int64_t aTeams)
{
  auto view = std::make_shared<SiteView>();
  view->mTable.mVersion = 1;
  view->mEntryHosts = { HostId("entry-1") };
  KindRow kind;
  kind.mKind = KindName("check");
  kind.mClass = KindClass::kShort;
  view->mTable.mKinds.emplace(kind.mKind, kind);
  for (std::int64_t n = 0; n < aTeams; ++n) {
    TeamRow row;
    row.mTeam = TeamName("team-" + std::to_string(n));
    view->mTable.mTeams.emplace(row.mTeam, row);
  }
  for (std::int64_t n = 0; n < aTargets; ++n) {
    Target target;
    target.mId = TargetId("engine-" + std::to_string(n));
    target.mFailureDomain = FailureDomain("domain-" + std::to_string(n % 3));
    target.mModels = { ModelName("drafts") };
    target.mLoad.mMemoryTokens = 1'000'000;
    target.mLoad.mMaxBatch = 1'000;
    view->mTargets.emplace(target.mId, target);
  }
  return view;
}

/// \brief The dispatcher of one router, whose host owns all credits.
class DispatcherFixture
{
public:
  explicit DispatcherFixture(const benchmark::State& aState)
    : mTeams(aState.range(1))
    , mView(MakeView(aState.range(0), mTeams))
    , mOwner(HostId("entry-1"), mClock)
  {
    DispatcherConfig config;
    config.mHost = HostId("entry-1");
    config.mFailureDomain = FailureDomain("domain-0");
    mDispatcher = MakeDispatcher(config, mClock);
    mDispatcher->OnView(mView);
    mOwner.OnView(mView);
    mOwner.OnOwners({ HostId("entry-1") });
    for (const auto& [id, target] : mView->mTargets) {
      mDispatcher->OnLoadReport(id, target.mLoad);
      mOwner.OnLoadReport(id, target.mLoad);
    }
    // Submits a request of every team and passes the waiting time of the owner.
    for (std::int64_t n = 0; n < mTeams; ++n) {
      Decide();
    }
    for (int n = 0; n < 20; ++n) {
      mClock.mNow += 200ms;
      Exchange();
    }
  }

  void Decide()
  {
    RequestTraits traits;
    traits.mTeam = TeamName("team-" + std::to_string(mNext++ % mTeams));
    traits.mKind = KindName("check");
    traits.mClass = KindClass::kShort;
    traits.mModel = ModelName("drafts");
    traits.mPromptTokens = 100;
    traits.mMaxOutputTokens = 100;
    traits.mDeadline = mClock.mNow + 30s;
    bool isDispatched = false;
    const auto ticket =
      mDispatcher->Submit(traits, [&](const DispatchDecision& aDecision) {
        isDispatched = std::holds_alternative<TargetId>(aDecision);
      });
    if (isDispatched) {
      mDispatcher->OnTokens(ticket, 1);
      mDispatcher->OnFinished(ticket, DispatchOutcome::kCompleted);
      ++mDispatched;
    } else {
      mDispatcher->Cancel(ticket);
    }
  }

  void Tick() { mDispatcher->Tick(); }

  void Exchange()
  {
    for (const auto& request : mDispatcher->CollectCreditRequests()) {
      mDispatcher->OnCredits(mOwner.OnRequest(request));
    }
  }

  std::uint64_t mDispatched = 0;

private:
  std::int64_t mTeams;
  std::int64_t mNext = 0;
  StepClock mClock;
  std::shared_ptr<const SiteView> mView;
  CreditOwner mOwner;
  std::unique_ptr<Dispatcher> mDispatcher;
};

void
BenchmarkDecision(benchmark::State& aState)
{
  DispatcherFixture fixture(aState);
  const auto before = fixture.mDispatched;
  for (auto _ : aState) {
    fixture.Decide();
  }
  aState.counters["dispatched"] =
    double(fixture.mDispatched - before) / double(aState.iterations());
}

void
BenchmarkTick(benchmark::State& aState)
{
  DispatcherFixture fixture(aState);
  for (auto _ : aState) {
    fixture.Tick();
  }
}

void
BenchmarkExchange(benchmark::State& aState)
{
  DispatcherFixture fixture(aState);
  for (auto _ : aState) {
    fixture.Exchange();
  }
}

void
Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  for (const int targets : { 14, 140, 1'400, 4'000 }) {
    aBenchmark->Args({ targets, 10 });
  }
  for (const int teams : { 100, 1'000, 4'900 }) {
    aBenchmark->Args({ 14, teams });
  }
  aBenchmark->Args({ 4'000, 4'900 });
}

BENCHMARK(BenchmarkDecision)->Apply(Sizes);
BENCHMARK(BenchmarkTick)->Apply(Sizes);
BENCHMARK(BenchmarkExchange)->Apply(Sizes);

} // namespace

BENCHMARK_MAIN();
