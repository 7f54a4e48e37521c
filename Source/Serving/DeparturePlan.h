#pragma once

#include "Core/Clock.h"
#include "Serving/ServingTable.h"

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A running generation on an engine that is being taken away, as its
/// entry host reports it to the other hosts.
struct DepartingRun
{
  std::string mEngine;
  std::string mHost;
  /// Id of the run, unique on its host.
  std::uint64_t mRun = 0;
  /// KV cache to copy, in tokens.
  std::int64_t mTokens = 0;
  /// KV cache that it is expected to need until its end, in tokens.
  std::int64_t mNeededTokens = 0;
  /// Expected time until the run completes.
  std::int64_t mRemainingMs = 0;
  /// Output tokens that are lost if the run is interrupted.
  std::int64_t mValue = 0;
  /// Time until the engine stops, according to the run's host.
  std::int64_t mEngineEndsMs = 0;

  MSGPACK_DEFINE_ARRAY(mEngine,
                       mHost,
                       mRun,
                       mTokens,
                       mNeededTokens,
                       mRemainingMs,
                       mValue,
                       mEngineEndsMs)
  bool operator==(const DepartingRun&) const = default;
};

/// \brief An engine that is being taken away.
struct DepartingEngine
{
  std::string mEngine;
  std::string mFailureDomain;
  /// Time until the engine stops; the shortest that any host reported.
  Milliseconds mNotice{ 0 };
  /// Time until the earlier copies on its link are done.
  double mLinkBusyMs = 0;
  bool operator==(const DepartingEngine&) const = default;
};

/// \brief An engine that KV cache can be copied to.
struct Destination
{
  std::string mEngine;
  std::string mFailureDomain;
  std::int64_t mFreeTokens = 0;
  int mFreeSlots = 0;
  /// Time until the earlier copies on its link are done.
  double mLinkBusyMs = 0;
  bool operator==(const Destination&) const = default;
};

/// \brief Destination and times of the copies of one run.
struct PlannedCopy
{
  std::string mEngine;
  std::string mHost;
  std::uint64_t mRun = 0;
  std::string mDestination;
  /// Start and expected end of the first copy, counted from the time of the
  /// plan. The run continues during this copy.
  std::int64_t mFirstCopyStartMs = 0;
  std::int64_t mFirstCopyEndMs = 0;
  /// Latest time after the plan at which the run stops for its final copy.
  std::int64_t mLatestStopMs = 0;

  MSGPACK_DEFINE_ARRAY(mEngine,
                       mHost,
                       mRun,
                       mDestination,
                       mFirstCopyStartMs,
                       mFirstCopyEndMs,
                       mLatestStopMs)
  bool operator==(const PlannedCopy&) const = default;
};

/// Duration of a copy to another failure domain, relative to one within the
/// same domain.
constexpr double kOtherDomainCopyFactor = 2;

/// Returns the time to transfer the KV cache of one token over an engine's
/// link.
double
CopyMsPerToken(const EngineLimits& aLimits);

/// Plans the copies of all runs on engines that are taken away together.
///
/// Engines can be taken away every few seconds with a notice of 1.5 to 2 s. A
/// link copies one run at a time, and takes twice as long to another failure
/// domain. Runs that are not expected to complete within the notice come first,
/// ordered by value per token of KV cache; each gets the destination where its
/// copy ends earliest. Runs that cannot be copied in time are left out of the
/// plan and continue until the engine stops.
///
/// The final copies, for which runs stop, start when all first copies are done,
/// so that no stopped run waits for the first copy of another run.
std::vector<PlannedCopy>
PlanDepartures(std::vector<DepartingRun> aRuns,
               const std::vector<DepartingEngine>& aEngines,
               std::vector<Destination> aDestinations,
               double aMsPerToken);

} // namespace ragwortdeck
