#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace ragwortdeck {

/// \brief The version that the operator gives to a table. It rises with each
/// change, also when the store comes back from an older copy.
struct TableVersion
{
  std::int64_t mNumber = 0;

  // clang-tidy 14 takes the comparison with 0 inside the default for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TableVersion&) const = default;
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
