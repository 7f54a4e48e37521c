#include "Core/MemoryAccount.h"

#include "Core/MemoryCharge.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ragwortdeck {

namespace {

/// Shares of the host's memory, as its divisors, by MemoryUse.
constexpr std::array<std::size_t, 3> kDivisors = { 4, 4, 12 };
/// Large charges use this part of a limit, in quarters.
constexpr std::size_t kLargeQuarters = 3;
constexpr std::size_t kQuarters = 4;
/// Progress is what passed in the current window and the one before.
constexpr Duration kProgressWindow = std::chrono::seconds(1);

} // namespace

struct MemoryAccount::Holder
{
  Holder(MemoryAccount& aAccount, MemoryUse aUse)
    : mAccount(aAccount)
    , mUse(aUse)
  {
  }

  std::size_t Progress(MonotonicTime aNow) const
  {
    const auto age = aNow - mWindowStart;
    if (age < kProgressWindow) {
      return mPassed + mPassedBefore;
    }
    return age < 2 * kProgressWindow ? mPassed : 0;
  }

  MemoryAccount& mAccount;
  MemoryUse mUse;
  std::uint64_t mNumber = 0;
  std::size_t mBytes = 0;
  std::size_t mPassed = 0;
  std::size_t mPassedBefore = 0;
  MonotonicTime mWindowStart;
  MemoryCharge::OnEvict mOnEvict;
  bool mIsEvicted = false;
};

MemoryAccount::MemoryAccount(const Clock& aClock, std::size_t aHostBytes)
  : mClock(aClock)
  , mHostBytes(aHostBytes)
{
  for (std::size_t i = 0; i < mParts.size(); ++i) {
    mParts[i].mLimit = aHostBytes / kDivisors[i];
  }
}

std::size_t
MemoryAccount::Used(MemoryUse aUse) const
{
  const std::lock_guard lock(mMutex);
  return PartOf(aUse).mUsed;
}

std::size_t
MemoryAccount::Limit(MemoryUse aUse) const
{
  const std::lock_guard lock(mMutex);
  return PartOf(aUse).mLimit;
}

void
MemoryAccount::FitOne(MemoryUse aUse, std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  const auto needed =
    std::min(mHostBytes / 2, aBytes / kLargeQuarters * kQuarters + kSmallBytes);
  auto& part = PartOf(aUse);
  part.mLimit = std::max(part.mLimit, needed);
}

std::uint64_t
MemoryAccount::Evicted() const
{
  const std::lock_guard lock(mMutex);
  return mEvicted;
}

bool
MemoryAccount::EvictOne(MemoryUse aUse)
{
  const std::lock_guard lock(mMutex);
  auto* victim = ChooseVictim(nullptr, aUse, 0);
  if (victim) {
    Evict(*victim);
  }
  return victim != nullptr;
}

bool
MemoryAccount::Fits(const Holder& aHolder, std::size_t aBytes) const
{
  const auto& part = PartOf(aHolder.mUse);
  const auto limit = aBytes <= kSmallBytes
                       ? part.mLimit
                       : part.mLimit / kQuarters * kLargeQuarters;
  return part.mUsed - aHolder.mBytes + aBytes <= limit;
}

bool
MemoryAccount::Resize(Holder& aHolder, std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  if (aHolder.mIsEvicted) {
    return false;
  }
  while (aBytes > aHolder.mBytes && !Fits(aHolder, aBytes)) {
    auto* victim = ChooseVictim(&aHolder, aHolder.mUse, aBytes);
    if (!victim || victim == &aHolder) {
      return false;
    }
    Evict(*victim);
  }
  auto& used = PartOf(aHolder.mUse).mUsed;
  used = used - aHolder.mBytes + aBytes;
  aHolder.mBytes = aBytes;
  return true;
}

MemoryAccount::Holder*
MemoryAccount::ChooseVictim(const Holder* aFor,
                            MemoryUse aUse,
                            std::size_t aBytes)
{
  const auto now = mClock.Now();
  const bool isSmall = aBytes <= kSmallBytes;
  // Of two that make the same progress, the one that holds more goes, and then
  // the older one.
  const auto rank = [&](const Holder& aHolder) {
    return std::tuple(aHolder.Progress(now), ~aHolder.mBytes, aHolder.mNumber);
  };
  Holder* least = nullptr;
  for (auto* it : mHolders) {
    const bool isSelf = it == aFor;
    // A small charge closes others that hold as much or more; a large one only
    // other large ones, and gives way itself when they make more progress.
    const bool isCandidate =
      it->mUse == aUse && !it->mIsEvicted &&
      (isSelf
         ? !isSmall
         : it->mOnEvict && it->mBytes >= (isSmall ? aBytes : kSmallBytes + 1));
    if (isCandidate && (!least || rank(*it) < rank(*least))) {
      least = it;
    }
  }
  return least;
}

void
MemoryAccount::Evict(Holder& aHolder)
{
  ++mEvicted;
  PartOf(aHolder.mUse).mUsed -= std::exchange(aHolder.mBytes, 0);
  aHolder.mIsEvicted = true;
  aHolder.mOnEvict();
}

MemoryCharge::MemoryCharge() = default;

MemoryCharge::MemoryCharge(MemoryAccount& aAccount, MemoryUse aUse)
  : mHolder(std::make_unique<MemoryAccount::Holder>(aAccount, aUse))
{
  const std::lock_guard lock(aAccount.mMutex);
  mHolder->mNumber = aAccount.mNextHolder++;
  mHolder->mWindowStart = aAccount.mClock.Now();
  aAccount.mHolders.insert(mHolder.get());
}

MemoryCharge::MemoryCharge(MemoryCharge&& aOther) noexcept = default;

MemoryCharge&
MemoryCharge::operator=(MemoryCharge&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mHolder = std::move(aOther.mHolder);
  }
  return *this;
}

MemoryCharge::~MemoryCharge()
{
  Release();
}

void
MemoryCharge::Release()
{
  if (!mHolder) {
    return;
  }
  {
    auto& account = mHolder->mAccount;
    const std::lock_guard lock(account.mMutex);
    account.PartOf(mHolder->mUse).mUsed -= mHolder->mBytes;
    account.mHolders.erase(mHolder.get());
  }
  mHolder.reset();
}

bool
MemoryCharge::Resize(std::size_t aBytes)
{
  return !mHolder || mHolder->mAccount.Resize(*mHolder, aBytes);
}

bool
MemoryCharge::Grow(std::size_t aBytes)
{
  return Resize(Bytes() + aBytes);
}

std::size_t
MemoryCharge::Bytes() const
{
  if (!mHolder) {
    return 0;
  }
  const std::lock_guard lock(mHolder->mAccount.mMutex);
  return mHolder->mBytes;
}

void
MemoryCharge::AddProgress(std::size_t aBytes)
{
  if (!mHolder) {
    return;
  }
  const std::lock_guard lock(mHolder->mAccount.mMutex);
  auto& holder = *mHolder;
  const auto now = holder.mAccount.mClock.Now();
  if (now - holder.mWindowStart >= kProgressWindow) {
    holder.mPassedBefore =
      now - holder.mWindowStart < 2 * kProgressWindow ? holder.mPassed : 0;
    holder.mPassed = 0;
    holder.mWindowStart = now;
  }
  holder.mPassed += aBytes;
}

void
MemoryCharge::SetOnEvict(OnEvict aOnEvict)
{
  if (!mHolder) {
    return;
  }
  // The former hook may own what destroys a charge, so it goes without the
  // lock.
  {
    const std::lock_guard lock(mHolder->mAccount.mMutex);
    std::swap(mHolder->mOnEvict, aOnEvict);
  }
}

bool
MemoryCharge::IsEvicted() const
{
  if (!mHolder) {
    return false;
  }
  const std::lock_guard lock(mHolder->mAccount.mMutex);
  return mHolder->mIsEvicted;
}

} // namespace ragwortdeck
