#pragma once

#include "Serving/TargetList.h"

#include <optional>

namespace ragwortdeck {

/// Identifies the targets of a list. Hosts that read the store at different
/// revisions may hold the same targets.
std::uint64_t
FingerprintOf(const TargetList& aList);

/// \brief What differs between two target lists.
///
/// Answers the pattern "some engines of a large site leave": the host that
/// read the change tells it to a hundred others over a slow link, so a
/// message carries the few entries that differ, not the whole list.
struct TargetListChange
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  /// Of the list that it leads to.
  std::int64_t mRevision = 0;
  std::map<std::string, Target> mSet;
  std::vector<std::string> mGone;

  static TargetListChange Between(const TargetList& aBefore,
                                  const TargetList& aAfter);
  /// The list that it leads to; nothing when aList is not the one it starts
  /// from.
  std::optional<TargetList> ApplyTo(const TargetList& aList) const;

  MSGPACK_DEFINE_ARRAY(mFrom, mTo, mRevision, mSet, mGone)
  bool operator==(const TargetListChange&) const = default;
};

} // namespace ragwortdeck
