#include "Peer/PeerSession.h"
#include "Core/RandomSource.h"
#include "Peer/ControlMessages.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const SharedKey kOld{ "k1", "0123456789abcdef" };
const SharedKey kNew{ "k2", "fedcba9876543210" };

std::shared_ptr<const KeyRing>
Ring(std::vector<SharedKey> aKeys)
{
  return std::make_shared<const KeyRing>(
    KeyRing::Create(std::move(aKeys)).value());
}

/// \brief One end of a session, with what it wrote and what it received.
struct End
{
  End(const char* aHost,
      PeerSide aSide,
      std::shared_ptr<const KeyRing> aKeys,
      char aNonce)
    : mSession({ HostId(aHost), 7, std::move(aKeys), {}, {} },
               aSide,
               std::vector<char>(16, aNonce),
               { [this](const QByteArray& aBytes) { mOut.push_back(aBytes); },
                 {},
                 [this](const PeerMessage& aMessage) {
                   mMessages.push_back(aMessage);
                 } })
  {
    mSession.Start();
  }
  Result<void> Feed(const QByteArray& aBytes)
  {
    return mSession.Receive(aBytes.constData(), std::size_t(aBytes.size()));
  }

  std::vector<QByteArray> mOut;
  std::vector<PeerMessage> mMessages;
  PeerSession mSession;
};

/// \brief Two ends that have shaken hands.
struct Pair
{
  explicit Pair(std::shared_ptr<const KeyRing> aLeft = Ring({ kOld }),
                std::shared_ptr<const KeyRing> aRight = Ring({ kOld }))
    : mLeft("left", PeerSide::kInitiator, std::move(aLeft), 'l')
    , mRight("right", PeerSide::kAcceptor, std::move(aRight), 'r')
  {
    mAgreed = mRight.Feed(mLeft.mOut[0]) && mLeft.Feed(mRight.mOut[0]) &&
              mRight.Feed(mLeft.mOut[1]) && mLeft.Feed(mRight.mOut[1]);
  }
  QByteArray LeftSends()
  {
    mLeft.mSession.Send(PeerMessage::Of(StatusFetchMessage{})).value();
    return mLeft.mOut.back();
  }

  End mLeft;
  End mRight;
  bool mAgreed = false;
};

} // namespace

/// \brief Framing and authentication reject what is not the next frame of
/// this connection, and survive arbitrary bytes.
class PeerSessionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerSessionTest);
  CPPUNIT_TEST(TestExchange);
  CPPUNIT_TEST(TestKeyRotation);
  CPPUNIT_TEST(TestReplayAndReflection);
  CPPUNIT_TEST(TestSizes);
  CPPUNIT_TEST(TestWrongTypes);
  CPPUNIT_TEST(TestFuzzedBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestExchange()
  {
    Pair pair;
    CPPUNIT_ASSERT(pair.mAgreed);
    CPPUNIT_ASSERT(pair.mRight.mSession.IsReady());
    const auto frame = pair.LeftSends();
    Section("a frame that arrives byte by byte", [&] {
      for (const char byte : frame) {
        CPPUNIT_ASSERT(pair.mRight.mSession.Receive(&byte, 1));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), pair.mRight.mMessages.size());
      const auto& message = pair.mRight.mMessages[0];
      CPPUNIT_ASSERT(message.Is<StatusFetchMessage>());
      CPPUNIT_ASSERT_EQUAL(std::string("left"), message.mFrom.Value());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), message.mIncarnation);
    });
    Section("several frames in one read", [&] {
      auto two = pair.LeftSends();
      two += pair.LeftSends();
      CPPUNIT_ASSERT(pair.mRight.Feed(two));
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), pair.mRight.mMessages.size());
    });
  }

  // Guards against downtime while keys rotate: each step of the rotation must
  // still talk to hosts that are one step behind or ahead.
  void TestKeyRotation()
  {
    const auto before = Ring({ kOld });
    const auto added = Ring({ kOld, kNew });
    const auto promoted = Ring({ kNew, kOld });
    const auto after = Ring({ kNew });
    CPPUNIT_ASSERT(Pair(before, added).mAgreed);
    CPPUNIT_ASSERT(Pair(added, promoted).mAgreed);
    CPPUNIT_ASSERT(Pair(promoted, after).mAgreed);
    CPPUNIT_ASSERT(!Pair(before, after).mAgreed);
  }

  void TestReplayAndReflection()
  {
    Section("a repeated frame", [] {
      Pair pair;
      const auto frame = pair.LeftSends();
      CPPUNIT_ASSERT(pair.mRight.Feed(frame));
      CPPUNIT_ASSERT(!pair.mRight.Feed(frame));
      CPPUNIT_ASSERT(!pair.mRight.Feed(pair.LeftSends()));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), pair.mRight.mMessages.size());
    });
    Section("a skipped frame", [] {
      Pair pair;
      pair.LeftSends();
      CPPUNIT_ASSERT(!pair.mRight.Feed(pair.LeftSends()));
    });
    Section("a recorded connection played to a new session", [] {
      Pair pair;
      pair.LeftSends();
      End fresh("right", PeerSide::kAcceptor, Ring({ kOld }), 'x');
      CPPUNIT_ASSERT(fresh.Feed(pair.mLeft.mOut[0]));
      CPPUNIT_ASSERT(!fresh.mSession.IsReady());
      CPPUNIT_ASSERT(!fresh.Feed(pair.mLeft.mOut[1]));
      CPPUNIT_ASSERT(fresh.mMessages.empty());
    });
    Section("frames and hellos sent back to their sender", [] {
      Pair pair;
      CPPUNIT_ASSERT(!pair.mLeft.Feed(pair.LeftSends()));
      End alone("left", PeerSide::kInitiator, Ring({ kOld }), 'l');
      CPPUNIT_ASSERT(!alone.Feed(alone.mOut[0]));
    });
  }

  void TestSizes()
  {
    Section("too long, and too short to hold a signature", [] {
      for (const char* length :
           { "\x7f\xff\xff\xff", "\x00\x40\x00\x01", "\x00\x00\x00\x1f" }) {
        Pair pair;
        CPPUNIT_ASSERT(!pair.mRight.Feed(QByteArray(length, 4)));
      }
    });
    Section("a hello over its own, smaller limit", [] {
      End end("right", PeerSide::kAcceptor, Ring({ kOld }), 'x');
      CPPUNIT_ASSERT(!end.Feed(QByteArray("\x00\x00\x10\x01", 4)));
    });
    Section("the sender refuses a message over the limit and goes on", [] {
      Pair pair;
      PeerMessage message = PeerMessage::Of(StatusFetchMessage{});
      message.mBody.resize(kMaxFrameBytes);
      CPPUNIT_ASSERT(!pair.mLeft.mSession.Send(message));
      CPPUNIT_ASSERT(pair.mRight.Feed(pair.LeftSends()));
    });
  }

  void TestWrongTypes()
  {
    Section("a body of another type", [] {
      const auto message = PeerMessage::Of(StatusFetchMessage{});
      CPPUNIT_ASSERT(message.As<StatusFetchMessage>());
      PeerMessage wrong;
      msgpack::sbuffer buf;
      msgpack::pack(buf, std::map<std::string, int>{ { "mMembers", 3 } });
      wrong.mBody.assign(buf.data(), buf.data() + buf.size());
      CPPUNIT_ASSERT(!wrong.As<StatusFetchMessage>());
    });
    Section("a container that announces more than it holds", [] {
      for (const std::string text :
           { "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\xc6\xff" }) {
        CPPUNIT_ASSERT(
          !PeerMessage::UnpackAs<PeerMessage>(text.data(), text.size()));
      }
    });
    Section("nesting without end", [] {
      const std::string text(100'000, '\x91');
      CPPUNIT_ASSERT(
        !PeerMessage::UnpackAs<PeerMessage>(text.data(), text.size()));
    });
  }

  // Guards against crashes and accepted forgeries: each case flips, cuts or
  // repeats parts of a valid stream, with a fixed seed.
  void TestFuzzedBytes()
  {
    RandomSource random(20'261'204);
    for (int round = 0; round < 2000; ++round) {
      Pair pair;
      auto bytes = pair.LeftSends();
      bytes += pair.LeftSends();
      const auto at = qsizetype(random.Below(bytes.size()));
      switch (random.Below(4)) {
        case 0:
          bytes[at] = char(bytes[at] ^ char(1 + random.Below(255)));
          break;
        case 1:
          bytes.remove(at, 1 + qsizetype(random.Below(8)));
          break;
        case 2:
          bytes.insert(at, char(random.Below(256)));
          break;
        default:
          bytes.append(bytes.mid(at));
          break;
      }
      static_cast<void>(pair.mRight.Feed(bytes));
      CPPUNIT_ASSERT(pair.mRight.mMessages.size() <= 2);
      for (const auto& message : pair.mRight.mMessages) {
        CPPUNIT_ASSERT(message.Is<StatusFetchMessage>());
      }
    }
    for (int round = 0; round < 2000; ++round) {
      std::string noise(random.Below(64), '\0');
      for (auto& byte : noise) {
        byte = static_cast<char>(random.Below(256));
      }
      static_cast<void>(
        PeerMessage::UnpackAs<SiteViewMessage>(noise.data(), noise.size()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSessionTest);

} // namespace ragwortdeck
