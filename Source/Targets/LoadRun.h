#pragma once

#include "Core/QtScheduler.h"
#include "Core/RandomSource.h"
#include "Targets/CurlMulti.h"
#include "Targets/EngineStream.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief What one thread of load sends.
struct LoadPlan
{
  /// Routers or engines, "127.0.0.1:8080"; requests go to them in turn.
  std::vector<std::string> mAddresses;
  /// Bearer token; empty sends no Authorization header.
  std::string mToken;
  std::string mModel = "drafts";
  std::string mKind;
  std::uint32_t mStreams = 10;
  /// Requests in total.
  std::uint32_t mRequests = 100;
  /// The first requests start spread over this time.
  Duration mRamp{};
  std::uint32_t mInputBytes = 200;
  /// Asked of the stand-in engine; 0 leaves the length to it.
  std::uint32_t mOutputTokens = 0;
  /// Gaps between tokens above this count as stalls.
  Duration mStallThreshold{ 1'000'000 };
  /// Times a broken stream is resumed, each time at the next address.
  std::uint32_t mResumes = 0;
  std::uint64_t mSeed = 1;
};

/// \brief What a load run saw. Latencies are in microseconds.
struct LoadReportSheet
{
  std::vector<std::int64_t> mFirstToken;
  std::vector<std::int64_t> mInterToken;
  std::uint64_t mTokens = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mStalls = 0;
  std::uint64_t mResumed = 0;
  /// Answered with a status other than 200, or never connected.
  std::uint64_t mRefused = 0;
  /// Ended by an explicit failure event.
  std::uint64_t mFailed = 0;
  /// Ended without a last event.
  std::uint64_t mBroken = 0;
  std::uint64_t mGaps = 0;
  std::uint64_t mDuplicates = 0;
  /// Complete streams whose text differs from the final one.
  std::uint64_t mNotWhole = 0;
  /// Answers to another request.
  std::uint64_t mCrossed = 0;
  std::string mFirstError;

  void Merge(LoadReportSheet&& aOther);
  /// True when no stream had a gap, a duplicate, a foreign or partial answer.
  bool IsClean() const;
  std::string ToText();
};

/// Value at a quantile of unsorted samples; 0 without samples.
std::int64_t
QuantileOf(std::vector<std::int64_t>& aSamples, double aQuantile);

/// \brief Runs streams on the current thread's event loop and checks each one.
class LoadRun
{
public:
  using OnDone = std::function<void()>;

  explicit LoadRun(LoadPlan aPlan);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  void Start(OnDone aOnDone);
  LoadReportSheet& Report() { return mReport; }

private:
  struct Stream;

  void Next();
  void Open(const std::shared_ptr<Stream>& aStream);
  void OnEvent(Stream& aStream, EngineEvent&& aEvent);
  void OnDelta(Stream& aStream, const EngineEvent& aEvent);
  void OnLast(Stream& aStream, const EngineEvent& aEvent);
  void OnEnd(const std::shared_ptr<Stream>& aStream, const StreamEnd& aEnd);
  void Finish(const std::shared_ptr<Stream>& aStream);
  std::string MakeBody(const Stream& aStream);

  LoadPlan mPlan;
  OnDone mOnDone;
  QtScheduler mScheduler;
  CurlMulti mCurl;
  RandomSource mRandom;
  LoadReportSheet mReport;
  std::uint32_t mStarted = 0;
  std::uint32_t mEnded = 0;
  std::vector<std::shared_ptr<Stream>> mOpen;
};

} // namespace ragwortdeck
