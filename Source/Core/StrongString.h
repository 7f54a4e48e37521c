#pragma once

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace ragwortdeck {

/// \brief A string with a type of its own, so that a team name cannot be
/// passed where a host id is expected.
template<typename Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool IsEmpty() const { return mValue.empty(); }

  // clang-tidy 14 takes the comparison with 0 inside the default for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StrongString&) const = default;

  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    aPacker.pack(mValue);
  }
  void msgpack_unpack(const msgpack::object& aObject)
  {
    aObject.convert(mValue);
  }

private:
  std::string mValue;
};

} // namespace ragwortdeck

template<typename Tag>
struct std::hash<ragwortdeck::StrongString<Tag>>
{
  std::size_t operator()(
    const ragwortdeck::StrongString<Tag>& aName) const noexcept
  {
    return std::hash<std::string>{}(aName.Value());
  }
};
