#pragma once

#include "Core/SiteView.h"

#include <map>
#include <string_view>
#include <variant>

namespace ragwortdeck {

/// \brief Rows that differ between two versions of the table.
struct TableDelta
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<TeamRow> mTeams;
  std::vector<KindRow> mKinds;
  std::vector<ModelRow> mModels;
  std::vector<TeamName> mRemovedTeams;
  std::vector<KindName> mRemovedKinds;
  std::vector<ModelName> mRemovedModels;

  bool operator==(const TableDelta&) const = default;
  MSGPACK_DEFINE_MAP(mFrom,
                     mTo,
                     mTeams,
                     mKinds,
                     mModels,
                     mRemovedTeams,
                     mRemovedKinds,
                     mRemovedModels)
};

/// \brief Consecutive deltas, oldest first.
struct TableDeltaMessage
{
  static constexpr std::string_view kType = "table_delta";
  std::vector<TableDelta> mDeltas;

  bool operator==(const TableDeltaMessage&) const = default;
  MSGPACK_DEFINE_MAP(mDeltas)
};

struct TableFetchMessage
{
  static constexpr std::string_view kType = "table_fetch";
  /// Version that the sender has; 0 for none.
  std::uint64_t mHave = 0;
  std::int64_t mHaveMarks = 0;

  bool operator==(const TableFetchMessage&) const = default;
  MSGPACK_DEFINE_MAP(mHave, mHaveMarks)
};

struct TableFullMessage
{
  static constexpr std::string_view kType = "table_full";
  Table mTable;

  bool operator==(const TableFullMessage&) const = default;
  MSGPACK_DEFINE_MAP(mTable)
};

enum class HostMarkKind : std::uint8_t
{
  kLeaving,
  kJoining,
};

/// \brief An operator's mark on an entry host or target.
struct HostMark
{
  HostMarkKind mKind = HostMarkKind::kLeaving;
  /// For joining marks, as the host list would give them; may be empty.
  std::string mRole;
  std::string mAddress;
  FailureDomain mFailureDomain;
  std::vector<ModelName> mModels;
  bool mChecksFencing = false;

  bool operator==(const HostMark&) const = default;
  MSGPACK_DEFINE_MAP(mKind,
                     mRole,
                     mAddress,
                     mFailureDomain,
                     mModels,
                     mChecksFencing)
};

/// \brief All marks, as of one revision of the key-value service.
struct HostMarks
{
  std::int64_t mRevision = 0;
  std::map<std::string, HostMark> mMarks;

  bool operator==(const HostMarks&) const = default;
  MSGPACK_DEFINE_MAP(mRevision, mMarks)
};

struct HostMarksMessage
{
  static constexpr std::string_view kType = "host_marks";
  HostMarks mMarks;

  bool operator==(const HostMarksMessage&) const = default;
  MSGPACK_DEFINE_MAP(mMarks)
};

using TableMessage = std::variant<TableDeltaMessage,
                                  TableFetchMessage,
                                  TableFullMessage,
                                  HostMarksMessage>;

} // namespace ragwortdeck

MSGPACK_ADD_ENUM(ragwortdeck::HostMarkKind)
