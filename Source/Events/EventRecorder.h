#pragma once

#include "Events/Event.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace ragwortdeck {

/// \brief What a caller records; texts are copied, and cut to the length that
/// a ring slot has room for.
struct EventFields
{
  EventType mType = EventType::kProcessStarted;
  std::string_view mRequest;
  std::string_view mTarget;
  std::uint32_t mAttempt = 0;
  std::uint64_t mTableVersion = 0;
  std::int64_t mLease = 0;
  std::string_view mVerdict;
  std::string_view mDetail;
};

/// \brief The events of a process that are still held.
struct EventSnapshot
{
  /// In order of time.
  std::vector<Event> mEvents;
  /// Events that were recorded since the start and are no longer held.
  std::uint64_t mLost = 0;
};

/// \brief Records the events of one process in a bounded ring per thread.
///
/// Record takes no lock, except the first time in each thread. A full ring
/// overwrites its oldest event. Snapshot may run at any time on any thread; it
/// leaves out events that are overwritten while it reads them and counts them
/// as lost.
class EventRecorder
{
public:
  struct Options
  {
    /// Events per ring; rounded up to a power of two. A slot has 184 bytes.
    std::size_t mEventsPerThread = 4096;
    /// Further threads record nothing; their events count as lost.
    std::size_t mMaxThreads = 32;
  };

  EventRecorder(HostId aHost,
                std::string aProcess,
                HybridClock& aClock,
                Options aOptions);
  ~EventRecorder();
  EventRecorder(const EventRecorder&) = delete;
  EventRecorder& operator=(const EventRecorder&) = delete;

  void Record(const EventFields& aFields);
  EventSnapshot Snapshot() const;

private:
  class Ring;
  struct ThreadRings;

  Ring* RingOfThread();
  std::shared_ptr<Ring> TakeRing();

  static ThreadRings& RingsOfThread();

  const HostId mHost;
  const std::string mProcess;
  HybridClock& mClock;
  const Options mOptions;
  /// Distinguishes recorders that reuse an address.
  const std::uint64_t mId;
  mutable std::mutex mMutex;
  std::vector<std::shared_ptr<Ring>> mRings;
  std::atomic<std::uint64_t> mRefused{ 0 };
};

} // namespace ragwortdeck
