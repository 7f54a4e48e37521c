#include "Controllers/WeightBudget.h"

namespace ragwortdeck {

bool
WeightBudget::Spend(std::uint64_t aBytes, MonotonicTime aNow)
{
  while (!mSpends.empty() && mSpends.front().first + mWindow < aNow) {
    mSpent -= mSpends.front().second;
    mSpends.pop_front();
  }
  if (aNow <= mOpenFrom || mSpent + aBytes > mBytes) {
    return false;
  }
  mSpent += aBytes;
  mSpends.emplace_back(aNow, aBytes);
  return true;
}

} // namespace ragwortdeck
