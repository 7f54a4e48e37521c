#include "Control/Fabric.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

MemberState
StateSeen(const Fabric& aFabric, std::size_t aBy, std::size_t aOf)
{
  const auto* record =
    aFabric.mHosts[aBy].mCore->Members().Find(aFabric.mHosts[aOf].mId);
  CPPUNIT_ASSERT(record != nullptr);
  return record->mState;
}

std::vector<std::size_t>
Range(std::size_t aFrom, std::size_t aTo)
{
  std::vector<std::size_t> hosts;
  for (auto n = aFrom; n < aTo; ++n) {
    hosts.push_back(n);
  }
  return hosts;
}

} // namespace

/// \brief Membership of 20 hosts in 3 failure domains, in virtual time.
class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(TestJoinDeathAndRestart);
  CPPUNIT_TEST(TestLossAndOneWayCuts);
  CPPUNIT_TEST(TestFrozenProcess);
  CPPUNIT_TEST(TestSplitAndRejoin);
  CPPUNIT_TEST(TestLeave);
  CPPUNIT_TEST(TestRestartWithEarlierClock);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestJoinDeathAndRestart()
  {
    Fabric fabric(20, 3, 1);
    fabric.StartAll();
    Section("all hosts find each other", [&] {
      CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    });
    Section("a killed host is dead everywhere within 15 s", [&] {
      fabric.Kill(7);
      CPPUNIT_ASSERT(fabric.Until(15s, [&] {
        return fabric.AllAgree() &&
               StateSeen(fabric, 0, 7) == MemberState::kDead;
      }));
    });
    Section("its new process is live everywhere", [&] {
      fabric.Start(7);
      CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    });
  }

  // Guards against false deaths: a lossy network or a pair that cannot talk
  // must not remove a host that works.
  void TestLossAndOneWayCuts()
  {
    Fabric fabric(20, 3, 2);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    Section("one host hears but three others do not hear it", [&] {
      fabric.mCuts = { { 3, 4 }, { 3, 5 }, { 3, 6 } };
      fabric.mTime.Advance(60s);
      CPPUNIT_ASSERT(fabric.AllAgree());
    });
    Section("5% loss", [&] {
      fabric.Heal();
      fabric.mDrop = 0.05;
      for (int n = 0; n < 120; ++n) {
        fabric.mTime.Advance(1s);
        for (const auto& host : fabric.mHosts) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                               host.mCore->Members().LiveCount());
        }
      }
    });
  }

  // Guards against a paused process that, on waking, declares all others dead
  // because its own timers ran late.
  void TestFrozenProcess()
  {
    Fabric fabric(20, 3, 3);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    fabric.Freeze(9);
    CPPUNIT_ASSERT(fabric.Until(
      15s, [&] { return StateSeen(fabric, 0, 9) == MemberState::kDead; }));
    fabric.mTime.Advance(20s);
    fabric.Thaw(9);
    for (int n = 0; n < 200; ++n) {
      fabric.mTime.Advance(50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t(20),
                           fabric.mHosts[9].mCore->Members().LiveCount());
    }
    CPPUNIT_ASSERT(fabric.Until(10s, [&] { return fabric.AllAgree(); }));
  }

  // Guards against sides that never meet again, and against a rejoin that
  // makes members of the own side look dead.
  void TestSplitAndRejoin()
  {
    Fabric fabric(20, 3, 4);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    fabric.Split(Range(0, 8), Range(8, 20));
    CPPUNIT_ASSERT(fabric.Until(40s, [&] {
      return fabric.mHosts[0].mCore->Members().LiveCount() == 8 &&
             fabric.mHosts[19].mCore->Members().LiveCount() == 12;
    }));
    fabric.mTime.Advance(60s);
    fabric.Heal();
    std::size_t least = 20;
    const auto healed = fabric.Until(60s, [&] {
      least = std::min(least, fabric.mHosts[0].mCore->Members().LiveCount());
      return fabric.AllAgree();
    });
    CPPUNIT_ASSERT(healed);
    CPPUNIT_ASSERT(least >= 8);
  }

  void TestLeave()
  {
    Fabric fabric(20, 3, 5);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    fabric.mHosts[4].mCore->Leave();
    fabric.mTime.Advance(20ms);
    fabric.Kill(4);
    CPPUNIT_ASSERT(fabric.Until(5s, [&] { return fabric.AllAgree(); }));
    for (const auto by : { 0, 10, 19 }) {
      CPPUNIT_ASSERT(StateSeen(fabric, std::size_t(by), 4) ==
                     MemberState::kLeft);
    }
  }

  // Guards against a restarted host that is ignored for ever because its
  // clock, and so its incarnation, went backwards.
  void TestRestartWithEarlierClock()
  {
    Fabric fabric(20, 3, 6);
    fabric.StartAll();
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
    fabric.Kill(11);
    fabric.mTime.Advance(30s);
    fabric.mTime.JumpWallClock(-std::chrono::hours(1));
    fabric.Start(11);
    CPPUNIT_ASSERT(fabric.Until(20s, [&] { return fabric.AllAgree(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace ragwortdeck
