#include "Filters/StreamRelay.h"
#include "Filters/CancelQueue.h"
#include "Support/Section.h"
#include "Support/VirtualScheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace ragwortdeck {

namespace {

constexpr Duration kFirstToken{ 1'000'000 };
const TargetId kFirst("engine-1");
const TargetId kSecond("engine-2");

EngineEvent
MakeEvent(std::int64_t aSequence, EngineEventKind aKind)
{
  EngineEvent event;
  event.mSequence = aSequence;
  event.mKind = aKind;
  event.mType = aKind == EngineEventKind::kFailed ? "response.failed" : "event";
  event.mData = "{}";
  return event;
}

/// \brief A relay whose hooks record what it asks for.
struct Bench
{
  struct Opened
  {
    Attempt mAttempt;
    bool mIsNew;
    std::optional<std::int64_t> mAfter;
  };

  Bench()
    : mRelay(mScheduler,
             {},
             mScheduler.Now() + std::chrono::seconds(60),
             Hooks())
  {
  }

  StreamRelay::Hooks Hooks()
  {
    StreamRelay::Hooks hooks;
    hooks.mOpen = [this](const Attempt& aAttempt,
                         bool aIsNew,
                         std::optional<std::int64_t> aAfter) {
      mOpened.push_back({ aAttempt, aIsNew, aAfter });
    };
    hooks.mClose = [] {};
    hooks.mCancel = [this](const Attempt& aAttempt) {
      mCancelled.push_back(aAttempt);
    };
    hooks.mDeliver = [this](const Attempt& aAttempt,
                            const EngineEvent& aEvent) {
      mDelivered.push_back(aEvent.mSequence);
      mDeliveredFrom.push_back(aAttempt.mNumber);
    };
    hooks.mReplace = [this](DispatchOutcome aOutcome) {
      mReplaced.push_back(aOutcome);
      return mMayReplace;
    };
    hooks.mEnd = [this](const RelayEnd& aEnd) {
      CPPUNIT_ASSERT(!mEnd);
      mEnd = aEnd;
    };
    hooks.mMakeEngineId = [](std::uint32_t aAttempt) {
      return "id-" + std::to_string(aAttempt);
    };
    return hooks;
  }

  void Preamble()
  {
    mRelay.OnEvent(MakeEvent(0, EngineEventKind::kPreamble));
    mRelay.OnEvent(MakeEvent(1, EngineEventKind::kPreamble));
  }
  void Token(std::int64_t aSequence)
  {
    mRelay.OnEvent(MakeEvent(aSequence, EngineEventKind::kToken));
  }
  void Complete(std::int64_t aSequence)
  {
    mRelay.OnEvent(MakeEvent(aSequence, EngineEventKind::kCompleted));
  }
  /// A stream bound to the first engine, with tokens up to aLast.
  void StartBound(std::int64_t aLast)
  {
    mRelay.Start(kFirst, kFirstToken);
    Preamble();
    for (std::int64_t n = 2; n <= aLast; ++n) {
      Token(n);
    }
  }
  /// Runs what is due at once, such as an immediate resume.
  void Settle() { mScheduler.Advance(Duration(0)); }

  VirtualScheduler mScheduler;
  std::vector<Opened> mOpened;
  std::vector<Attempt> mCancelled;
  std::vector<std::int64_t> mDelivered;
  std::vector<std::uint32_t> mDeliveredFrom;
  std::vector<DispatchOutcome> mReplaced;
  bool mMayReplace = true;
  std::optional<RelayEnd> mEnd;
  StreamRelay mRelay;
};

using Sequence = std::vector<std::int64_t>;

} // namespace

/// \brief Relay of one answer: order, duplicates, gaps, lost generations.
class StreamRelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamRelayTest);
  CPPUNIT_TEST(TestDuplicatesAndGaps);
  CPPUNIT_TEST(TestResumeAfterBreakAndStall);
  CPPUNIT_TEST(TestGenerationLost);
  CPPUNIT_TEST(TestReplaceBeforeFirstToken);
  CPPUNIT_TEST(TestNeverReplacedAfterFirstToken);
  CPPUNIT_TEST(TestVerdictsBeforeFirstToken);
  CPPUNIT_TEST(TestSentRequestsMayHaveRun);
  CPPUNIT_TEST(TestCallerGone);
  CPPUNIT_TEST(TestSlowCallerIsNoStall);
  CPPUNIT_TEST(TestDeadline);
  CPPUNIT_TEST(TestRandomFaults);
  CPPUNIT_TEST(TestCancelIsRepeated);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a token that reaches the caller twice, out of order or
  /// after a hole.
  void TestDuplicatesAndGaps()
  {
    Bench bench;
    bench.StartBound(3);
    Section("duplicates are dropped", [&] {
      bench.Token(3);
      bench.Token(1);
      CPPUNIT_ASSERT(Sequence({ 0, 1, 2, 3 }) == bench.mDelivered);
    });
    Section("a gap resumes after the last event in order", [&] {
      bench.Token(5);
      bench.Settle();
      CPPUNIT_ASSERT(Sequence({ 0, 1, 2, 3 }) == bench.mDelivered);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.mOpened.size());
      CPPUNIT_ASSERT(!bench.mOpened[1].mIsNew);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(3), *bench.mOpened[1].mAfter);
    });
    Section("the resumed stream goes on", [&] {
      bench.Token(4);
      bench.Token(5);
      bench.Complete(6);
      CPPUNIT_ASSERT(Sequence({ 0, 1, 2, 3, 4, 5, 6 }) == bench.mDelivered);
      CPPUNIT_ASSERT(RelayEndKind::kCompleted == bench.mEnd->mKind);
      CPPUNIT_ASSERT(bench.mCancelled.empty());
    });
  }

  /// Guards against answers that stop when a link breaks or stalls silently.
  void TestResumeAfterBreakAndStall()
  {
    Bench bench;
    bench.StartBound(4);
    bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
    bench.Settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.mOpened.size());
    bench.Token(5);
    bench.mScheduler.Advance(RelayLimits().mStall);
    bench.Settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), bench.mOpened.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), *bench.mOpened[2].mAfter);
    CPPUNIT_ASSERT(!bench.mEnd);
  }

  /// Guards against a partial answer that is presented as whole, and against
  /// a caller that waits for a dead engine.
  void TestGenerationLost()
  {
    Section("the engine refuses connections", [] {
      Bench bench;
      bench.StartBound(4);
      bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
      bench.Settle();
      bench.mRelay.OnStreamEnd({ StreamEndKind::kRefused, 0, "" });
      CPPUNIT_ASSERT(RelayEndKind::kGenerationLost == bench.mEnd->mKind);
    });
    Section("the restarted engine does not know the generation", [] {
      Bench bench;
      bench.StartBound(4);
      bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
      bench.Settle();
      bench.mRelay.OnStreamEnd({ StreamEndKind::kRejected, 404, "" });
      CPPUNIT_ASSERT(RelayEndKind::kGenerationLost == bench.mEnd->mKind);
      CPPUNIT_ASSERT(bench.mCancelled.empty());
    });
    Section("the engine stays silent", [] {
      Bench bench;
      bench.StartBound(4);
      bench.mScheduler.Advance(std::chrono::seconds(40));
      CPPUNIT_ASSERT(RelayEndKind::kGenerationLost == bench.mEnd->mKind);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.mCancelled.size());
    });
  }

  /// Guards against a request that fails although another engine could serve
  /// it, and against abandoned generations that keep engine memory.
  void TestReplaceBeforeFirstToken()
  {
    Bench bench;
    bench.mRelay.Start(kFirst, kFirstToken);
    bench.Preamble();
    bench.mScheduler.Advance(kFirstToken);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.mReplaced.size());
    CPPUNIT_ASSERT(DispatchOutcome::kTargetStalled == bench.mReplaced[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("id-1"), bench.mCancelled[0].mEngineId);
    bench.mRelay.Start(kSecond, kFirstToken);
    bench.Preamble();
    bench.Token(2);
    bench.Complete(3);
    CPPUNIT_ASSERT(Sequence({ 0, 1, 2, 3 }) == bench.mDelivered);
    CPPUNIT_ASSERT(std::vector<std::uint32_t>({ 2, 2, 2, 2 }) ==
                   bench.mDeliveredFrom);
  }

  /// Guards against tokens of a second generation in one answer.
  void TestNeverReplacedAfterFirstToken()
  {
    const std::vector<StreamEnd> ends = {
      { StreamEndKind::kEnded, 200, "" },
      { StreamEndKind::kRefused, 0, "" },
      { StreamEndKind::kNotConnected, 0, "" },
      { StreamEndKind::kDropped, 0, "" },
      { StreamEndKind::kRejected, 404, "" },
      { StreamEndKind::kRejected, 503, "" },
    };
    for (const auto& end : ends) {
      Bench bench;
      bench.StartBound(2);
      for (int n = 0; n < 10 && !bench.mEnd; ++n) {
        bench.mRelay.OnStreamEnd(end);
        bench.mScheduler.Advance(std::chrono::seconds(1));
      }
      CPPUNIT_ASSERT(RelayEndKind::kGenerationLost == bench.mEnd->mKind);
      CPPUNIT_ASSERT(bench.mReplaced.empty());
      for (const auto& opened : bench.mOpened) {
        CPPUNIT_ASSERT_EQUAL(1U, opened.mAttempt.mNumber);
      }
    }
  }

  /// Guards against "not run" for a request that an engine may have started.
  void TestVerdictsBeforeFirstToken()
  {
    const auto verdictAfter = [](const StreamEnd& aEnd) {
      Bench bench;
      bench.mMayReplace = false;
      bench.mRelay.Start(kFirst, kFirstToken);
      bench.mRelay.OnStreamEnd(aEnd);
      CPPUNIT_ASSERT(RelayEndKind::kFailed == bench.mEnd->mKind);
      return bench.mEnd->mVerdict;
    };
    CPPUNIT_ASSERT(RunState::kNotRun ==
                   verdictAfter({ StreamEndKind::kRefused, 0, "" }).mState);
    CPPUNIT_ASSERT(RunState::kNotRun ==
                   verdictAfter({ StreamEndKind::kRejected, 503, "" }).mState);
    CPPUNIT_ASSERT(RunState::kMayHaveRun ==
                   verdictAfter({ StreamEndKind::kRejected, 500, "" }).mState);
    CPPUNIT_ASSERT(RunState::kMayHaveRun ==
                   verdictAfter({ StreamEndKind::kDropped, 0, "" }).mState);
    CPPUNIT_ASSERT_EQUAL(
      400, verdictAfter({ StreamEndKind::kRejected, 400, "" }).mStatus);
    Section("the verdict of a later refusal keeps an earlier attempt", [] {
      Bench bench;
      bench.mRelay.Start(kFirst, kFirstToken);
      bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
      bench.mRelay.OnRefused({ RunState::kNotRun, 503, "no_target", "", {} });
      CPPUNIT_ASSERT(RunState::kMayHaveRun == bench.mEnd->mVerdict.mState);
    });
  }

  /// Guards against "not run" for a request that an engine has, or had, while
  /// it is given up for another reason than the engine's refusal.
  void TestSentRequestsMayHaveRun()
  {
    Section("the deadline passes before the first token", [] {
      Bench bench;
      bench.mRelay.Start(kFirst, std::chrono::seconds(100));
      bench.mScheduler.Advance(std::chrono::seconds(60));
      CPPUNIT_ASSERT(RunState::kMayHaveRun == bench.mEnd->mVerdict.mState);
    });
    Section("the engine reports an error after it has begun", [] {
      Bench bench;
      bench.mMayReplace = false;
      bench.mRelay.Start(kFirst, kFirstToken);
      bench.Preamble();
      bench.mRelay.OnEvent(MakeEvent(2, EngineEventKind::kFailed));
      CPPUNIT_ASSERT(RunState::kMayHaveRun == bench.mEnd->mVerdict.mState);
    });
    Section("an event is missing, and the engine cannot be reached again", [] {
      Bench bench;
      bench.mMayReplace = false;
      bench.mRelay.Start(kFirst, kFirstToken);
      bench.Preamble();
      bench.Token(5);
      for (int n = 0; n < 20 && !bench.mEnd; ++n) {
        bench.mScheduler.Advance(std::chrono::seconds(1));
        bench.mRelay.OnStreamEnd({ StreamEndKind::kRefused, 0, "" });
      }
      CPPUNIT_ASSERT(RunState::kMayHaveRun == bench.mEnd->mVerdict.mState);
    });
    Section("another engine rejects the request as the caller's fault after "
            "the first one broke off",
            [] {
              Bench bench;
              bench.mRelay.Start(kFirst, kFirstToken);
              bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
              bench.mRelay.Start(kSecond, kFirstToken);
              bench.mRelay.OnStreamEnd({ StreamEndKind::kRejected, 400, "" });
              CPPUNIT_ASSERT(RunState::kMayHaveRun ==
                             bench.mEnd->mVerdict.mState);
            });
    Section("the deadline passes while a request that no engine took waits",
            [] {
              Bench bench;
              bench.mRelay.Start(kFirst, kFirstToken);
              bench.mRelay.OnStreamEnd({ StreamEndKind::kRejected, 503, "" });
              bench.mScheduler.Advance(std::chrono::seconds(60));
              CPPUNIT_ASSERT(RunState::kNotRun == bench.mEnd->mVerdict.mState);
            });
  }

  /// Guards against generations that run on for a caller that has left.
  void TestCallerGone()
  {
    Bench bench;
    bench.StartBound(3);
    bench.mRelay.OnCallerGone();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.mCancelled.size());
    CPPUNIT_ASSERT(RelayEndKind::kCallerGone == bench.mEnd->mKind);
    bench.Token(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), bench.mDelivered.size());
  }

  /// Guards against resume storms caused by a caller that reads slowly.
  void TestSlowCallerIsNoStall()
  {
    Bench bench;
    bench.StartBound(3);
    bench.mRelay.SetPaused(true);
    bench.mScheduler.Advance(std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.mOpened.size());
    bench.mRelay.SetPaused(false);
    bench.mScheduler.Advance(RelayLimits().mStall);
    bench.Settle();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), bench.mOpened.size());
  }

  /// Guards against answers that run on after they have become useless.
  void TestDeadline()
  {
    Bench bench;
    bench.mRelay.Start(kFirst, std::chrono::seconds(100));
    bench.mScheduler.Advance(std::chrono::seconds(60));
    CPPUNIT_ASSERT(RelayEndKind::kDeadlineExceeded == bench.mEnd->mKind);
    CPPUNIT_ASSERT_EQUAL(504, bench.mEnd->mVerdict.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), bench.mCancelled.size());
  }

  /// Guards against any mix of faults that breaks the order of an answer.
  void TestRandomFaults()
  {
    constexpr std::int64_t kLast = 60;
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
      RandomSource random(seed);
      Bench bench;
      bench.mRelay.Start(kFirst, kFirstToken);
      std::int64_t next = 0;
      std::size_t seen = 1;
      while (!bench.mEnd) {
        if (bench.mOpened.size() > seen) {
          seen = bench.mOpened.size();
          const auto& opened = bench.mOpened.back();
          next = opened.mAfter ? *opened.mAfter + 1 : 0;
        }
        if (bench.mReplaced.size() + 1 > bench.mRelay.Current().mNumber) {
          bench.mRelay.Start(kSecond, kFirstToken);
          continue;
        }
        const auto draw = random.Below(20);
        if (draw == 0) {
          bench.mRelay.OnStreamEnd({ StreamEndKind::kDropped, 0, "" });
        } else if (draw == 1) {
          ++next;
        } else if (draw == 2 && next > 0) {
          --next;
        } else if (next < 2) {
          bench.mRelay.OnEvent(MakeEvent(next++, EngineEventKind::kPreamble));
        } else if (next < kLast) {
          bench.Token(next++);
        } else {
          bench.Complete(kLast);
          next = kLast;
        }
        bench.mScheduler.Advance(std::chrono::milliseconds(5));
      }
      const auto& delivered = bench.mDelivered;
      for (std::size_t n = 0; n < delivered.size(); ++n) {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(n), delivered[n]);
        CPPUNIT_ASSERT_EQUAL(bench.mDeliveredFrom[0], bench.mDeliveredFrom[n]);
      }
      if (bench.mEnd->mKind == RelayEndKind::kCompleted) {
        CPPUNIT_ASSERT_EQUAL(kLast, delivered.back());
      }
    }
  }

  /// Guards against engine memory that stays in use because a cancel was
  /// lost.
  void TestCancelIsRepeated()
  {
    VirtualScheduler scheduler;
    std::vector<CancelReply> replies = { CancelReply::kUnknown,
                                         CancelReply::kRefused,
                                         CancelReply::kUnknown,
                                         CancelReply::kConfirmed };
    std::size_t sent = 0;
    CancelQueue queue(scheduler,
                      RandomSource(1),
                      [&](const Attempt&, const CancelQueue::OnReply& aReply) {
                        aReply(sent < replies.size() ? replies[sent]
                                                     : CancelReply::kRefused);
                        ++sent;
                      });
    queue.Add({ 1, kFirst, "id-1" });
    scheduler.Advance(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.Size());
    Section("an engine that keeps refusing connections is gone", [&] {
      queue.Add({ 1, kFirst, "id-2" });
      scheduler.Advance(std::chrono::seconds(60));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.Size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(8), sent);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRelayTest);

} // namespace ragwortdeck
