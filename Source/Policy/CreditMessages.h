#pragma once

#include "Core/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdeck {

/// A shared limit that an owner hands out in parts.
enum class CreditKind : std::uint8_t
{
  /// Cached tokens of an engine. A soft limit: the engine preempts beyond it.
  kTargetMemory,
  /// Batch slots of an engine. A soft limit.
  kTargetSlots,
  /// Streams of a team over the whole fleet. A hard limit.
  kTeamStreams,
  /// Generated tokens per second of a team over the whole fleet. A hard limit.
  kTeamTokenRate,
};

/// \brief What a host uses and wants of one limit.
struct CreditAsk
{
  CreditKind mKind = CreditKind::kTargetMemory;
  /// Target id or team name.
  std::string mName;
  /// In use now, including the static share and expected growth.
  std::uint64_t mInUse = 0;
  /// Wanted beyond mInUse.
  std::uint64_t mWanted = 0;
  /// The least part of mWanted that is of any use; 0 when any amount helps.
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
  /// Start of the requesting process; a restart forgets its grants.
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
  /// Usable beyond the static share, as a level; replaces earlier grants.
  std::uint64_t mAmount = 0;
  /// Sum of mInUse over all hosts, as the owner last heard it.
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
  /// Counted by the holder from the moment it sent the request, and by the
  /// owner from the later moment of the grant. The holder's right therefore
  /// always lapses first, without comparing clocks.
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
