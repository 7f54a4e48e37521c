#include "Controllers/ActionWorld.h"
#include "Support/Section.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <optional>
#include <set>

namespace ragwortdeck {

using namespace std::chrono_literals;

namespace {

/// Where a fault can be put.
enum class Place
{
  kKeyCall,
  kDispatch,
  kStep,
  kCaller,
};
constexpr std::size_t kPlaces = 4;

struct Fault
{
  Place mPlace = Place::kKeyCall;
  /// Counted over both hosts from the start of the run.
  std::uint64_t mIndex = 0;
  int mKind = 0;
};

using Counts = std::array<std::uint64_t, kPlaces>;

constexpr std::array kKeyFaults{ ProcessCallFault::kRefused,
                                 ProcessCallFault::kRequestLost,
                                 ProcessCallFault::kReplyLost,
                                 ProcessCallFault::kDelayedPastTimeout,
                                 ProcessCallFault::kDelayedLong };
constexpr std::array kDispatchFaults{ DispatchFault::kNotSent,
                                      DispatchFault::kRequestLost,
                                      DispatchFault::kReplyLost,
                                      DispatchFault::kDelayed,
                                      DispatchFault::kSlow };
constexpr std::array kCallerFaults{ CallerFault::kRequestLost,
                                    CallerFault::kReplyLost,
                                    CallerFault::kDelayed,
                                    CallerFault::kDuplicated,
                                    CallerFault::kDuplicatedLate };
// A freeze inside the dispatch window, one past it, and one past the answer
// limit; the later ones wake into replies first or timers first.
constexpr std::array kStepFaults{
  ProcessFault{ ProcessFault::Type::kKill, {} },
  ProcessFault{ ProcessFault::Type::kFreezeTimersFirst, 1s },
  ProcessFault{ ProcessFault::Type::kFreezeTimersFirst, 5s },
  ProcessFault{ ProcessFault::Type::kFreezeRepliesFirst, 5s },
  ProcessFault{ ProcessFault::Type::kFreezeRepliesFirst, 30s },
};
static_assert(kKeyFaults.size() == kDispatchFaults.size() &&
              kKeyFaults.size() == kStepFaults.size() &&
              kKeyFaults.size() == kCallerFaults.size());
constexpr int kKinds = int(kKeyFaults.size());

// Faults begin before this; all disturbances have passed when the last call
// of the run is made.
constexpr Duration kFaultsUntil = 60s;
constexpr Duration kLastCall = 150s;
constexpr Duration kEnd = 170s;

/// The callers of a run.
enum class Script
{
  kOneCaller,
  kTwoHostsAtOnce,
  kOneHostTwice,
  /// As the first two, with a service that answers queries by key.
  kOneCallerWithQuery,
  kTwoHostsWithQuery,
};

/// A deliberate mistake that the walk must notice.
enum class Mistake
{
  kNone,
  kNoWindowCheck,
  kUnknownDispatchIsNotSent,
  kCallerNewKeyAfterUnknown,
};

struct RunResult
{
  Counts mCounts{};
  /// Counts at the moment after the first fault.
  std::optional<Counts> mAfterFirst;
  std::vector<std::string> mViolations;
};

/// \brief One run of a script with up to two faults.
class WalkRun
{
public:
  WalkRun(Script aScript, Mistake aMistake, std::vector<Fault> aFaults)
    : mScript(aScript)
    , mMistake(aMistake)
    , mFaults(std::move(aFaults))
    , mWorld(2, {})
  {
    mWorld.mUnknownDispatchIsNotSent =
      aMistake == Mistake::kUnknownDispatchIsNotSent;
    if (aMistake == Mistake::kNoWindowCheck) {
      mWorld.mClockStopsWhileFrozen = true;
      mWorld.Process(0).mClockStopsWhileFrozen = true;
      mWorld.Process(1).mClockStopsWhileFrozen = true;
    }
    mWorld.mKeyFault = [this] {
      const auto kind = Next(Place::kKeyCall);
      return kind < 0 ? ProcessCallFault::kNone : kKeyFaults[kind];
    };
    mWorld.mDispatchFault = [this] {
      const auto kind = Next(Place::kDispatch);
      return kind < 0 ? DispatchFault::kNone : kDispatchFaults[kind];
    };
    mWorld.mCallerFault = [this] {
      const auto kind = Next(Place::kCaller);
      return kind < 0 ? CallerFault::kNone : kCallerFaults[kind];
    };
    mWorld.mStepFault = [this](std::size_t) {
      const auto kind = Next(Place::kStep);
      return kind < 0 ? ProcessFault{} : kStepFaults[kind];
    };
  }

  RunResult Run()
  {
    mWorld.mQueries = mScript == Script::kOneCallerWithQuery ||
                      mScript == Script::kTwoHostsWithQuery;
    StartCallers();
    mWorld.mScheduler.Advance(kLastCall);
    std::optional<RunState> last;
    mWorld.Call(
      1,
      ActionWorld::MakeCall("deposit", "k"),
      "deposit",
      [&last](const ActionResult& aResult) { last = aResult.mVerdict.mState; });
    mWorld.mScheduler.Advance(kEnd - kLastCall);
    mResult.mViolations = mWorld.Violations();
    if (mMistake != Mistake::kCallerNewKeyAfterUnknown && MustEndRan() &&
        last != RunState::kRan) {
      mResult.mViolations.push_back("a repeat does not run the action");
    }
    return mResult;
  }

private:
  int Next(Place aPlace)
  {
    const auto place = std::size_t(aPlace);
    if (mWorld.mScheduler.Now() > mStart + kFaultsUntil) {
      return -1;
    }
    const auto index = mResult.mCounts[place]++;
    for (std::size_t n = 0; n < mFaults.size(); ++n) {
      if (mFaults[n].mPlace == aPlace && mFaults[n].mIndex == index) {
        if (n == 0) {
          mResult.mAfterFirst = mResult.mCounts;
        }
        return mFaults[n].mKind;
      }
    }
    return -1;
  }

  void StartCallers()
  {
    CallerPlan plan;
    plan.mAction = "deposit";
    plan.mKey = "k";
    plan.mNewKeyAfterUnknown = mMistake == Mistake::kCallerNewKeyAfterUnknown;
    mWorld.StartCaller(plan);
    if (mScript == Script::kOneCaller ||
        mScript == Script::kOneCallerWithQuery) {
      return;
    }
    plan.mFirstHost = mScript == Script::kOneHostTwice ? 0 : 1;
    mWorld.StartCaller(plan);
  }

  /// Without a death and without an unknown dispatch, nothing may leave the
  /// action undecided.
  bool MustEndRan() const
  {
    for (const auto& fault : mFaults) {
      const bool kill = fault.mPlace == Place::kStep &&
                        kStepFaults[std::size_t(fault.mKind)].mType ==
                          ProcessFault::Type::kKill;
      const bool unknown =
        fault.mPlace == Place::kDispatch &&
        kDispatchFaults[std::size_t(fault.mKind)] != DispatchFault::kNotSent;
      if (kill || unknown) {
        return false;
      }
    }
    return true;
  }

  Script mScript;
  Mistake mMistake;
  std::vector<Fault> mFaults;
  ActionWorld mWorld;
  MonotonicTime mStart = mWorld.mScheduler.Now();
  RunResult mResult;
};

std::string
Describe(const std::vector<Fault>& aFaults)
{
  constexpr std::array kNames{ "key call", "dispatch", "step", "caller" };
  std::string text;
  for (const auto& fault : aFaults) {
    text += std::string(text.empty() ? "" : ", ") +
            kNames[std::size_t(fault.mPlace)] + ' ' +
            std::to_string(fault.mIndex) + " kind " +
            std::to_string(fault.mKind);
  }
  return text;
}

std::vector<Fault>
FaultsBetween(const Counts& aFrom, const Counts& aTo)
{
  std::vector<Fault> faults;
  for (std::size_t place = 0; place < kPlaces; ++place) {
    for (auto index = aFrom[place]; index < aTo[place]; ++index) {
      for (int kind = 0; kind < kKinds; ++kind) {
        faults.push_back({ Place(place), index, kind });
      }
    }
  }
  return faults;
}

/// \brief All runs of a script with no, one and two faults. The second fault
/// takes every place that the run with the first fault alone reaches after
/// it, so that faults also fall into what the first one caused.
class Walk
{
public:
  Walk(Script aScript, Mistake aMistake)
    : mScript(aScript)
    , mMistake(aMistake)
  {
  }

  void Run(int aMaxFaults)
  {
    const auto base = RunOne({});
    for (const auto& first : FaultsBetween({}, base.mCounts)) {
      const auto single = RunOne({ first });
      ++mSingles;
      if (aMaxFaults < 2) {
        continue;
      }
      for (const auto& second :
           FaultsBetween(single.mAfterFirst.value(), single.mCounts)) {
        RunOne({ first, second });
        ++mDoubles;
      }
    }
  }

  std::uint64_t mSingles = 0;
  std::uint64_t mDoubles = 0;
  std::uint64_t mFailed = 0;
  /// Violated invariants, without details.
  std::set<std::string> mInvariants;
  std::string mFirstFailure;

private:
  RunResult RunOne(const std::vector<Fault>& aFaults)
  {
    auto result = WalkRun(mScript, mMistake, aFaults).Run();
    if (!result.mViolations.empty()) {
      ++mFailed;
      if (mFirstFailure.empty()) {
        mFirstFailure =
          '[' + Describe(aFaults) + "] " + result.mViolations.front();
      }
    }
    for (const auto& violation : result.mViolations) {
      mInvariants.insert(violation.substr(0, violation.find(':')));
    }
    return result;
  }

  Script mScript;
  Mistake mMistake;
};

} // namespace

/// \brief Walks all single and double faults of an action with repeating
/// callers on two hosts.
class ActionFaultWalkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ActionFaultWalkTest);
  CPPUNIT_TEST(TestAllFaults);
  CPPUNIT_TEST(TestWalkFindsMistakes);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestAllFaults()
  {
    std::uint64_t singles = 0;
    std::uint64_t doubles = 0;
    for (const auto script : { Script::kOneCaller,
                               Script::kTwoHostsAtOnce,
                               Script::kOneHostTwice,
                               Script::kOneCallerWithQuery,
                               Script::kTwoHostsWithQuery }) {
      Walk walk(script, Mistake::kNone);
      walk.Run(2);
      CPPUNIT_ASSERT_EQUAL(std::string(), walk.mFirstFailure);
      singles += walk.mSingles;
      doubles += walk.mDoubles;
    }
    std::cerr << " (" << singles << " single and " << doubles
              << " double faults)";
    // The walk must not shrink unnoticed.
    CPPUNIT_ASSERT(singles > 100);
    CPPUNIT_ASSERT(doubles > 10'000);
  }

  void TestWalkFindsMistakes()
  {
    const std::vector<std::pair<Mistake, std::string>> mistakes{
      { Mistake::kNoWindowCheck, "dispatched-in-window" },
      { Mistake::kUnknownDispatchIsNotSent, "action-at-most-once" },
      { Mistake::kCallerNewKeyAfterUnknown, "action-at-most-once" },
    };
    for (const auto& entry : mistakes) {
      Section("mistake " + std::to_string(int(entry.first)), [&entry] {
        Walk walk(Script::kOneCaller, entry.first);
        walk.Run(1);
        CPPUNIT_ASSERT(walk.mFailed > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             walk.mInvariants.count(entry.second));
        std::cerr << " (" << walk.mFailed << " of " << walk.mSingles
                  << " runs violate " << entry.second << ')';
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActionFaultWalkTest);

} // namespace ragwortdeck
