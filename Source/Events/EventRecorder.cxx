#include "Events/EventRecorder.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace ragwortdeck {

namespace {

std::atomic<std::uint64_t> sNextId{ 1 };

/// \brief Text of bounded length inside a ring slot.
template<std::size_t N>
struct FixedText
{
  std::uint8_t mSize = 0;
  std::array<char, N> mBytes{};

  void Assign(std::string_view aText)
  {
    const auto n = std::min(aText.size(), N);
    std::copy_n(aText.begin(), n, mBytes.begin());
    mSize = static_cast<std::uint8_t>(n);
  }
  std::string Text() const { return { mBytes.data(), mSize }; }
};

/// \brief An event as a ring holds it, without pointers.
struct Slot
{
  std::uint64_t mTime;
  std::uint64_t mTableVersion;
  std::int64_t mLease;
  std::uint32_t mAttempt;
  EventType mType;
  FixedText<39> mRequest;
  FixedText<31> mTarget;
  FixedText<23> mVerdict;
  FixedText<47> mDetail;
};

static_assert(std::is_trivially_copyable_v<Slot>);
constexpr std::size_t kWords =
  (sizeof(Slot) + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t);
using Words = std::array<std::uint64_t, kWords>;

Event
ToEvent(const Slot& aSlot, const HostId& aHost, const std::string& aProcess)
{
  Event event;
  event.mTime = { aSlot.mTime };
  event.mType = aSlot.mType;
  event.mHost = aHost;
  event.mProcess = aProcess;
  event.mRequest = RequestId(aSlot.mRequest.Text());
  event.mTarget = TargetId(aSlot.mTarget.Text());
  event.mAttempt = aSlot.mAttempt;
  event.mTableVersion = aSlot.mTableVersion;
  event.mLease = aSlot.mLease;
  event.mVerdict = aSlot.mVerdict.Text();
  event.mDetail = aSlot.mDetail.Text();
  return event;
}

} // namespace

/// \brief Ring of one writing thread. Each slot is protected by a sequence
/// lock; its words are atomic, so that a reader that overlaps the writer sees
/// a changed sequence and not undefined behaviour. Words are released and
/// acquired one by one instead of by fences, which the thread sanitizer does
/// not support.
class EventRecorder::Ring
{
public:
  explicit Ring(std::size_t aSize)
    : mCells(std::bit_ceil(std::max<std::size_t>(aSize, 2)))
  {
  }

  void Write(const Slot& aSlot)
  {
    const auto n = mWritten.load(std::memory_order_relaxed);
    auto& cell = mCells[n & (mCells.size() - 1)];
    Words words{};
    std::memcpy(words.data(), &aSlot, sizeof aSlot);
    cell.mSequence.store(2 * n + 1, std::memory_order_relaxed);
    for (std::size_t word = 0; word < kWords; ++word) {
      cell.mWords[word].store(words[word], std::memory_order_release);
    }
    cell.mSequence.store(2 * n + 2, std::memory_order_release);
    mWritten.store(n + 1, std::memory_order_release);
  }

  /// Appends the events held; returns how many were lost.
  std::uint64_t Read(const HostId& aHost,
                     const std::string& aProcess,
                     std::vector<Event>& aEvents) const
  {
    const auto end = mWritten.load(std::memory_order_acquire);
    const auto begin = end > mCells.size() ? end - mCells.size() : 0;
    auto lost = begin;
    for (auto n = begin; n < end; ++n) {
      Slot slot;
      if (ReadSlot(n, slot)) {
        aEvents.push_back(ToEvent(slot, aHost, aProcess));
      } else {
        ++lost;
      }
    }
    return lost;
  }

  /// True while a live thread writes to this ring.
  std::atomic<bool> mInUse{ true };

private:
  struct Cell
  {
    std::atomic<std::uint64_t> mSequence{ 0 };
    std::array<std::atomic<std::uint64_t>, kWords> mWords{};
  };

  bool ReadSlot(std::uint64_t aIndex, Slot& aSlot) const
  {
    const auto& cell = mCells[aIndex & (mCells.size() - 1)];
    const auto expected = 2 * aIndex + 2;
    if (cell.mSequence.load(std::memory_order_acquire) != expected) {
      return false;
    }
    Words words;
    for (std::size_t word = 0; word < kWords; ++word) {
      words[word] = cell.mWords[word].load(std::memory_order_acquire);
    }
    if (cell.mSequence.load(std::memory_order_relaxed) != expected) {
      return false;
    }
    std::memcpy(static_cast<void*>(&aSlot), words.data(), sizeof aSlot);
    return true;
  }

  std::vector<Cell> mCells;
  std::atomic<std::uint64_t> mWritten{ 0 };
};

/// \brief The rings of the current thread, one per recorder; they return to
/// their recorders when the thread ends.
struct EventRecorder::ThreadRings
{
  ThreadRings() = default;
  ThreadRings(const ThreadRings&) = delete;
  ThreadRings& operator=(const ThreadRings&) = delete;
  ~ThreadRings()
  {
    for (const auto& [id, ring] : mRings) {
      if (ring) {
        ring->mInUse.store(false, std::memory_order_release);
      }
    }
  }

  std::vector<std::pair<std::uint64_t, std::shared_ptr<Ring>>> mRings;
};

EventRecorder::ThreadRings&
EventRecorder::RingsOfThread()
{
  thread_local ThreadRings sRings;
  return sRings;
}

EventRecorder::EventRecorder(HostId aHost,
                             std::string aProcess,
                             HybridClock& aClock,
                             Options aOptions)
  : mHost(std::move(aHost))
  , mProcess(std::move(aProcess))
  , mClock(aClock)
  , mOptions(aOptions)
  , mId(sNextId.fetch_add(1))
{
}

EventRecorder::~EventRecorder() = default;

// A ring whose thread has ended is taken over with the events in it.
std::shared_ptr<EventRecorder::Ring>
EventRecorder::TakeRing()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& ring : mRings) {
    bool expected = false;
    if (ring->mInUse.compare_exchange_strong(
          expected, true, std::memory_order_acquire)) {
      return ring;
    }
  }
  if (mRings.size() >= mOptions.mMaxThreads) {
    return nullptr;
  }
  mRings.push_back(std::make_shared<Ring>(mOptions.mEventsPerThread));
  return mRings.back();
}

EventRecorder::Ring*
EventRecorder::RingOfThread()
{
  auto& rings = RingsOfThread().mRings;
  for (const auto& [id, ring] : rings) {
    if (id == mId) {
      return ring.get();
    }
  }
  rings.emplace_back(mId, TakeRing());
  return rings.back().second.get();
}

void
EventRecorder::Record(const EventFields& aFields)
{
  auto* ring = RingOfThread();
  if (ring == nullptr) {
    mRefused.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  Slot slot;
  slot.mTime = mClock.Tick().mPacked;
  slot.mTableVersion = aFields.mTableVersion;
  slot.mLease = aFields.mLease;
  slot.mAttempt = aFields.mAttempt;
  slot.mType = aFields.mType;
  slot.mRequest.Assign(aFields.mRequest);
  slot.mTarget.Assign(aFields.mTarget);
  slot.mVerdict.Assign(aFields.mVerdict);
  slot.mDetail.Assign(aFields.mDetail);
  ring->Write(slot);
}

EventSnapshot
EventRecorder::Snapshot() const
{
  std::vector<std::shared_ptr<Ring>> rings;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    rings = mRings;
  }
  EventSnapshot snapshot;
  snapshot.mLost = mRefused.load(std::memory_order_relaxed);
  for (const auto& ring : rings) {
    snapshot.mLost += ring->Read(mHost, mProcess, snapshot.mEvents);
  }
  std::sort(snapshot.mEvents.begin(),
            snapshot.mEvents.end(),
            [](const Event& aLeft, const Event& aRight) {
              return aLeft.mTime < aRight.mTime;
            });
  return snapshot;
}

} // namespace ragwortdeck
