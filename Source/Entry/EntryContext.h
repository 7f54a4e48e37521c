#pragma once

#include "Core/MemoryCharge.h"
#include "Core/RandomSource.h"
#include "Entry/CallClient.h"
#include "Entry/CrashWatch.h"
#include "Entry/DecisionLog.h"
#include "Entry/EntryMetrics.h"
#include "Entry/EntrySettings.h"
#include "Entry/PlatformCodec.h"
#include "Entry/TargetPool.h"
#include "Serving/CachedTable.h"
#include "Serving/EraTracker.h"
#include "Serving/FleetLoad.h"
#include "Serving/ServerChoice.h"
#include "Serving/TargetDirectory.h"
#include "Serving/TargetHealth.h"
#include "Serving/TargetPauses.h"
#include "Serving/WaitingLine.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ragwortdeck {

class CallerRequest;
class StreamRun;

/// \brief Increments a count of requests in flight for its lifetime.
class InFlight
{
public:
  explicit InFlight(int& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~InFlight() { --mCount; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

private:
  int& mCount;
};

/// \brief State that the parts of one entry process share. It is used only on
/// one thread.
struct EntryContext
{
  EntryContext(asio::io_context& aContext,
               const Clock& aClock,
               const PlatformCodec& aCodec,
               EntrySettings aSettings,
               DecisionLog& aLog);

  MonotonicTime Now() const { return mClock.Now(); }

  /// Limit of mConnections; the other descriptors are for targets, the store
  /// and files.
  int MaxConnections() const;
  /// Whether a table and the targets are known, and the table was current.
  bool HasContents() const;
  /// Runs aTask. An exception ends only this task, with a log line.
  void Spawn(const char* aName, Task<void> aTask);
  /// Runs aLoop for the life of the process; an exception restarts it after a
  /// pause.
  void SpawnLoop(const char* aName, std::function<Task<void>()> aLoop);
  void LogUnexpectedError(const char* aWhere, const std::exception& aError);
  /// Whether a request is being read or served.
  bool HasWork() const { return mReading > 0 || !mActive.empty(); }
  /// Ends all requests, as at their deadline. Each gets an answer.
  void FinishAll();

  /// Takes the era of the store that came from aFrom. What came with it may be
  /// used unless it is outdated.
  EraTracker::Outcome ObserveEra(StoreEra aEra, const std::string& aFrom);

  /// Whether the target of aEntry accepts new requests of this host.
  bool IsOpen(const TargetDirectory::Entry& aEntry) const;
  /// The targets of a service that accept new requests.
  std::vector<const TargetDirectory::Entry*> OpenTargets(
    const std::string& aService) const;
  /// If all targets of a service that are not leaving want no requests for some
  /// time, the time until the first of them may be asked again.
  std::optional<Duration> PauseOf(const std::string& aService) const;
  /// The seconds after which a caller whose request to aService is refused
  /// should retry.
  double RefusalSeconds(const std::string& aService, Milliseconds aTimeLeft);
  /// Takes what aTarget says of itself in the header of an answer to a request.
  void RecordAnswer(const Target& aTarget,
                    unsigned aStatus,
                    const TargetResponseHeaders& aHeaders);
  /// Takes what aTarget says of itself in the header of any answer.
  void RecordNotices(const Target& aTarget,
                     unsigned aStatus,
                     const TargetResponseHeaders& aHeaders);
  /// Whether a request that aTarget was chosen for may still be sent there;
  /// aResumes means that it continues a stopped run. Logs a request that may
  /// not.
  bool MaySend(const Target& aTarget,
               bool aResumes,
               const std::string& aRequest);
  /// Whether a request to aService may be sent again now. A permitted retry is
  /// charged to the allowance.
  bool TryRetry(const std::string& aService);
  /// Counts a request, from which the allowance of retries grows.
  void CountRequest(const std::string& aService);
  /// Offers free capacity to the waiting generations.
  void OfferCapacity();

  asio::io_context& mIo;
  const Clock& mClock;
  const PlatformCodec& mCodec;
  EntrySettings mSettings;
  DecisionLog& mLog;
  EntryMetrics mMetrics;
  /// All bytes from outside that this process holds.
  MemoryAccount mMemory;
  RandomSource mRandom;
  TargetPool mPool;
  CallClient mCalls;
  EraTracker mEra;
  CachedTable mTable;
  TargetDirectory mTargets;
  FleetLoad mLoad;
  TargetHealth mHealth;
  TargetPauses mPauses;
  CrashWatch mCrashWatch;
  WaitingLine mLine;
  /// Waiting generations by ticket. The function tries to start the generation
  /// and returns whether the ticket may leave the waiting line.
  std::map<std::uint64_t, std::function<bool()>> mWaiting;
  /// Retry allowances by service.
  std::map<std::string, FleetRetryAllowance> mRetries;
  /// This host's requests in flight, by target.
  std::map<std::string, int> mInFlight;
  /// The load that each server reported last, and when.
  std::map<std::string, std::pair<ReportedLoad, MonotonicTime>> mReportedLoads;
  /// Running streams by their id, unique on this host.
  std::map<std::uint64_t, StreamRun*> mStreams;
  std::uint64_t mNextRun = 1;
  /// Called when a later era of the store has begun, before anything that came
  /// with it is used.
  std::function<void()> mOnEraBegan;
  /// Called with a target that is leaving since it said so in an answer.
  std::function<void(const Target&)> mOnSaidLeaving;
  /// Returns the number of known hosts, including this one.
  std::function<std::size_t()> mCountHosts;
  /// Connections of callers.
  int mConnections = 0;
  /// Requests of which some bytes have arrived, but not all.
  int mReading = 0;
  /// Requests being served.
  std::set<CallerRequest*> mActive;
  MonotonicTime mStartedAt;
  bool mStopping = false;
  MonotonicTime mStoppedAt;
};

} // namespace ragwortdeck
