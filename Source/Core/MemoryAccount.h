#pragma once

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace ragwortdeck {

/// What bytes from outside are held for.
enum class MemoryUse : std::uint8_t
{
  /// Connections of callers, heads, and bodies that arrive or are served.
  kRequest,
  /// Answers of targets and replies of the store, until they are passed on.
  kAnswer,
  /// Incomplete events of streams, and events that wait for a slow caller.
  kEvent,
};

class MemoryCharge;

/// \brief The bytes from outside that a process holds, with a limit for each
/// use. Thread-safe.
///
/// When a use has no room, the connection that makes the least progress is
/// closed. The last quarter of each limit is kept for small charges, so that
/// ordinary requests are served beside large ones that stall.
class MemoryAccount
{
public:
  /// Largest charge that counts as small.
  static constexpr std::size_t kSmallBytes = std::size_t(64) << 10U;

  /// The limits are shares of aHostBytes, the memory that the process may use.
  MemoryAccount(const Clock& aClock, std::size_t aHostBytes);
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  std::size_t Used(MemoryUse aUse) const;
  std::size_t Limit(MemoryUse aUse) const;
  /// Raises the limit of aUse to fit one charge of aBytes, as far as half of
  /// the host's memory.
  void FitOne(MemoryUse aUse, std::size_t aBytes);
  /// Closes the connection that makes the least progress among those charged to
  /// aUse; false when none may be closed.
  bool EvictOne(MemoryUse aUse);
  /// Number of connections that were closed so far.
  std::uint64_t Evicted() const;

private:
  friend class MemoryCharge;
  struct Holder;

  struct Part
  {
    std::size_t mUsed = 0;
    std::size_t mLimit = 0;
  };

  Part& PartOf(MemoryUse aUse) { return mParts[std::size_t(aUse)]; }
  const Part& PartOf(MemoryUse aUse) const { return mParts[std::size_t(aUse)]; }
  bool Fits(const Holder& aHolder, std::size_t aBytes) const;
  bool Resize(Holder& aHolder, std::size_t aBytes);
  /// The holder to close so that aFor can hold aBytes; aFor itself when all
  /// others make more progress, null when none may be closed.
  Holder* ChooseVictim(const Holder* aFor, MemoryUse aUse, std::size_t aBytes);
  void Evict(Holder& aHolder);

  const Clock& mClock;
  std::size_t mHostBytes;
  mutable std::mutex mMutex;
  std::array<Part, 3> mParts;
  std::set<Holder*> mHolders;
  std::uint64_t mNextHolder = 0;
  std::uint64_t mEvicted = 0;
};

} // namespace ragwortdeck
