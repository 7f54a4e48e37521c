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
  /// Queue and memory ledger over the engines' own reports only.
  kIndependent,
  /// As kIndependent, corrected by own work that reports do not include.
  kCorrected,
  /// As kCorrected, with the owners' credits for other hosts' work.
  kCredits,
};

/// \brief What a dispatcher is built from.
struct DispatcherConfig
{
  DispatchPolicy mPolicy = DispatchPolicy::kCredits;
  HostId mHost;
  FailureDomain mFailureDomain;
  /// Start of this process, to tell its grants from an earlier process's.
  std::uint64_t mIncarnation = 1;
  std::uint64_t mSeed = 1;
};

/// Builds the dispatcher of one router. aClock must outlive it.
std::unique_ptr<Dispatcher>
MakeDispatcher(const DispatcherConfig& aConfig, const Clock& aClock);

} // namespace ragwortdeck
