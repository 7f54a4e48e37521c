#include "Controllers/ActionExecutor.h"
#include "Controllers/OrderWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 20;
constexpr int kOutageMinutes = 60;
// Two actions a second over the site, as today's need.
constexpr Duration kActionPeriod = 10s;

/// What happened within one minute.
struct Minute
{
  int mActions = 0;
  int mRan = 0;
  int mNotRun = 0;
  int mMayHaveRun = 0;
  Duration mSlowest{};
  std::uint64_t mCalls = 0;
  std::uint64_t mWorstSecond = 0;
  std::size_t mHolders = 0;
  std::uint64_t mOrders = 0;
  std::size_t mRepairs = 0;
};

/// \brief A site of 20 hosts with actions, lease and orders.
class Site
{
public:
  Site()
    : mWorld(kHosts, 6, {})
  {
    mWorld.SetModel("m", 2, "v1");
    for (std::size_t n = 0; n < kHosts; ++n) {
      auto& host = *mWorld.mHosts[n];
      mExecutors.push_back(std::make_unique<ActionExecutor>(
        host.mProcess,
        *host.mStore,
        RandomSource(100 + n),
        HostId("entry-" + std::to_string(n)),
        ActionSettings{},
        [this](const auto&, const auto&, const auto& aReport) {
          mWorld.mScheduler.Post(20ms, [this, aReport] {
            ++mRuns;
            aReport({ DispatchReport::Type::kAnswered, 200, {}, "ok" });
          });
        },
        nullptr));
      mWorld.mScheduler.Post(n * kActionPeriod / kHosts, [this, n] { Act(n); });
    }
  }

  Minute RunMinute()
  {
    mMinute = {};
    const auto orders = Orders();
    for (int second = 0; second < 60; ++second) {
      const auto before = Calls();
      mWorld.mScheduler.Advance(1s);
      const auto calls = Calls() - before;
      mMinute.mCalls += calls;
      mMinute.mWorstSecond = std::max(mMinute.mWorstSecond, calls);
    }
    for (std::size_t n = 0; n < kHosts; ++n) {
      mMinute.mHolders += mWorld.mHosts[n]->mLease->MayAct() ? 1 : 0;
      mMinute.mRepairs += mExecutors[n]->Repair().Pending();
    }
    mMinute.mOrders = Orders() - orders;
    return mMinute;
  }

  OrderWorld mWorld;
  int mRuns = 0;
  int mRanAnswers = 0;

private:
  std::uint64_t Calls() const
  {
    return mWorld.mService->mReads + mWorld.mService->mWrites;
  }

  std::uint64_t Orders() const
  {
    std::uint64_t orders = 0;
    for (const auto& host : mWorld.mHosts) {
      orders += host->mController->Counters().mSent;
    }
    return orders;
  }

  void Act(std::size_t aHost)
  {
    mWorld.mScheduler.Post(kActionPeriod, [this, aHost] { Act(aHost); });
    ++mMinute.mActions;
    const auto start = mWorld.mScheduler.Now();
    const auto key = "k" + std::to_string(mNextKey++);
    mExecutors[aHost]->Execute(
      { TeamName("taa"), "deposit/capture", key, {}, key },
      [this, start](const ActionResult& aResult) { Count(start, aResult); });
  }

  void Count(MonotonicTime aStart, const ActionResult& aResult)
  {
    const auto state = aResult.mVerdict.mState;
    mMinute.mRan += state == RunState::kRan ? 1 : 0;
    mMinute.mNotRun += state == RunState::kNotRun ? 1 : 0;
    mMinute.mMayHaveRun += state == RunState::kMayHaveRun ? 1 : 0;
    mRanAnswers += state == RunState::kRan ? 1 : 0;
    mMinute.mSlowest =
      std::max(mMinute.mSlowest, mWorld.mScheduler.Now() - aStart);
  }

  std::vector<std::unique_ptr<ActionExecutor>> mExecutors;
  Minute mMinute;
  int mNextKey = 0;
};

std::string
Row(int aMinute, const Minute& aValues)
{
  std::ostringstream row;
  const auto millis =
    std::chrono::ceil<std::chrono::milliseconds>(aValues.mSlowest);
  row << "| " << aMinute << " | " << aValues.mActions << " | " << aValues.mRan
      << " | " << aValues.mNotRun << " | " << aValues.mMayHaveRun << " | "
      << millis.count() << " | " << aValues.mRepairs << " | "
      << aValues.mHolders << " | " << aValues.mOrders << " | " << aValues.mCalls
      << " | " << aValues.mWorstSecond << " |\n";
  return row.str();
}

constexpr const char* kHeader =
  "| minute | actions | ran | not-run | may-have-run | slowest answer (ms) | "
  "repairs waiting | lease holders | orders | key-value calls | calls in the "
  "worst second |\n"
  "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

} // namespace

/// \brief A key-value service that is down for an hour, for 20 hosts. Set
/// RAGWORT_OUTAGE_TABLE to a file name to write the table of docs/outage.md.
class OutageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OutageTest);
  CPPUNIT_TEST(TestOneHour);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestOneHour()
  {
    Site site;
    std::string table = kHeader;
    // Until the first models are loaded and nothing is left to order.
    for (int minute = 0; minute < 5; ++minute) {
      site.RunMinute();
    }
    const auto before = site.RunMinute();
    table += Row(0, before);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), before.mHolders);
    CPPUNIT_ASSERT_EQUAL(before.mActions, before.mRan);

    site.mWorld.mService->mDown = true;
    std::uint64_t outageCalls = 0;
    for (int minute = 1; minute <= kOutageMinutes; ++minute) {
      if (minute == 20) {
        site.mWorld.SetModel("m", 2, "v2");
      }
      const auto values = site.RunMinute();
      table += Row(minute, values);
      outageCalls += values.mCalls;
      Section("minute " + std::to_string(minute), [&values, minute] {
        CPPUNIT_ASSERT(values.mMayHaveRun == 0);
        CPPUNIT_ASSERT(values.mSlowest <= ActionSettings{}.mDispatchWindow);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), values.mHolders);
        CPPUNIT_ASSERT(values.mWorstSecond <= kHosts);
        // An action that ran as the service went down is answered so.
        CPPUNIT_ASSERT(minute == 1 || values.mRan == 0);
        CPPUNIT_ASSERT(minute == 1 || values.mSlowest <= 1ms);
        CPPUNIT_ASSERT(minute == 1 || values.mOrders == 0);
      });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), site.mWorld.Ready("m", "v1").size());

    // The outage must not add calls to a service in trouble.
    CPPUNIT_ASSERT(outageCalls < kOutageMinutes * before.mCalls);

    site.mWorld.mService->mDown = false;
    std::uint64_t worstSecond = 0;
    Minute last;
    for (int minute = kOutageMinutes + 1; minute <= kOutageMinutes + 6;
         ++minute) {
      last = site.RunMinute();
      table += Row(minute, last);
      worstSecond = std::max(worstSecond, last.mWorstSecond);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), last.mHolders);
    CPPUNIT_ASSERT_EQUAL(last.mActions, last.mRan);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), last.mRepairs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), site.mWorld.Ready("m", "v2").size());
    CPPUNIT_ASSERT_EQUAL(site.mRuns, site.mRanAnswers);
    // No stampede: at most one more call per host and second than usual.
    CPPUNIT_ASSERT(worstSecond <= before.mWorstSecond + kHosts);
    std::cerr << '\n' << table;
    if (const char* file = std::getenv("RAGWORT_OUTAGE_TABLE")) {
      std::ofstream(file) << table;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageTest);

} // namespace ragwortdeck
