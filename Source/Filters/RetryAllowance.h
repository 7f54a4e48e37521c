#pragma once

#include <algorithm>
#include <mutex>

namespace ragwortdeck {

/// \brief Permits retries up to a share of the requests. Thread-safe.
class RetryAllowance
{
public:
  explicit RetryAllowance(double aShare)
    : mShare(aShare)
  {
  }

  void OnRequest()
  {
    const std::lock_guard lock(mMutex);
    mTokens = std::min(mTokens + mShare, kMaxTokens);
  }
  bool TrySpend()
  {
    const std::lock_guard lock(mMutex);
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  /// Retries that a burst of failures may use at once.
  static constexpr double kMaxTokens = 100;

  std::mutex mMutex;
  double mShare;
  double mTokens = 10;
};

} // namespace ragwortdeck
