#pragma once

#include "Serving/TargetList.h"

#include <optional>

namespace ragwortdeck {

/// Hash of the targets of a list without its revision, since hosts that read
/// the store at different revisions may have the same targets.
std::uint64_t
FingerprintOf(const TargetList& aList);

/// \brief The difference between two target lists.
///
/// When some engines of a large site leave, the host that read the change sends
/// it to a hundred others over a slow link, so the message contains the few
/// entries that differ instead of the whole list.
struct TargetListChange
{
  /// Fingerprints of the lists before and after the change.
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  /// Revision of the list after the change.
  std::int64_t mRevision = 0;
  /// Targets that are new or differ.
  std::map<std::string, Target> mUpdated;
  /// Ids of targets that are no longer listed.
  std::vector<std::string> mRemoved;

  static TargetListChange Between(const TargetList& aBefore,
                                  const TargetList& aAfter);
  /// The list after the change; nothing when aList does not match the list
  /// before it.
  /// Number of targets that it names.
  std::size_t Size() const { return mUpdated.size() + mRemoved.size(); }
  std::optional<TargetList> ApplyTo(const TargetList& aList) const;

  MSGPACK_DEFINE_ARRAY(mFrom, mTo, mRevision, mUpdated, mRemoved)
  bool operator==(const TargetListChange&) const = default;
};

} // namespace ragwortdeck
