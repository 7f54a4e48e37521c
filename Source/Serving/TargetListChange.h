#pragma once

#include "Serving/TargetList.h"

#include <optional>

namespace ragwortdeck {

/// Hash of the targets of a list without its version, since hosts that read
/// the store at different versions may have the same targets.
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
  /// Used only by hosts of builds before HostMessage::mListVersion.
  std::int64_t mFormerRevision = 0;
  /// Targets that are new or differ.
  std::map<std::string, Target> mUpdated;
  /// Ids of targets that are no longer listed.
  std::vector<std::string> mRemoved;

  static TargetListChange Between(const TargetList& aBefore,
                                  const TargetList& aAfter);
  /// Number of targets that it names.
  std::size_t Size() const { return mUpdated.size() + mRemoved.size(); }
  /// The list after the change, which is of aVersion; nothing when aList does
  /// not match the list before it.
  std::optional<TargetList> ApplyTo(const TargetList& aList,
                                    const StoreVersion& aVersion) const;

  MSGPACK_DEFINE_ARRAY(mFrom, mTo, mFormerRevision, mUpdated, mRemoved)
  bool operator==(const TargetListChange&) const = default;
};

} // namespace ragwortdeck
