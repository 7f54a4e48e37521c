#include "Policy/CreditOwner.h"
#include "Policy/DispatcherConfig.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

const HostId kHost("entry-1");
const TeamName kTeam("bakers");

std::shared_ptr<const SiteView>
MakeView(const std::vector<HostId>& aHosts)
{
  auto view = std::make_shared<SiteView>();
  view->mEntryHosts = aHosts;
  TeamRow team;
  team.mTeam = kTeam;
  team.mMaxConcurrent = 40;
  view->mTable.mTeams.emplace(kTeam, team);
  Target engine;
  engine.mId = TargetId("engine-1");
  engine.mModels = { ModelName("drafts") };
  engine.mLoad.mMemoryTokens = 100'000;
  engine.mLoad.mMaxBatch = 100;
  view->mTargets.emplace(engine.mId, engine);
  return view;
}

RequestTraits
MakeTraits(MonotonicTime aNow)
{
  RequestTraits traits;
  traits.mTeam = kTeam;
  traits.mKind = KindName("check");
  traits.mClass = KindClass::kShort;
  traits.mModel = ModelName("drafts");
  traits.mPromptTokens = 10;
  traits.mMaxOutputTokens = 10;
  traits.mDeadline = aNow + 30s;
  return traits;
}

} // namespace

/// \brief The first requests of a process, before it has any credits.
class CreditDispatcherTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CreditDispatcherTest);
  CPPUNIT_TEST(TestStaticShareWithoutOwner);
  CPPUNIT_TEST(TestFirstRequestDoesNotWait);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a router that never serves a capped team: it received the
  /// live hosts before the host list, and control then stopped.
  void TestStaticShareWithoutOwner()
  {
    VirtualScheduler scheduler;
    DispatcherConfig config;
    config.mHost = kHost;
    const auto dispatcher = MakeDispatcher(config, scheduler);
    dispatcher->OnOwners({ kHost, HostId("entry-2") });
    dispatcher->OnView(MakeView({}));
    dispatcher->OnView(MakeView({ kHost, HostId("entry-2") }));
    int dispatched = 0;
    for (int n = 0; n < 10; ++n) {
      dispatcher->Submit(
        MakeTraits(scheduler.Now()), [&](const DispatchDecision& aDecision) {
          dispatched += std::holds_alternative<TargetId>(aDecision);
        });
    }
    // Half of the cap of 40 is static and divided between two hosts.
    CPPUNIT_ASSERT_EQUAL(10, dispatched);
  }

  /// Guards against an owner that starts its waiting time only at the first
  /// request, which delays the first request of each team by 1.5 s.
  void TestFirstRequestDoesNotWait()
  {
    VirtualScheduler scheduler;
    CreditOwner owner(kHost, scheduler);
    owner.OnView(MakeView({ kHost }));
    owner.OnOwners({ kHost });
    const auto requestStreams = [](CreditOwner& aOwner) {
      CreditRequest request;
      request.mFrom = kHost;
      request.mOwner = kHost;
      request.mSequence = 1;
      CreditAsk streams;
      streams.mKind = CreditKind::kTeamStreams;
      streams.mName = kTeam.Value();
      streams.mWanted = 30;
      request.mAsks = { streams };
      return aOwner.OnRequest(request).mShares.at(0).mAmount;
    };
    Section("a new owner waits one lifetime", [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), requestStreams(owner));
    });
    Section("then a limit that nobody asked for before is granted at once",
            [&] {
              CreditOwner idle(kHost, scheduler);
              idle.OnView(MakeView({ kHost }));
              idle.OnOwners({ kHost });
              scheduler.Advance(Duration(kCreditLifetimeMicros));
              CPPUNIT_ASSERT(requestStreams(idle) > 0);
            });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditDispatcherTest);

} // namespace ragwortdeck
