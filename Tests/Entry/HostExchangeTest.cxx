#include "Entry/HostExchange.h"
#include "Core/BootClock.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace ragwortdeck {

namespace {

/// Timeout that ends a test that hangs; no check depends on its length.
constexpr std::chrono::seconds kHangTimeout{ 60 };

/// \brief Some hosts that exchange datagrams over loopback addresses.
class Fleet
{
public:
  struct Host
  {
    std::string mAddress;
    std::unique_ptr<HostExchange> mExchange;
    std::vector<HostMessage> mReceived;
  };

  /// aDomains[i] is the failure domain of host i.
  explicit Fleet(const std::vector<std::string>& aDomains)
    : mIo(1)
    , mRandom(11)
  {
    // Any free port serves, as long as it is the same for all hosts.
    udp::socket probe(mIo, { asio::ip::make_address("127.0.3.1"), 0 });
    mPort = probe.local_endpoint().port();
    probe.close();
    for (std::size_t i = 0; i < aDomains.size(); ++i) {
      auto host = std::make_unique<Host>();
      host->mAddress = "127.0.3." + std::to_string(i + 1);
      host->mExchange =
        std::make_unique<HostExchange>(mIo,
                                       mClock,
                                       mRandom,
                                       Endpoint{ host->mAddress, mPort },
                                       aDomains[i],
                                       20,
                                       i + 1);
      const auto error = host->mExchange->Open();
      CPPUNIT_ASSERT_MESSAGE(error.value_or(""), !error);
      host->mExchange->SetHooks(
        [](const std::string&, HostExchange::Content, HostMessage&) {},
        [self = host.get()](const HostMessage& aMessage) {
          self->mReceived.push_back(aMessage);
        });
      asio::co_spawn(mIo, host->mExchange->ReceiveLoop(), asio::detached);
      mHosts.push_back(std::move(host));
    }
  }

  /// Every host hears of every other one.
  void Introduce()
  {
    for (const auto& from : mHosts) {
      for (const auto& to : mHosts) {
        from->mExchange->AddHost(to->mAddress);
      }
      from->mExchange->Broadcast();
    }
    RunUntil([&] {
      return std::all_of(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
        return aHost->mExchange->LiveHosts().size() + 1 == mHosts.size();
      });
    });
    RunIdle();
    for (const auto& it : mHosts) {
      it->mReceived.clear();
    }
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    const auto until = std::chrono::steady_clock::now() + kHangTimeout;
    while (!aDone()) {
      CPPUNIT_ASSERT_MESSAGE("the test timed out",
                             std::chrono::steady_clock::now() < until);
      mIo.run_one_for(std::chrono::milliseconds(20));
    }
  }

  /// Runs until no datagram is left: loopback delivers at once.
  void RunIdle()
  {
    while (mIo.run_one_for(std::chrono::milliseconds(20)) > 0) {
    }
  }

  void SendRaw(std::size_t aFrom, std::size_t aTo, const std::string& aBytes)
  {
    SendRawFrom(mHosts[aFrom]->mAddress, aTo, aBytes);
  }

  void SendRawFrom(const std::string& aFrom,
                   std::size_t aTo,
                   const std::string& aBytes)
  {
    udp::socket socket(mIo, { asio::ip::make_address(aFrom), 0 });
    socket.send_to(asio::buffer(aBytes),
                   { asio::ip::make_address(mHosts[aTo]->mAddress), mPort });
  }

  Host& At(std::size_t aIndex) { return *mHosts[aIndex]; }
  const std::vector<std::unique_ptr<Host>>& Hosts() const { return mHosts; }

private:
  asio::io_context mIo;
  BootClock mClock;
  RandomSource mRandom;
  std::uint16_t mPort = 0;
  std::vector<std::unique_ptr<Host>> mHosts;
};

std::string
Pack(const HostMessage& aMessage)
{
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, aMessage);
  return { bytes.data(), bytes.size() };
}

} // namespace

/// \brief Tests the datagrams between entry hosts.
class HostExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostExchangeTest);
  CPPUNIT_TEST(TestBroadcast);
  CPPUNIT_TEST(TestMixedVersions);
  CPPUNIT_TEST(TestMergedMessages);
  CPPUNIT_TEST(TestMessagesOfOtherVersions);
  CPPUNIT_TEST(TestMalformedMergedMessages);
  CPPUNIT_TEST(TestForeignDatagrams);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestBroadcast()
  {
    Fleet fleet({ "a", "a", "a", "b", "b", "b", "b", "c", "c", "c" });
    fleet.Introduce();
    Section("a message to all reaches each other host once, with its sender's "
            "name and time",
            [&] {
              fleet.At(0).mExchange->Broadcast([](HostMessage& aMessage) {
                aMessage.mTableVersion = TableVersion{ 5 };
              });
              fleet.RunIdle();
              CPPUNIT_ASSERT(fleet.At(0).mReceived.empty());
              const auto sentAt = fleet.At(1).mReceived.at(0).mSentAt;
              for (std::size_t i = 1; i < 10; ++i) {
                const auto& received = fleet.At(i).mReceived;
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
                CPPUNIT_ASSERT_EQUAL(fleet.At(0).mAddress, received[0].mHost);
                CPPUNIT_ASSERT(received[0].mTableVersion == TableVersion{ 5 });
                CPPUNIT_ASSERT_EQUAL(sentAt, received[0].mSentAt);
              }
            });
    Section("one host of each other domain passed it on", [&] {
      const auto countRelayed = [&] {
        std::uint64_t n = 0;
        for (const auto& it : fleet.Hosts()) {
          n += it->mExchange->Relayed();
        }
        return n;
      };
      const auto before = countRelayed();
      fleet.At(0).mExchange->Broadcast();
      fleet.RunIdle();
      CPPUNIT_ASSERT_EQUAL(before + 2, countRelayed());
    });
  }

  void TestMixedVersions()
  {
    Section("a host of an older version, without a domain, receives all "
            "messages and is not asked to pass any on",
            [&] {
              Fleet fleet({ "a", "a", "a", "b", "b", "b", "b", "" });
              fleet.Introduce();
              auto& old = fleet.At(7);
              for (int i = 0; i < 20; ++i) {
                fleet.At(0).mExchange->Broadcast();
              }
              fleet.RunIdle();
              CPPUNIT_ASSERT_EQUAL(std::size_t(20), old.mReceived.size());
              for (const auto& it : old.mReceived) {
                CPPUNIT_ASSERT_EQUAL(static_cast<int>(MessagePath::kDirect),
                                     it.mPath);
              }
              old.mExchange->Broadcast();
              fleet.RunIdle();
              for (std::size_t i = 0; i < 7; ++i) {
                CPPUNIT_ASSERT_EQUAL(old.mAddress,
                                     fleet.At(i).mReceived.back().mHost);
              }
            });
  }

  void TestMergedMessages()
  {
    std::vector<std::string> domains(42, "a");
    domains.insert(domains.end(), { "b", "b", "b" });
    Fleet fleet(domains);
    fleet.Introduce();
    const auto countDatagrams = [&] {
      std::uint64_t n = 0;
      for (const auto& it : fleet.Hosts()) {
        n += it->mExchange->MergedDatagrams();
      }
      return n;
    };
    const auto before = countDatagrams();
    Section("forty hosts of a large domain and one of another broadcast at the "
            "same time",
            [&] {
              for (std::size_t i = 0; i < 40; ++i) {
                fleet.At(i).mExchange->Broadcast();
              }
              fleet.At(42).mExchange->Broadcast();
            });
    Section("each message reaches each other host of that domain once", [&] {
      const auto expected = [](std::size_t aHost) {
        return std::size_t(aHost < 40 ? 40 : 41);
      };
      fleet.RunUntil([&] {
        for (std::size_t i = 0; i < 42; ++i) {
          if (fleet.At(i).mReceived.size() < expected(i)) {
            return false;
          }
        }
        return true;
      });
      fleet.RunIdle();
      for (std::size_t i = 0; i < 42; ++i) {
        std::set<std::string> senders;
        for (const auto& it : fleet.At(i).mReceived) {
          senders.insert(it.mHost);
        }
        CPPUNIT_ASSERT_EQUAL(expected(i), senders.size());
        CPPUNIT_ASSERT_EQUAL(expected(i), fleet.At(i).mReceived.size());
      }
    });
    Section("the hosts of the small domain received them as well", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t(41), fleet.At(43).mReceived.size());
    });
    Section("in far fewer datagrams than messages", [&] {
      const auto n = countDatagrams() - before;
      CPPUNIT_ASSERT(n > 0);
      CPPUNIT_ASSERT(n < 41 / 2);
    });
  }

  void TestMessagesOfOtherVersions()
  {
    HostMessage message;
    message.mHost = "h";
    message.mAllCopied = true;
    message.mCrashReport.mSound = { { "part", 5 } };
    message.mStoreEra = { 2 };
    message.mTableVersion = TableVersion{ 7 };
    message.mListVersion = { { 2 }, 9 };
    message.mStatesVersions = true;
    const auto bytes = Pack(message);
    const auto unpackWithout = [&](std::uint32_t aLast) {
      const auto handle = UnpackBounded(bytes.data(), bytes.size());
      auto object = handle.get();
      object.via.array.size -= aLast;
      HostMessage read;
      object.convert(read);
      return read;
    };
    Section("a message of a version without reports of crashes", [&] {
      CPPUNIT_ASSERT(unpackWithout(5).mCrashReport.IsEmpty());
      CPPUNIT_ASSERT(unpackWithout(5).mAllCopied);
    });
    Section("one of a version without eras of the store has no contents", [&] {
      const auto read = unpackWithout(4);
      CPPUNIT_ASSERT(read.mCrashReport == message.mCrashReport);
      CPPUNIT_ASSERT(!read.mStoreEra.IsKnown());
      CPPUNIT_ASSERT(!read.mTableVersion);
      CPPUNIT_ASSERT(!read.mListVersion.IsKnown());
      CPPUNIT_ASSERT(!read.mStatesVersions);
    });
    Section("a message of this version", [&] {
      const auto read = unpackWithout(0);
      CPPUNIT_ASSERT(read.mCrashReport == message.mCrashReport);
      CPPUNIT_ASSERT(read.mStoreEra == message.mStoreEra);
      CPPUNIT_ASSERT(read.mTableVersion == message.mTableVersion);
      CPPUNIT_ASSERT(read.mListVersion == message.mListVersion);
      CPPUNIT_ASSERT(read.mStatesVersions);
    });
  }

  void TestMalformedMergedMessages()
  {
    Fleet fleet({ "a", "a", "a" });
    fleet.Introduce();
    auto& receiver = fleet.At(1);
    const auto messageOf = [&](std::size_t aHost) {
      HostMessage message;
      message.mHost = fleet.At(aHost).mAddress;
      message.mIncarnation = 99;
      message.mPath = static_cast<int>(MessagePath::kToMerge);
      return message;
    };
    HostMessage merged;
    merged.mHost = fleet.At(0).mAddress;
    merged.mPath = static_cast<int>(MessagePath::kMerged);
    const auto whole = Pack(messageOf(2));
    Section("truncated, empty and nameless messages are dropped one by one, "
            "the sound ones beside them are taken",
            [&] {
              merged.mMerged = { whole.substr(0, whole.size() / 2),
                                 "",
                                 Pack(HostMessage()),
                                 std::string(60, '\x91'),
                                 whole };
              const auto before = receiver.mExchange->Dropped();
              fleet.SendRaw(0, 1, Pack(merged));
              fleet.RunUntil([&] { return !receiver.mReceived.empty(); });
              CPPUNIT_ASSERT_EQUAL(fleet.At(2).mAddress,
                                   receiver.mReceived.at(0).mHost);
              CPPUNIT_ASSERT_EQUAL(before + 4, receiver.mExchange->Dropped());
            });
    Section("the receiver's own message comes back and is ignored", [&] {
      receiver.mReceived.clear();
      merged.mMerged = { Pack(messageOf(1)) };
      fleet.SendRaw(0, 1, Pack(merged));
      fleet.RunIdle();
      CPPUNIT_ASSERT(receiver.mReceived.empty());
      CPPUNIT_ASSERT(!receiver.mExchange->Peers().contains(receiver.mAddress));
    });
    Section("merged messages within merged messages are not unpacked", [&] {
      HostMessage nested = messageOf(2);
      nested.mIncarnation = 100;
      nested.mMerged = { whole };
      merged.mMerged = { Pack(nested) };
      fleet.SendRaw(0, 1, Pack(merged));
      fleet.RunUntil([&] { return !receiver.mReceived.empty(); });
      fleet.RunIdle();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiver.mReceived.size());
    });
    Section("merged messages from a host that is not known are dropped", [&] {
      receiver.mReceived.clear();
      const auto before = receiver.mExchange->Dropped();
      merged.mHost = "127.0.3.200";
      merged.mMerged = { whole };
      fleet.SendRawFrom("127.0.3.200", 1, Pack(merged));
      fleet.RunUntil([&] { return receiver.mExchange->Dropped() > before; });
      CPPUNIT_ASSERT(receiver.mReceived.empty());
    });
  }

  void TestForeignDatagrams()
  {
    Fleet fleet({ "a", "b", "b", "b" });
    // Host 3 is not introduced: it is foreign to the others.
    fleet.At(0).mExchange->AddHost(fleet.At(1).mAddress);
    fleet.At(1).mExchange->AddHost(fleet.At(0).mAddress);
    fleet.At(0).mExchange->Broadcast();
    fleet.RunIdle();
    auto& receiver = fleet.At(1);
    receiver.mReceived.clear();
    HostMessage message;
    message.mHost = fleet.At(0).mAddress;
    message.mIncarnation = 99;
    message.mSentAt = 1;
    const auto packed = Pack(message);
    const auto isDropped = [&](std::size_t aFrom, const std::string& aBytes) {
      const auto before = receiver.mExchange->Dropped();
      fleet.SendRaw(aFrom, 1, aBytes);
      fleet.RunUntil([&] {
        return receiver.mExchange->Dropped() > before ||
               !receiver.mReceived.empty();
      });
      CPPUNIT_ASSERT(receiver.mReceived.empty());
      CPPUNIT_ASSERT_EQUAL(before + 1, receiver.mExchange->Dropped());
    };
    Section("a message in another host's name", [&] { isDropped(3, packed); });
    Section("a relayed message from a host that is not known", [&] {
      message.mPath = static_cast<int>(MessagePath::kRelayed);
      isDropped(3, Pack(message));
    });
    Section("truncated messages", [&] {
      for (std::size_t n = 0; n < packed.size(); ++n) {
        isDropped(0, packed.substr(0, n));
      }
    });
    Section("an array that claims four billion elements, and one of depth "
            "60,000",
            [&] {
              isDropped(0, std::string("\xdd\xff\xff\xff\xff", 5));
              isDropped(0, std::string(60000, '\x91'));
            });
    Section("random bytes", [&] {
      RandomSource random(20261204);
      for (int i = 0; i < 2000; ++i) {
        std::string bytes(random.Below(200), ' ');
        for (auto& it : bytes) {
          it = static_cast<char>(random.Below(256));
        }
        isDropped(0, bytes);
      }
    });
    Section("after these the next message is received", [&] {
      fleet.SendRaw(0, 1, packed);
      fleet.RunIdle();
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), receiver.mReceived.size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostExchangeTest);

} // namespace ragwortdeck
