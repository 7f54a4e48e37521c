#pragma once

#include <cstddef>

namespace ragwortdeck {

/// The memory that this process may use, in bytes: that of the machine, or the
/// process's own limit (RLIMIT_AS, RLIMIT_DATA) if it is lower.
std::size_t
HostMemoryBytes();

/// Number of file descriptors that this process may open (RLIMIT_NOFILE).
std::size_t
MaxOpenDescriptors();

} // namespace ragwortdeck
