#pragma once

#include "Core/RandomSource.h"
#include "Entry/CallClient.h"
#include "Entry/DecisionLog.h"
#include "Entry/EntryMetrics.h"
#include "Entry/EntrySettings.h"
#include "Entry/PlatformCodec.h"
#include "Entry/TargetPool.h"
#include "Serving/FleetLoad.h"
#include "Serving/ServerChoice.h"
#include "Serving/TableBelief.h"
#include "Serving/TargetDirectory.h"
#include "Serving/TargetHealth.h"
#include "Serving/WaitingLine.h"

#include <functional>
#include <map>
#include <memory>

namespace ragwortdeck {

class StreamRun;

/// \brief Counts a request in flight for as long as it lives.
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

/// \brief What the parts of one entry process share. All of it is used on one
/// thread.
struct EntryContext
{
  EntryContext(asio::io_context& aContext,
               const Clock& aClock,
               const PlatformCodec& aCodec,
               EntrySettings aSettings,
               DecisionLog& aLog);

  MonotonicTime Now() const { return mClock.Now(); }

  /// Targets of a service that take new requests.
  std::vector<const TargetDirectory::Entry*> OpenTargets(
    const std::string& aService) const;
  /// Whether a second send to aService is allowed now; it is then counted.
  bool TryRetry(const std::string& aService);
  void CountRequest(const std::string& aService);
  /// Offers room to generations that wait.
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
  TableBelief mTable;
  TargetDirectory mTargets;
  FleetLoad mLoad;
  TargetHealth mHealth;
  WaitingLine mLine;
  /// Waiting generations by ticket; true when it took the room.
  std::map<std::uint64_t, std::function<bool()>> mWaiting;
  std::map<std::string, FleetRetryAllowance> mRetries;
  /// Requests in flight of this host, by target.
  std::map<std::string, int> mInFlight;
  /// Load that servers told last, and when.
  std::map<std::string, std::pair<ReportedLoad, MonotonicTime>> mTold;
  std::map<std::uint64_t, StreamRun*> mStreams;
  std::uint64_t mNextRun = 1;
  std::function<std::size_t()> mHosts;
  /// Bytes of request bodies in memory.
  std::size_t mBufferedBytes = 0;
  int mActive = 0;
  bool mStopping = false;
  MonotonicTime mStoppedAt;
};

} // namespace ragwortdeck
