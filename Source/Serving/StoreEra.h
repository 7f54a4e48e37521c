#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace ragwortdeck {

/// \brief Number of times that the store has come back from an older copy of
/// itself, as it states it. Unknown comes before all others.
struct StoreEra
{
  static constexpr std::int64_t kUnknown = -1;

  std::int64_t mNumber = kUnknown;

  bool IsKnown() const { return mNumber != kUnknown; }
  // clang-tidy 14 takes the comparison with 0 inside the default for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StoreEra&) const = default;
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(mNumber);
  }
  void msgpack_unpack(const msgpack::object& aObject)
  {
    aObject.convert(mNumber);
  }
};

} // namespace ragwortdeck
