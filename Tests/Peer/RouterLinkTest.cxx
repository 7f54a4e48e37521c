#include "Peer/RouterLink.h"
#include "Core/QtScheduler.h"
#include "Peer/RouterLinkServer.h"
#include "Support/Section.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

PeerIdentity
Identity(const char* aSecret = "0123456789abcdef")
{
  return { HostId("entry-01"),
           1,
           std::make_shared<const KeyRing>(
             KeyRing::Create({ { "k", aSecret } }).value()),
           {},
           {} };
}

bool
WaitFor(const std::function<bool()>& aDone)
{
  QElapsedTimer timer;
  timer.start();
  while (!aDone() && timer.elapsed() < 20'000) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return aDone();
}

SiteView
ViewOf(std::uint64_t aVersion)
{
  SiteView view;
  view.mTable.mVersion = aVersion;
  return view;
}

} // namespace

/// \brief The link between control and router over real sockets.
class RouterLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RouterLinkTest);
  CPPUNIT_TEST(TestViewsUsageAndRestart);
  CPPUNIT_TEST(TestForeignKey);
  CPPUNIT_TEST_SUITE_END();

  QtScheduler mScheduler;
  std::vector<UsageMessage> mUsage;

  std::unique_ptr<RouterLinkServer> Serve(std::uint16_t aPort)
  {
    return std::move(
      RouterLinkServer::Listen(
        mScheduler,
        Identity(),
        { "127.0.0.1", aPort },
        { [this](const UsageMessage& aUsage) { mUsage.push_back(aUsage); },
          [](PeerConnection&, const PeerMessage&) {},
          [] {} })
        .value());
  }

public:
  // Guards against a control fault that reaches the request path: the router
  // keeps its view while control is away, and never goes back to an older
  // table.
  void TestViewsUsageAndRestart()
  {
    auto server = Serve(0);
    const auto port = server->Port();
    std::vector<std::uint64_t> versions;
    std::vector<std::string> others;
    RouterLinkSettings settings;
    settings.mControl = { "127.0.0.1", port };
    RouterLink link(
      mScheduler,
      RandomSource(1),
      Identity(),
      settings,
      { [&](const std::shared_ptr<const SiteView>& aView) {
         versions.push_back(aView->mTable.mVersion);
       },
        [&](const PeerMessage& aMessage) { others.push_back(aMessage.mType); },
        {} });
    CPPUNIT_ASSERT(!link.Send(UsageMessage{}));
    server->Publish(ViewOf(3));
    link.Start();
    Section("view, usage and other messages", [&] {
      CPPUNIT_ASSERT(WaitFor([&] { return link.View() != nullptr; }));
      UsageMessage usage;
      usage.mTeams[TeamName("taa")].mTokens = 5;
      CPPUNIT_ASSERT(link.Send(usage));
      server->Send(PeerMessage::Of(StatusFetchMessage{}));
      CPPUNIT_ASSERT(
        WaitFor([&] { return !mUsage.empty() && !others.empty(); }));
      CPPUNIT_ASSERT(mUsage[0] == usage);
    });
    Section("control goes away", [&] {
      server.reset();
      CPPUNIT_ASSERT(WaitFor([&] { return !link.IsConnected(); }));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), link.View()->mTable.mVersion);
    });
    Section("control returns with an older table, then a newer one", [&] {
      versions.clear();
      server = Serve(port);
      server->Publish(ViewOf(2));
      CPPUNIT_ASSERT(WaitFor([&] { return !versions.empty(); }));
      server->Publish(ViewOf(4));
      CPPUNIT_ASSERT(WaitFor([&] { return versions.back() == 4; }));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), versions.front());
    });
    Section("a drain ends", [&] {
      bool done = false;
      server->Drain(1s, [&] { done = true; });
      CPPUNIT_ASSERT(WaitFor([&] { return done; }));
    });
  }

  void TestForeignKey()
  {
    auto server = Serve(0);
    RouterLinkSettings settings;
    settings.mControl = { "127.0.0.1", server->Port() };
    settings.mReconnectMin = 10ms;
    bool connected = false;
    RouterLink link(mScheduler,
                    RandomSource(1),
                    Identity("another secret 16"),
                    settings,
                    { [](const std::shared_ptr<const SiteView>&) {},
                      [](const PeerMessage&) {},
                      [&](bool) { connected = true; },
                      {},
                      {} });
    link.Start();
    QElapsedTimer timer;
    timer.start();
    WaitFor([&] { return timer.elapsed() > 200; });
    CPPUNIT_ASSERT(!connected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server->RouterCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterLinkTest);

} // namespace ragwortdeck
