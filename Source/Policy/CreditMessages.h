#pragma once

#include "Core/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdeck {

/// A shared limit whose owner grants parts of it to hosts.
enum class CreditKind : std::uint8_t
{
  /// Cached tokens of an engine. A soft limit: the engine preempts beyond it.
  kTargetMemory,
  /// Batch slots of an engine. A soft limit.
  kTargetSlots,
  /// Concurrent streams of a team over the whole fleet. A hard limit.
  kTeamStreams,
  /// Generated tokens per second of a team over the whole fleet. A hard limit.
  kTeamTokenRate,
};

/// \brief The use and the demand of a host for one limit.
struct CreditAsk
{
  CreditKind mKind = CreditKind::kTargetMemory;
  /// Target id or team name.
  std::string mName;
  /// Amount in use now, within and beyond the static share, including expected
  /// growth.
  std::uint64_t mInUse = 0;
  /// Amount wanted in addition to mInUse.
  std::uint64_t mWanted = 0;
  /// Smallest usable part of mWanted; 0 when any amount is usable.
  std::uint64_t mMinimum = 0;

  bool operator==(const CreditAsk&) const = default;
  MSGPACK_DEFINE_MAP(mKind, mName, mInUse, mWanted, mMinimum)
};

/// \brief The batched request of one host to one owner.
struct CreditRequest
{
  HostId mFrom;
  HostId mOwner;
  /// Counts the requests of mFrom to mOwner from 1.
  std::uint64_t mSequence = 0;
  /// Highest mSequence whose grant mFrom has applied; 0 before the first.
  std::uint64_t mAcknowledged = 0;
  /// Identifies the requesting process, which loses its grants on a restart.
  std::uint64_t mIncarnation = 0;
  std::vector<CreditAsk> mAsks;

  bool operator==(const CreditRequest&) const = default;
  MSGPACK_DEFINE_MAP(mFrom,
                     mOwner,
                     mSequence,
                     mAcknowledged,
                     mIncarnation,
                     mAsks)
};

/// \brief The dynamic part of one limit that a host may use.
struct CreditShare
{
  CreditKind mKind = CreditKind::kTargetMemory;
  std::string mName;
  /// Total amount usable beyond the static share; replaces earlier grants.
  std::uint64_t mAmount = 0;
  /// Sum of mInUse over all hosts, as last reported to the owner.
  std::uint64_t mFleetUse = 0;

  bool operator==(const CreditShare&) const = default;
  MSGPACK_DEFINE_MAP(mKind, mName, mAmount, mFleetUse)
};

/// \brief The owner's answer to one CreditRequest.
struct CreditGrant
{
  HostId mOwner;
  HostId mTo;
  /// mSequence and mIncarnation of the request that it answers.
  std::uint64_t mSequence = 0;
  std::uint64_t mIncarnation = 0;
  /// The holder counts the lifetime from the time it sent the request, the
  /// owner from the later time of the grant. The grant therefore always expires
  /// at the holder first, without a comparison of clocks.
  std::int64_t mLifetimeMicros = 0;
  std::vector<CreditShare> mShares;

  bool operator==(const CreditGrant&) const = default;
  MSGPACK_DEFINE_MAP(mOwner,
                     mTo,
                     mSequence,
                     mIncarnation,
                     mLifetimeMicros,
                     mShares)
};

} // namespace ragwortdeck

MSGPACK_ADD_ENUM(ragwortdeck::CreditKind)
