#include "Policy/DispatcherConfig.h"
#include "Policy/Workload.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace ragwortdeck {

namespace {

/// Submits aCount requests and counts the targets.
std::map<TargetId, int>
CountTargets(Dispatcher& aDispatcher, const RequestTraits& aTraits, int aCount)
{
  std::map<TargetId, int> counts;
  for (int i = 0; i < aCount; ++i) {
    aDispatcher.Submit(aTraits, [&](const DispatchDecision& aDecision) {
      if (const auto* target = std::get_if<TargetId>(&aDecision)) {
        ++counts[*target];
      }
    });
  }
  return counts;
}

} // namespace

/// \brief Baseline policies. If they skipped live engines, used dead ones or
/// ignored their own outstanding work, every other policy would look
/// better than it is.
class BaselineDispatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BaselineDispatcherTest);
  CPPUNIT_TEST(TestSpread);
  CPPUNIT_TEST(TestDownAndExcludedEngines);
  CPPUNIT_TEST(TestNoTarget);
  CPPUNIT_TEST_SUITE_END();

  VirtualScheduler mScheduler;
  Workload mWorkload{ BenchmarkCase{}, 1 };
  RequestTraits mTraits = mWorkload.TraitsOf(Arrival{});

  std::unique_ptr<Dispatcher> Make(DispatchPolicy aPolicy)
  {
    DispatcherConfig config;
    config.mPolicy = aPolicy;
    auto dispatcher = MakeDispatcher(config, mScheduler);
    dispatcher->OnView(mWorkload.View(TargetId()));
    return dispatcher;
  }

public:
  void TestSpread()
  {
    for (const auto policy :
         { DispatchPolicy::kRoundRobin, DispatchPolicy::kLeastOutstanding }) {
      for (const auto& [id, n] : CountTargets(*Make(policy), mTraits, 140)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(id.Value(), 10, n);
      }
    }
    const auto counts =
      CountTargets(*Make(DispatchPolicy::kTwoRandomChoices), mTraits, 1'400);
    for (const auto& [id, n] : counts) {
      CPPUNIT_ASSERT_MESSAGE(id.Value(), n > 80 && n < 120);
    }
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 14 },
      CountTargets(*Make(DispatchPolicy::kRandom), mTraits, 1'400).size());
  }

  void TestDownAndExcludedEngines()
  {
    auto dispatcher = Make(DispatchPolicy::kRoundRobin);
    dispatcher->OnView(mWorkload.View(Workload::EngineAt(3)));
    mTraits.mExcluded = { Workload::EngineAt(4) };
    const auto counts = CountTargets(*dispatcher, mTraits, 60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, counts.size());
    CPPUNIT_ASSERT(!counts.contains(Workload::EngineAt(3)));
    CPPUNIT_ASSERT(!counts.contains(Workload::EngineAt(4)));
  }

  void TestNoTarget()
  {
    auto dispatcher = Make(DispatchPolicy::kRandom);
    mTraits.mModel = ModelName("unknown");
    CPPUNIT_ASSERT(CountTargets(*dispatcher, mTraits, 5).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, dispatcher->Counts().mRefused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaselineDispatcherTest);

} // namespace ragwortdeck
