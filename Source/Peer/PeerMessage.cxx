#include "Peer/PeerMessage.h"

namespace ragwortdeck {

namespace {

// A container header announces its size before its elements arrive, and
// msgpack allocates by it. The largest real container is a table sheet or the
// list of targets, with a few thousand entries.
constexpr std::size_t kMaxEntries = 65'536;
constexpr std::size_t kMaxBytes = std::size_t(4) * 1024 * 1024;
constexpr std::size_t kMaxDepth = 16;

} // namespace

msgpack::unpack_limit
PeerUnpackLimit()
{
  return { kMaxEntries, kMaxEntries, kMaxBytes, kMaxBytes, 0, kMaxDepth };
}

} // namespace ragwortdeck
