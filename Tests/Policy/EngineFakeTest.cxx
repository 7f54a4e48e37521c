#include "Policy/EngineFake.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <vector>

namespace ragwortdeck {

/// \brief Engine fake. If it never ran out of memory, preempted the wrong
/// sequence or lost tokens, every result of the benchmark would be invalid.
class EngineFakeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineFakeTest);
  CPPUNIT_TEST(TestStepTimeGrowsWithBatch);
  CPPUNIT_TEST(TestYoungestIsPreemptedAndRecomputed);
  CPPUNIT_TEST(TestFaults);
  CPPUNIT_TEST(TestFalseReport);
  CPPUNIT_TEST_SUITE_END();

  VirtualScheduler mScheduler;
  std::map<std::uint64_t, std::vector<MonotonicTime>> mTokens;
  std::vector<std::uint64_t> mFinished;
  std::vector<std::uint64_t> mLost;

  std::unique_ptr<EngineFake> Make(std::uint64_t aMemory)
  {
    EngineFakeConfig config;
    config.mMemoryTokens = aMemory;
    auto engine = std::make_unique<EngineFake>(mScheduler, config);
    engine->mOnToken = [this](auto aId) {
      mTokens[aId].push_back(mScheduler.Now());
    };
    engine->mOnFinished = [this](auto aId) { mFinished.push_back(aId); };
    engine->mOnLost = [this](auto aId) { mLost.push_back(aId); };
    return engine;
  }

  Duration LastGap(std::uint64_t aId)
  {
    const auto& times = mTokens[aId];
    return times.back() - times[times.size() - 2];
  }

public:
  void setUp() override
  {
    mTokens.clear();
    mFinished.clear();
    mLost.clear();
  }

  void TestStepTimeGrowsWithBatch()
  {
    auto engine = Make(100'000);
    engine->Start(1, 10, 1'000);
    mScheduler.Advance(std::chrono::seconds(1));
    const auto alone = LastGap(1);
    for (std::uint64_t id = 2; id <= 40; ++id) {
      engine->Start(id, 10, 1'000);
    }
    mScheduler.Advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(LastGap(1) ==
                   alone + 39 * EngineFakeConfig{}.mStepPerSequence);
  }

  void TestYoungestIsPreemptedAndRecomputed()
  {
    auto engine = Make(1'000);
    engine->Start(1, 400, 300);
    engine->Start(2, 400, 300);
    mScheduler.Advance(std::chrono::minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, engine->Preemptions());
    CPPUNIT_ASSERT((mFinished == std::vector<std::uint64_t>{ 1, 2 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 300 }, mTokens[2].size());
    Duration longest{ 0 };
    for (std::size_t i = 1; i < mTokens[2].size(); ++i) {
      longest = std::max(longest, mTokens[2][i] - mTokens[2][i - 1]);
    }
    CPPUNIT_ASSERT(longest > std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         engine->Report().mMemoryUsedTokens);
  }

  void TestFaults()
  {
    auto engine = Make(100'000);
    engine->Start(1, 10, 10'000);
    mScheduler.Advance(std::chrono::seconds(1));
    engine->Stall(std::chrono::seconds(5));
    mScheduler.Advance(std::chrono::seconds(1));
    const auto before = mTokens[1].size();
    mScheduler.Advance(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(before, mTokens[1].size());
    mScheduler.Advance(std::chrono::seconds(2));
    const auto normal = LastGap(1);
    engine->SetSlowness(3.0);
    mScheduler.Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT(LastGap(1) == 3 * normal);
    engine->Reclaim(std::chrono::seconds(2));
    mScheduler.Advance(std::chrono::seconds(1));
    CPPUNIT_ASSERT(engine->Start(2, 10, 10'000));
    mScheduler.Advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT((mLost == std::vector<std::uint64_t>{ 1, 2 }));
    CPPUNIT_ASSERT(!engine->Start(3, 10, 10));
  }

  void TestFalseReport()
  {
    auto engine = Make(100'000);
    engine->Start(1, 1'000, 10'000);
    mScheduler.Advance(std::chrono::seconds(1));
    const auto actual = engine->Report().mMemoryUsedTokens;
    engine->SetReportFactor(0.5);
    CPPUNIT_ASSERT_EQUAL(actual / 2, engine->Report().mMemoryUsedTokens);
    engine->Cancel(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         engine->Report().mMemoryUsedTokens);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineFakeTest);

} // namespace ragwortdeck
