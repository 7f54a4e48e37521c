#include "Serving/PromptQuarantine.h"
#include "Core/RandomSource.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>

namespace ragwortdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = PromptQuarantine::Parts;

MonotonicTime
At(int aMs)
{
  return MonotonicTime(seconds(1000) + milliseconds(aMs));
}

/// \brief Hosts and engines in virtual time. Requests with a deadly part crash
/// their engine as it begins to write.
class Fleet
{
public:
  static constexpr int kStepMs = 10;
  /// From a send to the first token, and on to the end of the answer.
  static constexpr int kPrefillMs = 300;
  static constexpr int kAnswerMs = 700;
  static constexpr int kDownMs = 4000;

  Fleet(std::size_t aHosts, std::size_t aEngines, double aLoss)
    : mEngines(aEngines)
    , mLoss(aLoss)
    , mRandom(5)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      AddHost();
    }
  }

  void AddHost()
  {
    const auto index = mHosts.size();
    mHosts.push_back(std::make_unique<PromptQuarantine>(
      [this, index](const std::string& aName) {
        const auto isFirst = aName.find('#') == std::string::npos;
        return index == (isFirst ? mOwner : OwnerOf(aName));
      }));
    mReportedAt.push_back(-10000);
  }

  /// Sends a request at a random host and engine, unless the host refuses it or
  /// all engines are down.
  bool Send(const Parts& aParts)
  {
    return SendAt(mRandom.Below(mHosts.size()), aParts);
  }

  bool SendAt(std::size_t aHost, const Parts& aParts)
  {
    if (mHosts[aHost]->Find(aParts, At(mNow)) ||
        mHosts[aHost]->FindAtSend(aParts, At(mNow))) {
      return false;
    }
    if (std::all_of(
          mEngines.begin(), mEngines.end(), [this](const Engine& aEngine) {
            return mNow < aEngine.mUpAt;
          })) {
      return false;
    }
    std::size_t engine = 0;
    do {
      engine = mRandom.Below(mEngines.size());
    } while (mNow < mEngines[engine].mUpAt);
    const bool deadly =
      std::any_of(aParts.begin(), aParts.end(), [&](const std::string& aPart) {
        return mDeadly.contains(aPart);
      });
    if (deadly) {
      mSentDeadlyAt.push_back(mNow);
    }
    mEngines[engine].mRuns.push_back({ aHost, aParts, mNow, deadly });
    return true;
  }

  void Crash(std::size_t aEngine)
  {
    auto& engine = mEngines[aEngine];
    // Every host names the parts of its own requests whose answers had just
    // begun.
    std::map<std::size_t, std::set<std::string>> parts;
    for (const auto& run : engine.mRuns) {
      if (mNow - run.mSentAt < kPrefillMs + 300) {
        parts[run.mHost].insert(run.mParts.begin(), run.mParts.end());
      }
    }
    for (const auto& [host, names] : parts) {
      mHosts[host]->OnCrash("e" + std::to_string(aEngine),
                            { names.begin(), names.end() },
                            At(mNow),
                            At(mNow));
    }
    engine.mRuns.clear();
    engine.mUpAt = mNow + kDownMs;
    mCrashedAt.push_back(mNow);
  }

  /// Passes aMs of time; aEach is called in each step.
  void Run(
    int aMs,
    const std::function<void()>& aEach = [] {})
  {
    for (const int until = mNow + aMs; mNow < until; mNow += kStepMs) {
      aEach();
      RunEngines();
      while (!mMessages.empty() && mMessages.front().mDueAt <= mNow) {
        const auto message = std::move(mMessages.front());
        mMessages.pop_front();
        for (std::size_t to = 0; to < mHosts.size(); ++to) {
          if (to != message.mFrom && !mRandom.Chance(mLoss) &&
              !mCut.contains({ message.mFrom, to })) {
            mHosts[to]->Merge(message.mReport, At(mNow));
          }
        }
      }
      for (std::size_t i = 0; i < mHosts.size(); ++i) {
        Publish(i);
      }
    }
  }

  std::size_t OwnerOf(const std::string& aName) const
  {
    return std::hash<std::string>()(aName) % mHosts.size();
  }
  PromptQuarantine& Host(std::size_t aIndex) { return *mHosts[aIndex]; }
  std::size_t Hosts() const { return mHosts.size(); }
  std::size_t CountBlocking(const Parts& aParts) const
  {
    return static_cast<std::size_t>(
      std::count_if(mHosts.begin(), mHosts.end(), [&](const auto& aHost) {
        return aHost->Find(aParts, At(mNow)).has_value();
      }));
  }
  /// Deadly requests that were sent later than aMs after the fifth crash, or
  /// the last one.
  std::size_t DeadlySendsAfter(int aMs) const
  {
    const auto from =
      mCrashedAt[std::min<std::size_t>(5, mCrashedAt.size()) - 1];
    return static_cast<std::size_t>(
      std::count_if(mSentDeadlyAt.begin(), mSentDeadlyAt.end(), [&](int aAt) {
        return aAt > from + aMs;
      }));
  }
  int Now() const { return mNow; }
  RandomSource& Random() { return mRandom; }

  std::set<std::string> mDeadly;
  /// Messages from the first host to the second one are lost.
  std::set<std::pair<std::size_t, std::size_t>> mCut;
  std::size_t mOwner = 0;
  std::vector<int> mCrashedAt;

private:
  struct EngineRun
  {
    std::size_t mHost = 0;
    Parts mParts;
    int mSentAt = 0;
    bool mDeadly = false;
  };
  struct Engine
  {
    std::vector<EngineRun> mRuns;
    int mUpAt = 0;
  };
  struct Message
  {
    int mDueAt = 0;
    std::size_t mFrom = 0;
    CrashReport mReport;
  };

  void RunEngines()
  {
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      auto& runs = mEngines[i].mRuns;
      if (std::any_of(runs.begin(), runs.end(), [&](const EngineRun& aRun) {
            return aRun.mDeadly && mNow - aRun.mSentAt >= kPrefillMs;
          })) {
        Crash(i);
        continue;
      }
      std::erase_if(runs, [&](const EngineRun& aRun) {
        if (mNow - aRun.mSentAt < kAnswerMs) {
          return false;
        }
        mHosts[aRun.mHost]->OnSound(
          aRun.mParts, At(aRun.mSentAt + kPrefillMs), At(mNow));
        return true;
      });
    }
  }

  void Publish(std::size_t aHost)
  {
    auto& host = *mHosts[aHost];
    if ((mNow / kStepMs + static_cast<int>(aHost)) % 10 == 0) {
      host.Update(At(mNow));
    }
    const bool hasNews = host.HasNews();
    if (!hasNews && mNow - mReportedAt[aHost] < 500) {
      return;
    }
    const auto report = host.Report(At(mNow));
    const int interval = !report.mCrashes.empty() || !report.mSound.empty()
                           ? 500
                           : 1000 * static_cast<int>(1 + mHosts.size() / 32);
    if (!report.IsEmpty() &&
        (hasNews || mNow - mReportedAt[aHost] >= interval)) {
      mReportedAt[aHost] = mNow;
      mMessages.push_back({ mNow + 20, aHost, report });
    }
    host.ClearNews();
  }

  std::vector<Engine> mEngines;
  double mLoss;
  RandomSource mRandom;
  std::vector<std::unique_ptr<PromptQuarantine>> mHosts;
  std::vector<int> mReportedAt;
  std::deque<Message> mMessages;
  std::vector<int> mSentDeadlyAt;
  int mNow = 0;
};

std::string
Shared(std::uint64_t aIndex)
{
  return "shared" + std::to_string(aIndex);
}

/// Crashes three engines at aHost, so that it quarantines the part "bad".
void
Quarantine(PromptQuarantine& aHost, int aFromMs)
{
  for (int i = 0; i < 3; ++i) {
    const auto at = At(aFromMs + i * 1000);
    aHost.OnCrash("e" + std::to_string(i), { "bad" }, at, at);
  }
  aHost.Update(At(aFromMs + 2000));
}

} // namespace

/// \brief Tests which parts of prompts a fleet quarantines, and for how long.
class PromptQuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromptQuarantineTest);
  CPPUNIT_TEST(TestDeadlyPartCrashesEngineAfterEngine);
  CPPUNIT_TEST(TestSoundPartsThatComeWithADeadlyOne);
  CPPUNIT_TEST(TestHostsThatHearLittle);
  CPPUNIT_TEST(TestEnginesThatCrashTogether);
  CPPUNIT_TEST(TestOutageOfAllEngines);
  CPPUNIT_TEST(TestPartThatTurnsDeadly);
  CPPUNIT_TEST(TestHostsThatNeverSawTheAnswers);
  CPPUNIT_TEST(TestReportOfAnOlderHost);
  CPPUNIT_TEST(TestBurstAfterAQuietTime);
  CPPUNIT_TEST(TestAnswersThatAreToldLate);
  CPPUNIT_TEST(TestOneCrashIsReportedOften);
  CPPUNIT_TEST(TestRepeat);
  CPPUNIT_TEST(TestQuarantineIsTested);
  CPPUNIT_TEST(TestHostsDoNotProlongAQuarantine);
  CPPUNIT_TEST(TestHostileReports);
  CPPUNIT_TEST(TestRepeatAfterAnOrdinaryCrash);
  CPPUNIT_TEST(TestOlderAnswerOfAnotherHost);
  CPPUNIT_TEST(TestHugeCountOfCrashes);
  CPPUNIT_TEST(TestOwnerThatGetsNoSuchRequest);
  CPPUNIT_TEST(TestMoreHostsMayTestAsTimePasses);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestDeadlyPartCrashesEngineAfterEngine()
  {
    for (const std::size_t hosts : { std::size_t(18), std::size_t(295) }) {
      for (const double loss : { 0.03, 0.3 }) {
        Section(std::to_string(hosts) + " hosts, loss " + std::to_string(loss),
                [&] {
                  Fleet fleet(hosts, 40, loss);
                  fleet.mDeadly = { "bad" };
                  int soundRefused = 0;
                  fleet.Run(30000, [&] {
                    auto& random = fleet.Random();
                    if (random.Chance(0.02)) {
                      fleet.Send({ "common", "bad", Shared(random.Below(20)) });
                    }
                    if (random.Chance(0.4) &&
                        !fleet.Send({ "common", Shared(random.Below(20)) })) {
                      ++soundRefused;
                    }
                  });
                  CPPUNIT_ASSERT(fleet.mCrashedAt.size() >= 3);
                  CPPUNIT_ASSERT(fleet.DeadlySendsAfter(3000) <= 3);
                  CPPUNIT_ASSERT_EQUAL(hosts, fleet.CountBlocking({ "bad" }));
                  CPPUNIT_ASSERT_EQUAL(0, soundRefused);
                });
      }
    }
  }

  void TestSoundPartsThatComeWithADeadlyOne()
  {
    for (const double loss : { 0.03, 0.3 }) {
      Section("loss " + std::to_string(loss), [&] {
        Fleet fleet(18, 40, loss);
        fleet.mDeadly = { "bad" };
        const Parts all{ "first", "second", "bad" };
        int soundRefused = 0;
        int soundSent = 0;
        const auto send = [&] {
          if (fleet.Random().Chance(0.05)) {
            fleet.Send(all);
          }
          // So rare that it has no answer before the parts are quarantined.
          if (fleet.Now() > 4000 && fleet.Random().Chance(0.005)) {
            ++(fleet.Send({ "first" }) ? soundSent : soundRefused);
          }
        };
        fleet.Run(30000, send);
        Section("requests with all of them are refused by all hosts", [&] {
          for (std::size_t i = 0; i < fleet.Hosts(); ++i) {
            CPPUNIT_ASSERT(fleet.Host(i).Find(all, At(fleet.Now())));
          }
          CPPUNIT_ASSERT(fleet.DeadlySendsAfter(3000) <= 3);
        });
        Section("a request that has only a sound one is sent, and clears it",
                [&] {
                  CPPUNIT_ASSERT(soundSent > 5);
                  CPPUNIT_ASSERT_EQUAL(0, soundRefused);
                });
        Section(
          "the deadly one comes with other parts: one crash shows it", [&] {
            const auto crashes = fleet.mCrashedAt.size();
            fleet.Run(6000, [&] {
              if (fleet.Now() % 500 == 0) {
                fleet.Send({ "other", "bad" });
              }
            });
            CPPUNIT_ASSERT(fleet.mCrashedAt.size() <= crashes + 2);
            CPPUNIT_ASSERT_EQUAL(fleet.Hosts(), fleet.CountBlocking({ "bad" }));
          });
      });
    }
  }

  void TestHostsThatHearLittle()
  {
    const Parts parts{ "common", "bad" };
    Fleet fleet(18, 40, 0.03);
    fleet.mDeadly = { "bad" };
    const auto sendBad = [&] {
      if (fleet.Random().Chance(0.02)) {
        fleet.Send(parts);
      }
    };
    // Host 3 hears only host 4, and host 5 is heard by nobody.
    for (std::size_t i = 0; i < fleet.Hosts(); ++i) {
      if (i != 4) {
        fleet.mCut.insert({ i, 3 });
      }
      fleet.mCut.insert({ 5, i });
    }
    fleet.Run(12000, sendBad);
    Section("a host that one other host reaches learns what all know", [&] {
      CPPUNIT_ASSERT(fleet.Host(3).Find(parts, At(fleet.Now())));
    });
    Section("a host that nobody hears learns it as well", [&] {
      CPPUNIT_ASSERT(fleet.Host(5).Find(parts, At(fleet.Now())));
    });
    Section("a host that starts later learns it within a second or two", [&] {
      fleet.AddHost();
      fleet.Run(2000);
      CPPUNIT_ASSERT_EQUAL(fleet.Hosts(), fleet.CountBlocking(parts));
    });
  }

  void TestEnginesThatCrashTogether()
  {
    for (const std::size_t hosts : { std::size_t(18), std::size_t(295) }) {
      Section(
        std::to_string(hosts) + " hosts lose a sixth of the engines, "
                                "three times",
        [&] {
          Fleet fleet(hosts, 48, 0.03);
          int refused = 0;
          const auto send = [&] {
            if (!fleet.Send({ "hot", Shared(fleet.Random().Below(20)) })) {
              ++refused;
            }
          };
          for (std::size_t i = 0; i < 3; ++i) {
            fleet.Run(2000, send);
            for (std::size_t engine = 0; engine < 8; ++engine) {
              fleet.Crash(i * 8 + engine);
            }
          }
          fleet.Run(5000, send);
          CPPUNIT_ASSERT_EQUAL(0, refused);
          CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.CountBlocking({ "hot" }));
        });
    }
    Section("eight engines lose power under requests with a part that nobody "
            "uses soon again",
            [&] {
              PromptQuarantine host([](const std::string&) { return false; });
              for (int i = 0; i < 8; ++i) {
                const auto at = At(25 * i);
                host.OnCrash("e" + std::to_string(i), { "cold" }, at, at);
              }
              host.Update(At(5000));
              CPPUNIT_ASSERT(!host.Find({ "cold" }, At(5000)));
            });
    Section("a sixth crashes one after the other, and the part is in use", [&] {
      Fleet fleet(18, 48, 0.3);
      int refused = 0;
      const auto send = [&] {
        if (fleet.Random().Chance(0.2) && !fleet.Send({ "warm" })) {
          ++refused;
        }
      };
      fleet.Run(2000, send);
      for (std::size_t engine = 0; engine < 8; ++engine) {
        fleet.Crash(engine);
        fleet.Run(400, send);
      }
      fleet.Run(5000, send);
      CPPUNIT_ASSERT_EQUAL(0, refused);
    });
  }

  void TestOutageOfAllEngines()
  {
    struct Size
    {
      std::size_t mHosts;
      double mRequestsPerStep;
    };
    for (const auto& size : { Size{ 18, 0.13 }, Size{ 295, 0.5 } }) {
      for (const double loss : { 0.03, 0.3 }) {
        Section(
          std::to_string(size.mHosts) + " hosts, loss " + std::to_string(loss),
          [&] {
            Fleet fleet(size.mHosts, 12, loss);
            int asked = 0;
            int sent = 0;
            const auto send = [&] {
              auto& random = fleet.Random();
              if (random.Chance(size.mRequestsPerStep)) {
                ++asked;
                sent +=
                  fleet.Send({ "system", Shared(random.Below(20)) }) ? 1 : 0;
              }
            };
            fleet.Run(3000, send);
            for (std::size_t engine = 0; engine < 12; ++engine) {
              fleet.Crash(engine);
              fleet.Run(120, send);
            }
            fleet.Run(6000, send);
            asked = 0;
            sent = 0;
            fleet.Run(15000, send);
            CPPUNIT_ASSERT(asked > 100);
            CPPUNIT_ASSERT(2 * sent >= asked);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                                 fleet.CountBlocking({ "system" }));
          });
      }
    }
  }

  void TestPartThatTurnsDeadly()
  {
    for (const double loss : { 0.03, 0.3 }) {
      Section("loss " + std::to_string(loss), [&] {
        Fleet fleet(112, 40, loss);
        int sent = 0;
        const auto send = [&] {
          auto& random = fleet.Random();
          if (random.Chance(0.02) &&
              fleet.Send({ "common", "bad", Shared(random.Below(20)) })) {
            ++sent;
          }
          if (random.Chance(0.4)) {
            fleet.Send({ "common", Shared(random.Below(20)) });
          }
        };
        fleet.Run(5000, send);
        fleet.mDeadly = { "bad" };
        Section("engines are tested a few times, at growing intervals", [&] {
          fleet.Run(60000, send);
          CPPUNIT_ASSERT(fleet.mCrashedAt.size() >= 3);
          CPPUNIT_ASSERT(fleet.DeadlySendsAfter(3000) <= 3);
        });
        Section("an answer releases it soon after it was mended", [&] {
          fleet.mDeadly.clear();
          fleet.Run(70000, send);
          sent = 0;
          fleet.Run(5000, send);
          CPPUNIT_ASSERT(sent > 0);
          CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.CountBlocking({ "bad" }));
        });
      });
    }
  }

  void TestHostsThatNeverSawTheAnswers()
  {
    const auto isOwner = [](const std::string&) { return true; };
    for (const bool tellsFirst : { true, false }) {
      Section(tellsFirst ? "the host that saw them tells first"
                         : "the other host tells first",
              [&] {
                PromptQuarantine saw(isOwner);
                PromptQuarantine other(isOwner);
                saw.OnSound({ "bad" }, At(-5000), At(-4000));
                Quarantine(saw, 0);
                Quarantine(other, 0);
                if (tellsFirst) {
                  other.Merge(saw.Report(At(2100)), At(2100));
                  saw.Merge(other.Report(At(2200)), At(2200));
                } else {
                  saw.Merge(other.Report(At(2100)), At(2100));
                  other.Merge(saw.Report(At(2200)), At(2200));
                }
                // The last crash was at 2 s.
                CPPUNIT_ASSERT(saw.Find({ "bad" }, At(4900)));
                CPPUNIT_ASSERT(other.Find({ "bad" }, At(4900)));
                CPPUNIT_ASSERT(!saw.Find({ "bad" }, At(5100)));
                CPPUNIT_ASSERT(!other.Find({ "bad" }, At(5100)));
              });
    }
  }

  void TestReportOfAnOlderHost()
  {
    // The form before hosts told whether the part had answers.
    msgpack::sbuffer bytes;
    msgpack::packer<msgpack::sbuffer> packer(bytes);
    packer.pack_array(5);
    packer.pack("bad");
    packer.pack(2000);
    packer.pack(58000);
    packer.pack(60000);
    packer.pack(3);
    const auto part =
      msgpack::unpack(bytes.data(), bytes.size()).get().as<QuarantinedPart>();
    CPPUNIT_ASSERT(part == (QuarantinedPart{ "bad", 2000, 58000, 60000, 3 }));
    CrashReport report;
    report.mQuarantined = { part };
    const auto isOwner = [](const std::string&) { return true; };
    Section("a host that saw no answer holds the part as long", [&] {
      PromptQuarantine host(isOwner);
      host.Merge(report, At(2000));
      CPPUNIT_ASSERT(host.Find({ "bad" }, At(59900)));
      CPPUNIT_ASSERT(!host.Find({ "bad" }, At(60100)));
    });
    Section("a host that saw one tests it sooner", [&] {
      PromptQuarantine host(isOwner);
      host.OnSound({ "bad" }, At(-5000), At(-4000));
      host.Merge(report, At(2000));
      CPPUNIT_ASSERT(host.Find({ "bad" }, At(2900)));
      CPPUNIT_ASSERT(!host.Find({ "bad" }, At(3100)));
    });
  }

  void TestBurstAfterAQuietTime()
  {
    // Requests with a part that had answers before come in bursts, at ten hosts
    // each time, and the part is deadly now.
    Fleet fleet(112, 40, 0.03);
    const auto burst = [&] {
      for (std::size_t i = 0; i < 10; ++i) {
        fleet.SendAt(fleet.Random().Below(112), { "bad" });
        fleet.Run(40);
      }
      fleet.Run(30000);
    };
    burst();
    fleet.mDeadly = { "bad" };
    burst();
    const auto crashed = fleet.mCrashedAt.size();
    burst();
    CPPUNIT_ASSERT(fleet.mCrashedAt.size() <= crashed + 3);
  }

  void TestAnswersThatAreToldLate()
  {
    // This host learns only after the hold is over that others saw answers.
    std::set<std::string> asked;
    PromptQuarantine host([&](const std::string& aName) {
      asked.insert(aName);
      return false;
    });
    Quarantine(host, 0);
    CrashReport report;
    Section("the part is not open to many hosts at once", [&] {
      report.mQuarantined = { { "bad", 40000, -35000, 3000, 3, true } };
      host.Merge(report, At(40000));
      CPPUNIT_ASSERT(host.Find({ "bad" }, At(40100)));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked.size());
    });
    Section("a hold that a test prolonged is not shortened", [&] {
      PromptQuarantine tested([](const std::string&) { return true; });
      Quarantine(tested, 0);
      tested.OnCrash("e9", { "bad" }, At(63000), At(63000));
      tested.Merge(report, At(64000));
      tested.Update(At(64000));
      tested.Merge(report, At(65000));
      CPPUNIT_ASSERT(tested.Update(At(65000)).empty());
      CPPUNIT_ASSERT(tested.Find({ "bad" }, At(182000)));
      CPPUNIT_ASSERT(!tested.Find({ "bad" }, At(184000)));
    });
  }

  void TestOneCrashIsReportedOften()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    for (int i = 0; i < 8; ++i) {
      const std::int64_t ageMs = std::int64_t(500) * i;
      CrashReport report;
      report.mCrashes = { { "e1", ageMs, { "p" } } };
      host.Merge(report, At(500 * i));
      report.mCrashes.front().mAgeMs += 30;
      host.Merge(report, At(500 * i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.CountCrashes("p"));
    Section("the same engine crashes again after a restart", [&] {
      CrashReport report;
      report.mCrashes = { { "e1", 0, { "p" } } };
      host.Merge(report, At(9000));
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), host.CountCrashes("p"));
    });
    Section("an answer that began before a crash says nothing of it", [&] {
      host.OnSound({ "p" }, At(8000), At(9500));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.CountCrashes("p"));
    });
    Section("an answer that began after it starts the count anew", [&] {
      host.OnSound({ "p" }, At(9100), At(9600));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), host.CountCrashes("p"));
    });
    Section("crashes are forgotten", [&] {
      host.OnCrash("e2", { "p" }, At(10000), At(10000));
      host.Update(At(131000));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), host.CountCrashes("p"));
    });
  }

  void TestRepeat()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    const Parts parts{ "common", "bad" };
    Section("at first sight nothing is known against the request", [&] {
      host.OnCrash("e1", parts, At(0), At(0));
      CPPUNIT_ASSERT(!host.FindSuspect(parts, "e1", At(0)));
    });
    Section("engines that crash together do not suspect the requests on them",
            [&] { CPPUNIT_ASSERT(!host.FindSuspect(parts, "e2", At(100))); });
    Section("its engine is the second one that crashes with the part",
            [&] { CPPUNIT_ASSERT(host.FindSuspect(parts, "e2", At(1000))); });
    Section("an answer clears only the parts it has", [&] {
      host.OnSound({ "common" }, At(500), At(900));
      CPPUNIT_ASSERT(!host.FindSuspect({ "common" }, "e2", At(1000)));
      CPPUNIT_ASSERT(host.FindSuspect(parts, "e2", At(1000)) == "bad");
    });
  }

  void TestQuarantineIsTested()
  {
    Fleet fleet(6, 10, 0.03);
    fleet.mDeadly = { "bad" };
    int sent = 0;
    const auto send = [&] {
      if (fleet.Random().Chance(0.03) && fleet.Send({ "bad" })) {
        ++sent;
      }
    };
    fleet.Run(8000, send);
    const int last = fleet.mCrashedAt.back();
    sent = 0;
    Section("no request passes for a minute", [&] {
      fleet.Run(last + 59000 - fleet.Now(), send);
      CPPUNIT_ASSERT_EQUAL(0, sent);
    });
    Section("then one does, and its crash holds the part for two minutes", [&] {
      fleet.Run(100000, send);
      CPPUNIT_ASSERT_EQUAL(1, sent);
    });
    Section("an answer ends the quarantine on all hosts", [&] {
      fleet.mDeadly.clear();
      fleet.Run(40000, send);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.CountBlocking({ "bad" }));
      CPPUNIT_ASSERT(sent > 10);
    });
  }

  void TestHostsDoNotProlongAQuarantine()
  {
    // Each host hears of the quarantine again and again, also after its end.
    Fleet fleet(2, 2, 0);
    fleet.mOwner = 0;
    Quarantine(fleet.Host(0), 0);
    fleet.Run(61000);
    const auto block = fleet.Host(1).Find({ "bad" }, At(fleet.Now()));
    CPPUNIT_ASSERT(block->mRetryAfter > seconds(0));
    fleet.Run(2500);
    CPPUNIT_ASSERT(!fleet.Host(0).Find({ "bad" }, At(fleet.Now())));
    fleet.Run(
      static_cast<int>(std::chrono::duration_cast<milliseconds>(
                         PromptQuarantine::kForgetQuarantine + seconds(5))
                         .count()));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.CountBlocking({ "bad" }));
  }

  void TestHostileReports()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    CrashReport report;
    const std::string longName(PromptQuarantine::kMaxNameBytes + 1, 'a');
    const std::int64_t huge = std::numeric_limits<std::int64_t>::max();
    Section("names that are too long, or empty", [&] {
      report.mCrashes = { { "e1", 0, { longName, "" } },
                          { longName, 0, { "p" } } };
      report.mSound = { { longName, 0 } };
      report.mQuarantined = { { longName, 0, 1000, 1000, 3 } };
      host.Merge(report, At(0));
      CPPUNIT_ASSERT(host.Report(At(0)).IsEmpty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), host.CountCrashes("p"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), host.CountCrashes(longName));
    });
    Section("numbers out of range", [&] {
      report.mCrashes = { { "e1", -huge, { "p" } }, { "e2", huge, { "p" } } };
      report.mSound = { { "q", -huge }, { "q", huge } };
      report.mQuarantined = { { "r", -huge, huge, huge, huge } };
      host.Merge(report, At(0));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.CountCrashes("p"));
      CPPUNIT_ASSERT(host.Find({ "r" }, At(0))->mRetryAfter <=
                     PromptQuarantine::kLongestHold);
    });
    Section("more parts than are kept", [&] {
      for (int i = 0; i < 10000; ++i) {
        const auto name = "n" + std::to_string(i);
        host.OnSound({ name }, At(i), At(i));
        host.OnCrash("e" + name, { name, "x" + name }, At(i), At(i));
        CrashReport next;
        next.mQuarantined = { { name, 0, 5000, 5000, 3 } };
        host.Merge(next, At(i));
      }
      const auto sent = host.Report(At(10000));
      CPPUNIT_ASSERT(sent.mCrashes.size() <= 8);
      CPPUNIT_ASSERT(sent.mQuarantined.size() <= 64);
      CPPUNIT_ASSERT(host.Update(At(10000)).size() <= 10300);
    });
  }

  void TestRepeatAfterAnOrdinaryCrash()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    host.OnCrash("e1", { "common" }, At(0), At(0));
    Section("soon after it, repeats are withheld", [&] {
      CPPUNIT_ASSERT(host.FindSuspect({ "common" }, "e2", At(5000)));
    });
    Section("later they are not, though nothing cleared the part", [&] {
      CPPUNIT_ASSERT(!host.FindSuspect({ "common" }, "e2", At(10000)));
    });
    Section("the others are told of the first answer after it", [&] {
      host.OnSound({ "common" }, At(100), At(500));
      const auto report = host.Report(At(500));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), report.mSound.size());
      PromptQuarantine other([](const std::string&) { return false; });
      other.OnCrash("e1", { "common" }, At(0), At(0));
      other.Merge(report, At(520));
      CPPUNIT_ASSERT(!other.FindSuspect({ "common" }, "e2", At(1000)));
    });
  }

  void TestOlderAnswerOfAnotherHost()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    host.OnCrash("e1", { "p" }, At(0), At(0));
    host.OnCrash("e2", { "p" }, At(1000), At(1000));
    host.OnSound({ "p" }, At(1500), At(1800));
    CrashReport report;
    Section("it does not clear the later crash, so this host still tells of "
            "its answer",
            [&] {
              report.mSound = { { "p", 1400 } };
              host.Merge(report, At(1900));
              CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                   host.Report(At(1900)).mSound.size());
            });
    Section("a newer one is enough", [&] {
      report.mSound = { { "p", 100 } };
      host.Merge(report, At(1900));
      CPPUNIT_ASSERT(host.Report(At(1900)).mSound.empty());
    });
  }

  void TestHugeCountOfCrashes()
  {
    PromptQuarantine host([](const std::string&) { return false; });
    CrashReport report;
    report.mQuarantined = {
      { "r", 0, 1000, 60000, std::numeric_limits<std::int64_t>::max() }
    };
    host.Merge(report, At(0));
    const auto before = host.Find({ "r" }, At(0))->mCrashes;
    host.OnCrash("e1", { "r" }, At(2000), At(2000));
    CPPUNIT_ASSERT(host.Find({ "r" }, At(2000))->mCrashes > before);
  }

  void TestOwnerThatGetsNoSuchRequest()
  {
    Fleet fleet(18, 40, 0.03);
    fleet.mDeadly = { "bad" };
    fleet.mOwner = fleet.Hosts();
    int sent = 0;
    const auto send = [&] {
      if (fleet.Random().Chance(0.03) && fleet.Send({ "bad" })) {
        ++sent;
      }
    };
    fleet.Run(8000, send);
    const int last = fleet.mCrashedAt.back();
    sent = 0;
    Section("for some time the others leave the test to the owner", [&] {
      fleet.Run(last + 74000 - fleet.Now(), send);
      CPPUNIT_ASSERT_EQUAL(0, sent);
    });
    Section("then another host tests", [&] {
      fleet.Run(120000, send);
      CPPUNIT_ASSERT(sent >= 1);
      CPPUNIT_ASSERT(sent <= 3);
    });
    Section("an answer ends the quarantine", [&] {
      fleet.mDeadly.clear();
      fleet.Run(250000, send);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.CountBlocking({ "bad" }));
    });
  }

  void TestMoreHostsMayTestAsTimePasses()
  {
    std::set<std::string> asked;
    PromptQuarantine host([&](const std::string& aName) {
      asked.insert(aName);
      return false;
    });
    Quarantine(host, 0);
    std::size_t known = 0;
    for (int n = 0; n < 7; ++n) {
      // The last crash is at 2 s, and the hold ends a minute later.
      const int atMs = 62500 + n * 15000;
      asked.clear();
      CPPUNIT_ASSERT(host.Find({ "bad" }, At(atMs)));
      CPPUNIT_ASSERT(asked.contains("bad"));
      CPPUNIT_ASSERT(asked.size() > known);
      known = asked.size();
    }
    CPPUNIT_ASSERT(!host.Find({ "bad" }, At(62500 + 7 * 15000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);

} // namespace ragwortdeck
