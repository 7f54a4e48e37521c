#include "Core/QtScheduler.h"
#include "Core/TlsFiles.h"
#include "Peer/ControlMessages.h"
#include "Peer/PeerServer.h"
#include "Support/EventLoop.h"
#include "Support/Section.h"
#include "Support/TestCertificate.h"

#include <QTemporaryDir>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Encrypted connections between peers.
class PeerTlsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerTlsTest);
  CPPUNIT_TEST(TestConnections);
  CPPUNIT_TEST(TestFiles);
  CPPUNIT_TEST_SUITE_END();

  /// A certificate of its own authority.
  TlsFiles MakeFiles(const QString& aName) const
  {
    const auto certificate = mFolder.filePath(aName + ".pem");
    const auto key = mFolder.filePath(aName + "-key.pem");
    WriteTestCertificate(certificate, key, kPeerTlsName);
    return { certificate.toStdString(),
             key.toStdString(),
             certificate.toStdString() };
  }

  static PeerIdentity Identity(const char* aHost, const TlsFiles& aFiles)
  {
    PeerIdentity identity;
    identity.mHost = HostId(aHost);
    identity.mIncarnation = 1;
    identity.mKeys = std::make_shared<const KeyRing>(
      KeyRing::Create({ { "k", "0123456789abcdef" } }).value());
    identity.mTls = LoadTls(aFiles).value();
    return identity;
  }

  /// True when the client's message arrives, false when it is refused.
  bool Arrives(const TlsFiles& aServer, const TlsFiles& aClient)
  {
    QtScheduler scheduler;
    bool hasArrived = false;
    bool isClosed = false;
    const auto server =
      PeerServer::Listen(scheduler,
                         Identity("server", aServer),
                         { "127.0.0.1", 0 },
                         {},
                         { [](PeerConnection&) {},
                           [&](PeerConnection&, const PeerMessage& aMessage) {
                             hasArrived = aMessage.Is<StatusFetchMessage>();
                           },
                           [](PeerConnection&) {} });
    PeerConnection* opened = nullptr;
    PeerConnection client(scheduler,
                          Identity("client", aClient),
                          { "127.0.0.1", server.value()->Port() },
                          {},
                          { [&] { opened->SendBody(StatusFetchMessage{}); },
                            [](const PeerMessage&) {},
                            [&](const std::string&) { isClosed = true; } });
    opened = &client;
    RunEventLoopUntil([&] { return hasArrived || isClosed; });
    client.Abort();
    return hasArrived;
  }

public:
  /// Guards against TLS that is set and not used, and against a side that
  /// accepts any certificate.
  void TestConnections()
  {
    const auto site = MakeFiles("site");
    const auto other = MakeFiles("other");
    Section("both sides with certificates of the authority",
            [&] { CPPUNIT_ASSERT(Arrives(site, site)); });
    Section("neither side", [&] { CPPUNIT_ASSERT(Arrives({}, {})); });
    Section("one side only", [&] {
      CPPUNIT_ASSERT(!Arrives(site, {}));
      CPPUNIT_ASSERT(!Arrives({}, site));
    });
    Section("a client of another authority", [&] {
      auto client = other;
      client.mAuthority = site.mAuthority;
      CPPUNIT_ASSERT(!Arrives(site, client));
    });
    Section("a server of another authority", [&] {
      auto server = other;
      server.mAuthority = site.mAuthority;
      CPPUNIT_ASSERT(!Arrives(server, site));
    });
  }

  /// Guards against a process that starts without TLS because a file is
  /// missing.
  void TestFiles()
  {
    auto files = MakeFiles("files");
    CPPUNIT_ASSERT(LoadTls(files).value().has_value());
    CPPUNIT_ASSERT(!LoadTls({}).value().has_value());
    files.mKey += ".none";
    CPPUNIT_ASSERT(!LoadTls(files));
    Section("settings that are not whole name the key", [] {
      auto settings =
        Settings::FromText("peer_tls: {certificate: a.pem}\n", "a.yaml");
      {
        auto root = settings.Root();
        ReadPeerTls(root.Section("peer_tls"));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.Errors().size());
    });
  }

private:
  QTemporaryDir mFolder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTlsTest);

} // namespace ragwortdeck
