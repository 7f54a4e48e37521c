#include "Control/LeaderDuties.h"
#include "Support/Section.h"
#include "Support/SimulatedProcess.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief The duties follow the lease and the leaving mark.
class LeaderDutiesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaderDutiesTest);
  CPPUNIT_TEST(TestLeavingHostGivesUp);
  CPPUNIT_TEST(TestOnlyTheHolderPrunes);
  CPPUNIT_TEST_SUITE_END();

  /// \brief A host with its duties.
  struct Host
  {
    Host(VirtualScheduler& aScheduler,
         const std::shared_ptr<FakeKeyValueService>& aService,
         const std::string& aName)
      : mProcess(aScheduler)
      , mStore(mProcess, aService)
      , mDuties(
          mProcess,
          mStore,
          RandomSource(std::hash<std::string>{}(aName)),
          HostId(aName),
          {},
          { [] { return std::shared_ptr<const SiteView>(); },
            [this](std::int64_t aFencing) { mChanges.push_back(aFencing); },
            [](const Target&, const EngineOrder&) {},
            [](const Target&, const EngineOrder&, OrderReport) {} })
    {
      mDuties.Start();
    }

    SimulatedProcess mProcess;
    ProcessKeyValueStore mStore;
    std::vector<std::int64_t> mChanges;
    LeaderDuties mDuties;
  };

public:
  /// Guards against a leaving host that keeps the lease, or takes it back.
  void TestLeavingHostGivesUp()
  {
    VirtualScheduler scheduler;
    const auto service = std::make_shared<FakeKeyValueService>();
    Host first(scheduler, service, "entry-1");
    scheduler.Advance(10s);
    CPPUNIT_ASSERT(first.mDuties.Lease().MayAct());
    Host second(scheduler, service, "entry-2");
    first.mDuties.SetLeaving(true);
    CPPUNIT_ASSERT(!first.mDuties.Lease().MayAct());
    scheduler.Advance(60s);
    CPPUNIT_ASSERT(!first.mDuties.Lease().MayAct());
    CPPUNIT_ASSERT(second.mDuties.Lease().MayAct());
    Section("each change is told once", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.mChanges.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), first.mChanges[1]);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.mChanges.size());
    });
    Section("a cleared mark lets it compete again", [&] {
      first.mDuties.SetLeaving(false);
      second.mDuties.Stop();
      scheduler.Advance(60s);
      CPPUNIT_ASSERT(first.mDuties.Lease().MayAct());
    });
  }

  /// Guards against edit records that pile up, and against a deletion by each
  /// host.
  void TestOnlyTheHolderPrunes()
  {
    VirtualScheduler scheduler;
    const auto service = std::make_shared<FakeKeyValueService>();
    Host first(scheduler, service, "entry-1");
    Host second(scheduler, service, "entry-2");
    scheduler.Advance(std::chrono::hours(24 * 4));
    const auto prunes = first.mDuties.Prunes() + second.mDuties.Prunes();
    CPPUNIT_ASSERT(prunes >= 3);
    CPPUNIT_ASSERT(prunes <= 9);
    CPPUNIT_ASSERT(first.mDuties.Prunes() == 0 || second.mDuties.Prunes() == 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderDutiesTest);

} // namespace ragwortdeck
