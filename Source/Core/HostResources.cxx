#include "Core/HostResources.h"

#include <algorithm>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace ragwortdeck {

namespace {

/// Returns aFallback when there is no limit.
std::size_t
LimitOf(__rlimit_resource_t aResource, std::size_t aFallback)
{
  rlimit limit{};
  if (getrlimit(aResource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return aFallback;
  }
  return std::size_t(limit.rlim_cur);
}

} // namespace

std::size_t
HostMemoryBytes()
{
  // Used when the system tells nothing.
  constexpr std::size_t kFallbackBytes = std::size_t(96) << 20U;
  struct sysinfo info = {};
  const auto machine = sysinfo(&info) == 0
                         ? std::size_t(info.totalram) * info.mem_unit
                         : kFallbackBytes;
  return std::min(
    { machine, LimitOf(RLIMIT_AS, machine), LimitOf(RLIMIT_DATA, machine) });
}

std::size_t
ReadMemoryBytes(SettingsSection& aRoot,
                std::int64_t aMinMb,
                std::int64_t aMaxDefaultMb)
{
  constexpr std::size_t kMegabyte = std::size_t(1) << 20U;
  const auto hostMb = std::int64_t(HostMemoryBytes() / kMegabyte);
  return kMegabyte *
         std::size_t(aRoot.Integer("memory_mb",
                                   std::clamp(hostMb, aMinMb, aMaxDefaultMb),
                                   aMinMb,
                                   kMaxMemoryMb));
}

std::size_t
CallerDescriptors(std::size_t aDescriptors)
{
  constexpr std::size_t kPercent = 100;
  constexpr std::size_t kCallersPercent = 60;
  return aDescriptors * kCallersPercent / kPercent;
}

std::size_t
MaxOpenDescriptors()
{
  constexpr std::size_t kFallback = 1024;
  return LimitOf(RLIMIT_NOFILE, kFallback);
}

} // namespace ragwortdeck
