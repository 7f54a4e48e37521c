#pragma once

#include "Serving/StoreVersion.h"
#include "Serving/TableVersion.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief What a host sends to another one in parts.
enum class ContentKind
{
  kTable,
  kTargetList,
};

/// \brief A part of a content that is too large for one datagram.
struct ContentPart
{
  /// A ContentKind as a number.
  int mKind = 0;
  /// Used only by hosts of builds before HostMessage::mTableVersion.
  std::int64_t mFormerRevision = 0;
  int mIndex = 0;
  int mCount = 0;
  std::string mBytes;

  MSGPACK_DEFINE_ARRAY(mKind, mFormerRevision, mIndex, mCount, mBytes)
  bool operator==(const ContentPart&) const = default;
};

/// Splits aContent into parts of at most aMaxBytes.
std::vector<ContentPart>
SplitContent(ContentKind aKind,
             const std::string& aContent,
             std::size_t aMaxBytes);

/// \brief Puts contents of one kind together from parts that arrive in any
/// order, possibly twice or not at all.
///
/// Memory is bounded whatever arrives: parts of few senders are kept, the
/// newest version of each.
template<typename Version>
class ContentAssembler
{
public:
  static constexpr int kMaxParts = 64;
  static constexpr std::size_t kMaxBytes = std::size_t(2) << 20U;
  static constexpr std::size_t kMaxSenders = 4;

  /// Returns the whole content, which is of aVersion, when aPart was the last
  /// missing part of it.
  std::optional<std::string> Add(const std::string& aSender,
                                 const Version& aVersion,
                                 const ContentPart& aPart);

private:
  struct Assembly
  {
    Version mVersion;
    int mCount = 0;
    std::size_t mBytes = 0;
    std::uint64_t mStarted = 0;
    std::map<int, std::string> mParts;
  };
  std::map<std::string, Assembly> mAssemblies;
  std::uint64_t mNext = 0;
};

extern template class ContentAssembler<TableVersion>;
extern template class ContentAssembler<StoreVersion>;

} // namespace ragwortdeck
