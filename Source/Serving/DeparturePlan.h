#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A stream on an engine that leaves, as its host tells the others.
struct DepartingRun
{
  std::string mEngine;
  std::string mHost;
  /// Unique among the runs of its host.
  std::uint64_t mRun = 0;
  /// Memory to copy.
  std::int64_t mTokens = 0;
  /// Memory that it is expected to need until its end.
  std::int64_t mNeed = 0;
  /// Time until it is expected to end by itself.
  std::int64_t mLeftMs = 0;
  /// What is lost when it breaks off: its size, in tokens of output.
  std::int64_t mValue = 0;
  /// Time until the engine ends, as its host knows it.
  std::int64_t mEngineEndsMs = 0;

  MSGPACK_DEFINE_ARRAY(mEngine,
                       mHost,
                       mRun,
                       mTokens,
                       mNeed,
                       mLeftMs,
                       mValue,
                       mEngineEndsMs)
  bool operator==(const DepartingRun&) const = default;
};

/// \brief An engine that leaves.
struct DepartingEngine
{
  std::string mEngine;
  std::string mFailureDomain;
  /// Shortest time until its end.
  Milliseconds mNotice{ 0 };
  /// Its link is busy with earlier copies for this long.
  double mBusyMs = 0;
  bool operator==(const DepartingEngine&) const = default;
};

/// \brief An engine that memory can be copied to.
struct Destination
{
  std::string mEngine;
  std::string mFailureDomain;
  std::int64_t mFreeTokens = 0;
  int mFreeSlots = 0;
  /// Its link is busy with earlier copies for this long.
  double mBusyMs = 0;
  bool operator==(const Destination&) const = default;
};

/// \brief When and where to the memory of a run is copied.
struct CopySlot
{
  std::string mEngine;
  std::string mHost;
  std::uint64_t mRun = 0;
  std::string mDestination;
  /// Start and expected end of the first copy after the plan, while the run
  /// goes on.
  std::int64_t mFirstMs = 0;
  std::int64_t mFirstEndMs = 0;
  /// The run stops for its last copy this long after the plan at the latest.
  std::int64_t mLatestStopMs = 0;

  MSGPACK_DEFINE_ARRAY(mEngine,
                       mHost,
                       mRun,
                       mDestination,
                       mFirstMs,
                       mFirstEndMs,
                       mLatestStopMs)
  bool operator==(const CopySlot&) const = default;
};

/// Copies to another failure domain take this many times as long.
constexpr double kOtherDomainCopyFactor = 2;

/// The time that one token's memory takes on an engine's link.
double
CopyMsPerToken(const EngineLimits& aLimits);

/// Plans the copies of all runs on engines that leave together.
///
/// Answers the pattern "engines are taken away every few seconds at a notice
/// of 1.5 to 2 s": a link copies one run after the other, and twice as slowly
/// to another failure domain. Runs that would surely be cut come first, the
/// most valuable for their memory before others; each takes the destination
/// where its copy ends first. Runs that cannot be copied in time get no slot
/// and go on for as long as they can.
///
/// The last copies, for which runs stop, start when all first copies are done:
/// a stopped run must not wait behind the first copy of another.
std::vector<CopySlot>
PlanDepartures(std::vector<DepartingRun> aRuns,
               const std::vector<DepartingEngine>& aEngines,
               std::vector<Destination> aDestinations,
               double aMsPerToken);

} // namespace ragwortdeck
