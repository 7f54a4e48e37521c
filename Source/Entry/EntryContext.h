#pragma once

#include "Core/RandomSource.h"
#include "Entry/CallClient.h"
#include "Entry/DecisionLog.h"
#include "Entry/EntryMetrics.h"
#include "Entry/EntrySettings.h"
#include "Entry/PlatformCodec.h"
#include "Entry/TargetPool.h"
#include "Serving/CachedTable.h"
#include "Serving/FleetLoad.h"
#include "Serving/ServerChoice.h"
#include "Serving/TargetDirectory.h"
#include "Serving/TargetHealth.h"
#include "Serving/WaitingLine.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortdeck {

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

  /// The targets of a service that accept new requests.
  std::vector<const TargetDirectory::Entry*> OpenTargets(
    const std::string& aService) const;
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
  RandomSource mRandom;
  TargetPool mPool;
  CallClient mCalls;
  CachedTable mTable;
  TargetDirectory mTargets;
  FleetLoad mLoad;
  TargetHealth mHealth;
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
  /// Returns the number of known hosts, including this one.
  std::function<std::size_t()> mCountHosts;
  /// Bytes of request bodies in memory.
  std::size_t mBufferedBytes = 0;
  /// Requests being served.
  int mActive = 0;
  bool mStopping = false;
  MonotonicTime mStoppedAt;
};

} // namespace ragwortdeck
