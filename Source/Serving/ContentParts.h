#pragma once

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
  /// Revision of the whole content.
  std::int64_t mRevision = 0;
  int mIndex = 0;
  int mCount = 0;
  std::string mBytes;

  MSGPACK_DEFINE_ARRAY(mKind, mRevision, mIndex, mCount, mBytes)
  bool operator==(const ContentPart&) const = default;
};

/// Splits aContent into parts of at most aMaxBytes.
std::vector<ContentPart>
SplitContent(ContentKind aKind,
             std::int64_t aRevision,
             const std::string& aContent,
             std::size_t aMaxBytes);

/// \brief Puts contents of one kind together from parts that arrive in any
/// order, possibly twice or not at all.
///
/// Memory is bounded whatever arrives: parts of few senders are kept, the
/// newest revision of each.
class ContentAssembler
{
public:
  static constexpr int kMaxParts = 64;
  static constexpr std::size_t kMaxBytes = std::size_t(2) << 20U;
  static constexpr std::size_t kMaxSenders = 4;

  /// Returns the whole content when aPart was the last missing part of it.
  std::optional<std::string> Add(const std::string& aSender,
                                 const ContentPart& aPart);

private:
  struct Assembly
  {
    std::int64_t mRevision = 0;
    int mCount = 0;
    std::size_t mBytes = 0;
    std::uint64_t mStarted = 0;
    std::map<int, std::string> mParts;
  };
  std::map<std::string, Assembly> mAssemblies;
  std::uint64_t mNext = 0;
};

} // namespace ragwortdeck
