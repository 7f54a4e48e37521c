#include "Core/ErrorGuard.h"

#include <atomic>
#include <exception>

namespace ragwortdeck {

namespace {

std::atomic<std::uint64_t> sCaughtErrors{ 0 };

} // namespace

bool
RunGuarded(const Log& aLog,
           const char* aWhere,
           const std::function<void()>& aTask)
{
  try {
    aTask();
    return true;
  } catch (const std::exception& error) {
    ++sCaughtErrors;
    aLog.Error(std::string("unexpected error in ") + aWhere + ": " +
               error.what());
    return false;
  }
}

std::uint64_t
CaughtErrors()
{
  return sCaughtErrors;
}

} // namespace ragwortdeck
