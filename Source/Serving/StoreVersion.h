#pragma once

#include "Serving/StoreEra.h"

namespace ragwortdeck {

/// \brief A state of the store. Revisions are given out again in a later era.
struct StoreVersion
{
  StoreEra mEra;
  /// 0 for none; the store counts from 1.
  std::int64_t mRevision = 0;

  bool IsKnown() const { return mRevision > 0; }
  // clang-tidy 14 takes the comparison with 0 inside the default for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StoreVersion&) const = default;
  MSGPACK_DEFINE_ARRAY(mEra, mRevision)
};

} // namespace ragwortdeck
