#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A row of the teams sheet.
struct TeamRow
{
  TeamName mTeam;
  /// Weight in fair queueing, 1 to 1000.
  std::uint32_t mShare = 100;
  /// Streams over the whole fleet; 0 means no cap.
  std::uint32_t mMaxConcurrent = 0;
  /// Generated tokens per second over the whole fleet; 0 means no cap.
  std::uint32_t mTokensPerSecond = 0;
  /// 0 (lowest) to 9.
  std::uint32_t mPriority = 5;

  bool operator==(const TeamRow&) const = default;
  MSGPACK_DEFINE_MAP(mTeam, mShare, mMaxConcurrent, mTokensPerSecond, mPriority)
};

enum class KindClass : std::uint8_t
{
  kShort,
  kLong,
};

enum class RepeatRule : std::uint8_t
{
  kIdempotent,
  kAtMostOnce,
};

/// \brief A row of the kinds sheet.
struct KindRow
{
  KindName mKind;
  KindClass mClass = KindClass::kLong;
  /// An answer later than this is useless; seconds from arrival.
  std::uint32_t mDeadlineSeconds = 600;
  std::uint32_t mPriority = 5;
  std::uint32_t mMaxOutputTokens = 32768;
  RepeatRule mRepeat = RepeatRule::kIdempotent;
  /// Percent of each engine's room kept for this kind.
  std::uint32_t mReservedPercent = 0;

  bool operator==(const KindRow&) const = default;
  MSGPACK_DEFINE_MAP(mKind,
                     mClass,
                     mDeadlineSeconds,
                     mPriority,
                     mMaxOutputTokens,
                     mRepeat,
                     mReservedPercent)
};

/// \brief A row of the models sheet: the desired state of a model.
struct ModelRow
{
  ModelName mModel;
  std::uint32_t mReplicas = 1;
  std::string mVersion;
  std::vector<std::string> mAdapters;

  bool operator==(const ModelRow&) const = default;
  MSGPACK_DEFINE_MAP(mModel, mReplicas, mVersion, mAdapters)
};

/// \brief The operators' table at one version.
struct Table
{
  /// Counts accepted edits without gaps; 0 means no table.
  std::uint64_t mVersion = 0;
  std::map<TeamName, TeamRow> mTeams;
  std::map<KindName, KindRow> mKinds;
  std::map<ModelName, ModelRow> mModels;

  bool operator==(const Table&) const = default;
  MSGPACK_DEFINE_MAP(mVersion, mTeams, mKinds, mModels)
};

enum class TargetRole : std::uint8_t
{
  kEngine,
  kService,
};

enum class TargetState : std::uint8_t
{
  kLive,
  /// Marked by an operator or the host list: no new work.
  kLeaving,
  /// Unreachable or ejected.
  kDown,
};

/// \brief A load report of a target, with its age.
struct LoadReport
{
  /// Memory in cached tokens.
  std::uint64_t mMemoryTokens = 0;
  std::uint64_t mMemoryUsedTokens = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /// Batch slots.
  std::uint32_t mMaxBatch = 0;
  std::uint64_t mPreemptions = 0;
  /// Models that are ready; none when the engine does not list them.
  std::optional<std::vector<ModelName>> mReadyModels;
  /// Microseconds between the report's measurement and its receipt.
  std::int64_t mAgeMicros = 0;

  bool operator==(const LoadReport&) const = default;
  MSGPACK_DEFINE_MAP(mMemoryTokens,
                     mMemoryUsedTokens,
                     mRunning,
                     mWaiting,
                     mMaxBatch,
                     mPreemptions,
                     mReadyModels,
                     mAgeMicros)
};

/// \brief An engine or a service, as the host list and probes show it.
struct Target
{
  TargetId mId;
  TargetRole mRole = TargetRole::kEngine;
  TargetState mState = TargetState::kLive;
  FailureDomain mFailureDomain;
  /// Numeric IP address and port, "127.0.0.1:9001".
  std::string mAddress;
  /// Models that the engine has loaded.
  std::vector<ModelName> mModels;
  std::vector<std::string> mAdapters;
  bool mChecksFencing = false;
  LoadReport mLoad;

  bool operator==(const Target&) const = default;
  MSGPACK_DEFINE_MAP(mId,
                     mRole,
                     mState,
                     mFailureDomain,
                     mAddress,
                     mModels,
                     mAdapters,
                     mChecksFencing,
                     mLoad)
};

/// \brief Everything the request path reads, at one moment.
struct SiteView
{
  Table mTable;
  std::map<TargetId, Target> mTargets;
  /// Entry hosts on the host list, by id; the divisor of static shares.
  std::vector<HostId> mEntryHosts;
  /// True when this host itself is marked as leaving.
  bool mThisHostLeaving = false;

  bool operator==(const SiteView&) const = default;
  MSGPACK_DEFINE_MAP(mTable, mTargets, mEntryHosts, mThisHostLeaving)
};

} // namespace ragwortdeck

MSGPACK_ADD_ENUM(ragwortdeck::KindClass)
MSGPACK_ADD_ENUM(ragwortdeck::RepeatRule)
MSGPACK_ADD_ENUM(ragwortdeck::TargetRole)
MSGPACK_ADD_ENUM(ragwortdeck::TargetState)
