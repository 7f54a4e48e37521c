#pragma once

#include "Core/Settings.h"

#include <cstddef>

namespace ragwortdeck {

/// Largest value of the setting "memory_mb".
constexpr std::int64_t kMaxMemoryMb = 1 << 20;

/// The memory that this process may use, in bytes: that of the machine, or the
/// process's own limit (RLIMIT_AS, RLIMIT_DATA) if it is lower.
std::size_t
HostMemoryBytes();

/// Reads the setting "memory_mb" of aRoot, in bytes. Its default is
/// HostMemoryBytes(), but at least aMinMb and at most aMaxDefaultMb.
std::size_t
ReadMemoryBytes(SettingsSection& aRoot,
                std::int64_t aMinMb,
                std::int64_t aMaxDefaultMb = kMaxMemoryMb);

/// Number of file descriptors that this process may open (RLIMIT_NOFILE).
std::size_t
MaxOpenDescriptors();

/// How many of aDescriptors the connections of callers may take. The others are
/// for targets, the store and files.
std::size_t
CallerDescriptors(std::size_t aDescriptors);

} // namespace ragwortdeck
