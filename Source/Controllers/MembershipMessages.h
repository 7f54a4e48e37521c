#pragma once

#include "Core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortdeck {

/// What a host believes about a member. For the same incarnation a later
/// state overrides an earlier one.
enum class MemberState : std::uint8_t
{
  kAlive,
  kSuspect,
  kDead,
  /// Left by itself after a graceful stop.
  kLeft,
};

/// "alive", "suspect", "dead" or "left".
const char*
ToText(MemberState aState);

/// \brief State of one member; the unit of membership updates.
struct MemberRecord
{
  HostId mHost;
  /// Start time of the process in milliseconds, raised by each refutation.
  std::uint64_t mIncarnation = 0;
  MemberState mState = MemberState::kAlive;
  /// Where the control process listens for peers, "10.0.0.1:7400".
  std::string mAddress;
  FailureDomain mFailureDomain;

  bool operator==(const MemberRecord&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("h", mHost),
                     MSGPACK_NVP("i", mIncarnation),
                     MSGPACK_NVP("s", mState),
                     MSGPACK_NVP("a", mAddress),
                     MSGPACK_NVP("d", mFailureDomain))
};

/// \brief Newest versions that a host has; carried by each probe, so that a
/// missed push is noticed.
struct SharedVersions
{
  std::uint64_t mTable = 0;
  std::int64_t mMarks = 0;

  bool operator==(const SharedVersions&) const = default;
  MSGPACK_DEFINE_MAP(mTable, mMarks)
};

struct PingMessage
{
  static constexpr std::string_view kType = "ping";
  std::uint64_t mSequence = 0;
  /// Empty when only the address is known, as for a seed.
  HostId mTarget;
  /// Of the sender's live members; unequal digests lead to a full exchange.
  std::uint64_t mDigest = 0;
  SharedVersions mVersions;
  /// The sender's own record first.
  std::vector<MemberRecord> mUpdates;

  bool operator==(const PingMessage&) const = default;
  MSGPACK_DEFINE_MAP(mSequence, mTarget, mDigest, mVersions, mUpdates)
};

struct AckMessage
{
  static constexpr std::string_view kType = "ack";
  std::uint64_t mSequence = 0;
  /// The member that answered; differs from the sender for a relayed ack.
  HostId mSubject;
  std::uint64_t mDigest = 0;
  SharedVersions mVersions;
  std::vector<MemberRecord> mUpdates;

  bool operator==(const AckMessage&) const = default;
  MSGPACK_DEFINE_MAP(mSequence, mSubject, mDigest, mVersions, mUpdates)
};

/// \brief Asks another member to probe mTarget.
struct PingRequestMessage
{
  static constexpr std::string_view kType = "ping_request";
  std::uint64_t mSequence = 0;
  HostId mTarget;
  std::string mTargetAddress;
  std::vector<MemberRecord> mUpdates;

  bool operator==(const PingRequestMessage&) const = default;
  MSGPACK_DEFINE_MAP(mSequence, mTarget, mTargetAddress, mUpdates)
};

struct MembersFetchMessage
{
  static constexpr std::string_view kType = "members_fetch";
  MemberRecord mSelf;

  bool operator==(const MembersFetchMessage&) const = default;
  MSGPACK_DEFINE_MAP(mSelf)
};

/// \brief All members that the sender knows.
struct MembersMessage
{
  static constexpr std::string_view kType = "members";
  std::vector<MemberRecord> mMembers;

  bool operator==(const MembersMessage&) const = default;
  MSGPACK_DEFINE_MAP(mMembers)
};

using MemberMessage = std::variant<PingMessage,
                                   AckMessage,
                                   PingRequestMessage,
                                   MembersFetchMessage,
                                   MembersMessage>;

} // namespace ragwortdeck

MSGPACK_ADD_ENUM(ragwortdeck::MemberState)
