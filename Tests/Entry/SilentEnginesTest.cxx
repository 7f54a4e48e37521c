#include "Entry/RelayWorld.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

ScriptedTarget::Script
Send(const std::string& aBytes)
{
  return [=](tcp::socket& aSocket, const std::string&) {
    WriteAll(aSocket, aBytes);
    return false;
  };
}

const std::string kEnd = "0\r\n\r\n";

/// \brief A world whose engine t1 sends one event and then nothing for a time.
class SilentWorld
{
public:
  explicit SilentWorld(std::optional<Milliseconds> aSilence)
    : mSilent(mWorld.AddTarget("t1"))
    , mTimer(mWorld.Context().mIo)
  {
    mWorld.mLatencyGoal = Milliseconds(400);
    mWorld.mEventGapGoal = Milliseconds(180);
    mSilent.AddScript([=, this](tcp::socket& aSocket, const std::string&) {
      WriteAll(aSocket, RelayWorld::StreamHead("id1") + RelayWorld::Event(1));
      if (aSilence) {
        mTimer.expires_after(*aSilence);
        mTimer.async_wait([this, &aSocket](const error_code& aError) {
          if (!aError && !mSilent.PeerClosed()) {
            WriteAll(aSocket, RelayWorld::Event(2) + kEnd);
          }
        });
      }
      return true;
    });
  }
  /// The reply to a request that t1 gets first.
  std::string Reply()
  {
    mWorld.Start();
    for (const auto* other : { "t2", "t3" }) {
      mWorld.Context().mHealth.Unreachable(other, mWorld.Context().Now());
    }
    const auto caller = mWorld.Call(RelayWorld::Request("short", "id1"));
    return mWorld.Reply(*caller, kEndOfStream);
  }

  RelayWorld mWorld;
  ScriptedTarget& mSilent;

private:
  asio::steady_timer mTimer;
};

bool
IsWhole(const std::string& aReply)
{
  return Contains(aReply, "id: 1\n") && Contains(aReply, "id: 2\n") &&
         aReply.ends_with(kEndOfStream) &&
         aReply.find("HTTP/1.1", 1) == std::string::npos;
}

const std::string kNotRun = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                            "Attempt-Id: id1\r\nContent-Length: 0\r\n\r\n";

} // namespace

/// \brief Tests streams whose engine is silent for a while.
class SilentEnginesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SilentEnginesTest);
  CPPUNIT_TEST(TestSoundEngineFallsSilentForASecond);
  CPPUNIT_TEST(TestNoOtherEngineHasRoom);
  CPPUNIT_TEST(TestOtherEngineRefuses);
  CPPUNIT_TEST(TestOtherEngineIsUnreachable);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestSoundEngineFallsSilentForASecond()
  {
    SilentWorld silent(Milliseconds(1250));
    auto& other = silent.mWorld.AddTarget("t2");
    other.AddScript(Send(kNotRun));
    CPPUNIT_ASSERT(IsWhole(silent.Reply()));
    CPPUNIT_ASSERT(other.Requests().empty());
  }

  void TestNoOtherEngineHasRoom()
  {
    SilentWorld silent(Milliseconds(2500));
    CPPUNIT_ASSERT(IsWhole(silent.Reply()));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), silent.mSilent.Requests().size());
  }

  void TestOtherEngineRefuses()
  {
    SilentWorld silent(std::nullopt);
    auto& refusing = silent.mWorld.AddTarget("t2");
    refusing.AddScript(Send(kNotRun));
    auto& third = silent.mWorld.AddTarget("t3");
    third.AddScript(Send(kNotRun));
    silent.mSilent.AddScript(
      Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(2) + kEnd));
    const auto reply = silent.Reply();
    Section("the stream goes on at the engine that fell silent", [&] {
      CPPUNIT_ASSERT(IsWhole(reply));
      const auto& requests = silent.mSilent.Requests();
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), requests.size());
      CPPUNIT_ASSERT(Contains(requests.at(1), "Last-Event-Id: 1\r\n"));
    });
    Section("and reaches no more engines than the route allows", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), refusing.Requests().size() + third.Requests().size());
    });
  }

  void TestOtherEngineIsUnreachable()
  {
    SilentWorld silent(std::nullopt);
    silent.mWorld.AddTarget("t2").StopListening();
    silent.mSilent.AddScript(
      Send(RelayWorld::StreamHead("id1") + RelayWorld::Event(2) + kEnd));
    CPPUNIT_ASSERT(IsWhole(silent.Reply()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentEnginesTest);

} // namespace ragwortdeck
