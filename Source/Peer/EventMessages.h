#pragma once

#include "Events/EventRecorder.h"

#include <string_view>
#include <vector>

namespace ragwortdeck {

/// \brief Asks a process for the events that it still holds.
struct EventsFetchMessage
{
  static constexpr std::string_view kType = "events_fetch";
  /// Events before this time are left out.
  HybridTime mFrom;

  bool operator==(const EventsFetchMessage&) const = default;
  MSGPACK_DEFINE_MAP(mFrom)
};

/// \brief The newest events of one process, in order of time.
struct EventsMessage
{
  static constexpr std::string_view kType = "events";
  /// Bounds the message far below the frame limit; an event packs to about
  /// 250 bytes.
  static constexpr std::size_t kMaxEvents = 8192;

  std::vector<Event> mEvents;
  /// Events that are no longer held.
  std::uint64_t mLost = 0;
  /// Further processes that were asked and answer through the sender.
  std::uint32_t mPending = 0;

  bool operator==(const EventsMessage&) const = default;
  MSGPACK_DEFINE_MAP(mEvents, mLost, mPending)
};

/// What the recorder still holds since aFrom, at most kMaxEvents; the oldest
/// beyond that count as lost.
EventsMessage
CollectEvents(const EventRecorder& aRecorder, HybridTime aFrom);

} // namespace ragwortdeck
