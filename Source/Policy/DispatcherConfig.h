#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Policy/Dispatcher.h"

#include <cstdint>
#include <memory>

namespace ragwortdeck {

/// The policies that MakeDispatcher() can build.
enum class DispatchPolicy
{
  kRoundRobin,
  kRandom,
  kLeastOutstanding,
  kTwoRandomChoices,
  /// Fair queue, with the load of engines from their reports only.
  kIndependent,
  /// As kIndependent, plus this host's work that reports do not yet include.
  kCorrected,
  /// As kCorrected, with credits that account for the work of other hosts.
  kCredits,
};

/// \brief Parameters of MakeDispatcher().
struct DispatcherConfig
{
  DispatchPolicy mPolicy = DispatchPolicy::kCredits;
  HostId mHost;
  FailureDomain mFailureDomain;
  /// Identifies this process, to distinguish its grants from those of an
  /// earlier process of the host.
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSeed = 1;
};

/// Builds the dispatcher of one router. aClock must outlive it.
std::unique_ptr<Dispatcher>
MakeDispatcher(const DispatcherConfig& aConfig, const Clock& aClock);

} // namespace ragwortdeck
