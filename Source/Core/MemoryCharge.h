#pragma once

#include "Core/MemoryAccount.h"

namespace ragwortdeck {

/// \brief Bytes charged to a MemoryAccount; released by the destructor.
class MemoryCharge
{
public:
  /// Closes the connection that the bytes belong to. Runs while the account is
  /// locked, possibly on another thread, and must not use the account.
  using OnEvict = std::function<void()>;

  /// Charges nothing to no account.
  MemoryCharge();
  MemoryCharge(MemoryAccount& aAccount, MemoryUse aUse);
  MemoryCharge(MemoryCharge&& aOther) noexcept;
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;
  ~MemoryCharge();

  /// Changes the charge to aBytes. False when there is no room, or the charge
  /// was evicted; it is unchanged then.
  [[nodiscard]] bool Resize(std::size_t aBytes);
  [[nodiscard]] bool Grow(std::size_t aBytes);
  std::size_t Bytes() const;
  /// Records that aBytes have passed through the connection.
  void AddProgress(std::size_t aBytes);
  /// Permits eviction; null forbids it, which is the default.
  void SetOnEvict(OnEvict aOnEvict);
  /// The charge was released to make room and the connection must close.
  bool IsEvicted() const;

private:
  void Release();

  std::unique_ptr<MemoryAccount::Holder> mHolder;
};

} // namespace ragwortdeck
