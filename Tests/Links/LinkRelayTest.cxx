#include "StandIns/LinkRelay.h"
#include "Support/Section.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const Endpoint kAnyPort{ "127.0.0.1", 0 };

/// Runs the event loop until aCondition holds; the limit only ends a hang.
void
WaitFor(const std::function<bool()>& aCondition)
{
  const QDeadlineTimer limit(std::chrono::seconds(30));
  while (!aCondition()) {
    CPPUNIT_ASSERT_MESSAGE("condition did not become true",
                           !limit.hasExpired());
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
  }
}

/// \brief A target behind a link, and a client in front of it.
struct Path
{
  QTcpServer mServer;
  std::unique_ptr<LinkRelay> mLink;
  QTcpSocket mClient;
  QTcpSocket* mAccepted = nullptr;
  QByteArray mReceived;

  Path()
  {
    mServer.listen(QHostAddress::LocalHost, 0);
    mLink = std::make_unique<LinkRelay>(
      kAnyPort, Endpoint{ "127.0.0.1", mServer.serverPort() });
    const auto port = mLink->Listen();
    mClient.connectToHost(QHostAddress::LocalHost, port);
    WaitFor([this] { return mServer.hasPendingConnections(); });
    mAccepted = mServer.nextPendingConnection();
  }

  void SendForward(const char* aText)
  {
    mClient.write(aText);
    mClient.flush();
  }

  void ReceiveForward(const QByteArray& aExpected)
  {
    WaitFor([&] {
      mReceived += mAccepted->readAll();
      return mReceived.size() >= aExpected.size();
    });
    CPPUNIT_ASSERT_EQUAL(aExpected.toStdString(), mReceived.toStdString());
    mReceived.clear();
  }

  /// Sends a byte in the other direction, so that the link has handled all
  /// events before it.
  void Synchronize()
  {
    mAccepted->write("s");
    mAccepted->flush();
    WaitFor([this] { return mClient.bytesAvailable() > 0; });
    mClient.readAll();
  }
};

} // namespace

/// \brief The link's faults are those that scenarios rely on.
class LinkRelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkRelayTest);
  CPPUNIT_TEST(TestStallHoldsBytes);
  CPPUNIT_TEST(TestDropIsOneWay);
  CPPUNIT_TEST(TestRefuseCloses);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestStallHoldsBytes()
  {
    Path path;
    path.SendForward("a");
    path.ReceiveForward("a");
    path.mLink->SetState({ LinkMode::kStall, LinkMode::kPass, {}, false });
    path.SendForward("b");
    path.Synchronize();
    CPPUNIT_ASSERT(path.mAccepted->bytesAvailable() == 0);
    path.mLink->SetState({});
    path.ReceiveForward("b");
  }

  void TestDropIsOneWay()
  {
    Path path;
    path.mLink->SetState({ LinkMode::kDrop, LinkMode::kPass, {}, false });
    path.SendForward("lost");
    WaitFor([&] { return path.mClient.bytesToWrite() == 0; });
    path.Synchronize();
    path.mLink->SetState({});
    path.SendForward("kept");
    path.ReceiveForward("kept");
  }

  void TestRefuseCloses()
  {
    Path path;
    path.SendForward("a");
    path.ReceiveForward("a");
    path.mLink->SetState({ LinkMode::kPass, LinkMode::kPass, {}, true });
    WaitFor([&] {
      return path.mClient.state() == QAbstractSocket::UnconnectedState;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), path.mLink->OpenConnections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkRelayTest);

} // namespace ragwortdeck
