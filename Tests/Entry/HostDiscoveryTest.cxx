#include "Entry/HostDiscovery.h"
#include "Core/BootClock.h"
#include "FleetCodec.h"
#include "Support/Section.h"

#include <QByteArray>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <map>
#include <nlohmann/json.hpp>

namespace ragwortdeck {

namespace {

using Json = nlohmann::json;

/// Timeout that ends a test that hangs; no check depends on its length.
constexpr std::chrono::seconds kHangTimeout{ 60 };

/// \brief The calls of the store that the host list needs.
class HostListStore
{
public:
  explicit HostListStore(asio::io_context& aContext)
    : mContext(aContext)
    , mAcceptor(aContext,
                tcp::endpoint(asio::ip::make_address("127.0.4.200"), 0))
  {
    asio::co_spawn(mContext, Accept(), asio::detached);
  }

  Endpoint At() const
  {
    return { "127.0.4.200", mAcceptor.local_endpoint().port() };
  }
  int Calls() const { return mCalls; }
  void ResetCalls() { mCalls = 0; }
  std::map<std::string, std::string>& Entries() { return mEntries; }
  /// While set, each call is answered 503.
  bool mIsDown = false;

private:
  Task<void> Accept()
  {
    while (true) {
      error_code ec;
      auto socket = std::make_shared<tcp::socket>(mContext);
      co_await mAcceptor.async_accept(*socket, RedirectError(ec));
      if (ec) {
        co_return;
      }
      asio::co_spawn(mContext, Serve(socket), asio::detached);
    }
  }

  Task<void> Serve(std::shared_ptr<tcp::socket> aSocket)
  {
    beast::flat_buffer buffer;
    while (true) {
      http::request<http::string_body> request;
      error_code ec;
      co_await http::async_read(*aSocket, buffer, request, RedirectError(ec));
      if (ec) {
        co_return;
      }
      ++mCalls;
      http::response<http::string_body> response;
      response.version(11);
      response.result(mIsDown ? 503 : 200);
      response.body() = mIsDown ? "{}" : Answer(request).dump();
      response.prepare_payload();
      co_await http::async_write(*aSocket, response, RedirectError(ec));
    }
  }

  Json Answer(const http::request<http::string_body>& aRequest)
  {
    if (aRequest.target().starts_with("/-/kv-lease")) {
      return { { "lease", ++mLastLease }, { "ttl_ms", 600000 } };
    }
    if (aRequest.target().starts_with("/-/kv-txn")) {
      const auto transaction = Json::parse(aRequest.body());
      for (const auto& put : transaction.at("puts")) {
        mEntries[put.at("key")] = put.at("value");
      }
      return { { "revision", ++mRevision } };
    }
    Json items = Json::array();
    for (const auto& [key, value] : mEntries) {
      items.push_back({ { "key", key }, { "value", value } });
    }
    return { { "items", items },
             { "has_more", false },
             { "current_rev", mRevision } };
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  int mCalls = 0;
  int mLastLease = 0;
  std::int64_t mRevision = 1;
  std::map<std::string, std::string> mEntries;
};

constexpr int kLinkMbps = 20;

/// \brief Some hosts that find each other over loopback addresses.
class Fleet
{
public:
  struct Host
  {
    std::unique_ptr<EntryContext> mContext;
    std::unique_ptr<HostExchange> mExchange;
    std::unique_ptr<StoreClient> mStore;
    std::unique_ptr<HostDiscovery> mDiscovery;
  };

  Fleet()
    : mIo(1)
    , mStore(mIo)
    , mLog(mClock, open("/dev/null", O_WRONLY))
    , mRandom(7)
  {
    udp::socket probe(mIo, { asio::ip::make_address("127.0.4.1"), 0 });
    mPort = probe.local_endpoint().port();
  }
  ~Fleet()
  {
    // Ends the loops before what they refer to.
    mIo.stop();
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  static std::string AddressOf(int aIndex)
  {
    return "127.0.4." + std::to_string(aIndex + 1);
  }

  /// Starts host aIndex, which is in one of three failure domains.
  Host& Start(int aIndex, const std::vector<int>& aSeeds)
  {
    EntrySettings settings;
    settings.mHost = "host-" + std::to_string(aIndex);
    settings.mFailureDomain =
      std::string(1, static_cast<char>('a' + aIndex % 3));
    settings.mPeers = { AddressOf(aIndex), mPort };
    settings.mLinkMbps = kLinkMbps;
    settings.mStore = mStore.At();
    auto host = std::make_unique<Host>();
    host->mContext =
      std::make_unique<EntryContext>(mIo, mClock, mCodec, settings, mLog);
    host->mExchange = std::make_unique<HostExchange>(mIo,
                                                     mClock,
                                                     mRandom,
                                                     settings.mPeers,
                                                     settings.mFailureDomain,
                                                     kLinkMbps,
                                                     aIndex + 1);
    const auto error = host->mExchange->Open();
    CPPUNIT_ASSERT_MESSAGE(error.value_or(""), !error);
    host->mStore = std::make_unique<StoreClient>(*host->mContext);
    host->mDiscovery = std::make_unique<HostDiscovery>(
      *host->mContext, *host->mExchange, *host->mStore);
    host->mExchange->SetHooks(
      [exchange = host->mExchange.get()](
        const std::string&, HostExchange::Content, HostMessage& aMessage) {
        aMessage.mLiveHosts =
          static_cast<std::uint32_t>(exchange->LiveHosts().size());
      },
      [self = host.get()](const HostMessage& aMessage) {
        self->mDiscovery->Handle(aMessage);
      });
    for (const int seed : aSeeds) {
      host->mExchange->AddHost(AddressOf(seed));
    }
    asio::co_spawn(mIo, host->mExchange->ReceiveLoop(), asio::detached);
    asio::co_spawn(mIo, host->mDiscovery->Loop(), asio::detached);
    return *(mHosts[aIndex] = std::move(host));
  }

  /// Runs until aDone holds, while all hosts send their heartbeats.
  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto until = std::chrono::steady_clock::now() + kHangTimeout;
    while (!aDone()) {
      CPPUNIT_ASSERT_MESSAGE("the test timed out",
                             std::chrono::steady_clock::now() < until);
      const auto pause =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
      mIo.run_until(pause);
      for (const auto& [index, host] : mHosts) {
        host->mExchange->Broadcast();
      }
    }
  }
  bool AllKnowEachOther() const
  {
    return std::all_of(mHosts.begin(), mHosts.end(), [&](const auto& aItem) {
      return aItem.second->mExchange->LiveHosts().size() + 1 == mHosts.size();
    });
  }
  HostListStore& Store() { return mStore; }

private:
  asio::io_context mIo;
  BootClock mClock;
  FleetCodec mCodec;
  HostListStore mStore;
  DecisionLog mLog;
  RandomSource mRandom;
  std::uint16_t mPort = 0;
  std::map<int, std::unique_ptr<Host>> mHosts;
};

constexpr int kHosts = 24;

} // namespace

/// \brief Tests how hosts find each other.
class HostDiscoveryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostDiscoveryTest);
  CPPUNIT_TEST(TestFleetStart);
  CPPUNIT_TEST(TestSingleHosts);
  CPPUNIT_TEST(TestOddEntries);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestFleetStart()
  {
    Fleet fleet;
    Section(
      "a whole fleet starts and knows one seed: all hosts find each other",
      [&] {
        for (int i = 0; i < kHosts; ++i) {
          fleet.Start(i, { 0 });
        }
        fleet.RunUntil([&] { return fleet.AllKnowEachOther(); });
      });
    Section(
      "two hosts of each failure domain are listed, and the calls of the "
      "store do not grow with the hosts but for one stale read each",
      [&] {
        fleet.RunUntil([&] { return fleet.Store().Entries().size() >= 6; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.Store().Entries().size());
        CPPUNIT_ASSERT(fleet.Store().Calls() <= kHosts + 6 * 3);
      });
    Section(
      "a host that starts later and whose seeds are gone finds all others "
      "by the list",
      [&] {
        fleet.Start(kHosts, { 200, 201 });
        fleet.RunUntil([&] { return fleet.AllKnowEachOther(); });
      });
    Section("so does one whose store is away, by its seed", [&] {
      fleet.Store().mIsDown = true;
      fleet.Start(kHosts + 1, { 3 });
      fleet.RunUntil([&] { return fleet.AllKnowEachOther(); });
    });
  }

  void TestSingleHosts()
  {
    Section("a host that finds nobody lists itself, though the list names a "
            "host that is gone",
            [&] {
              Fleet fleet;
              // 127.0.4.251
              fleet.Store().Entries()["entry/127.0.4.251"] = "MTI3LjAuNC4yNTE=";
              fleet.Start(0, { 200 });
              fleet.RunUntil(
                [&] { return fleet.Store().Entries().size() == 2; });
              Section("a second one finds it", [&] {
                fleet.Start(1, { 201 });
                fleet.RunUntil([&] { return fleet.AllKnowEachOther(); });
              });
            });
  }

  void TestOddEntries()
  {
    Section("hosts find each other beside entries of another writer", [&] {
      Fleet fleet;
      const std::vector<std::string> odd = {
        "",
        std::string(200'000, '['),
        "\xff\xfe",
        "10.0.0.1\r\nX: 1",
        "10.0.0.256",
        "0.0.0.0",
        "255.255.255.255",
        "224.0.0.1",
        "::1",
        "a.example",
        "{\"host\":\"10.0.0.1\"}",
        "127.0.4.1:70000",
      };
      for (std::size_t i = 0; i < odd.size(); ++i) {
        fleet.Store().Entries()["entry/odd-" + std::to_string(i)] =
          QByteArray::fromStdString(odd[i]).toBase64().toStdString();
      }
      fleet.Store().Entries()["entry/odd-bytes"] = "not base64 !";
      fleet.Start(0, { 200 });
      fleet.Start(1, { 201 });
      fleet.RunUntil([&] { return fleet.AllKnowEachOther(); });
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostDiscoveryTest);

} // namespace ragwortdeck
