#pragma once

#include "Core/MemoryCharge.h"

#include <string>
#include <string_view>

namespace ragwortdeck {

/// \brief Collects the body of a target's reply, up to a limit and as the
/// memory of the process permits.
class ReplyBuffer
{
public:
  static constexpr std::size_t kMaxBytes = std::size_t(8) << 20U;

  explicit ReplyBuffer(MemoryAccount& aMemory)
    : mCharge(aMemory, MemoryUse::kAnswer)
  {
  }

  void Append(std::string_view aBytes)
  {
    mCharge.AddProgress(aBytes.size());
    mIsTooLarge = mIsTooLarge || mBytes.size() + aBytes.size() > kMaxBytes ||
                  !mCharge.Grow(aBytes.size());
    if (!mIsTooLarge) {
      mBytes += aBytes;
    }
  }
  /// A part of the reply was dropped.
  bool IsTooLarge() const { return mIsTooLarge; }
  const std::string& Bytes() const { return mBytes; }

private:
  MemoryCharge mCharge;
  std::string mBytes;
  bool mIsTooLarge = false;
};

} // namespace ragwortdeck
