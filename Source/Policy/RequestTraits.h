#pragma once

#include "Core/Clock.h"
#include "Core/Ids.h"
#include "Core/SiteView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Properties of a model request that the dispatcher decides by.
struct RequestTraits
{
  TeamName mTeam;
  KindName mKind;
  KindClass mClass = KindClass::kLong;
  ModelName mModel;
  std::string mAdapter;
  std::uint32_t mPromptTokens = 0;
  /// Upper bound set by the caller or the kinds sheet.
  std::uint32_t mMaxOutputTokens = 32768;
  /// xxHash of each successive block of the prompt, for prefix affinity.
  std::vector<std::uint64_t> mPrefixHashes;
  /// The larger of the team's and the kind's priority, 0 to 9.
  std::uint32_t mPriority = 5;
  /// The answer is of no use after this time.
  MonotonicTime mDeadline;
  /// Targets that already failed this request before its first token.
  std::vector<TargetId> mExcluded;
};

} // namespace ragwortdeck
