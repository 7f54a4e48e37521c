#pragma once

#include "Core/Ids.h"
#include "Core/Result.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdeck {

/// Largest msgpack nesting, array, map and string accepted from a peer.
msgpack::unpack_limit
PeerUnpackLimit();

/// \brief One message between our processes: a header and a packed body.
///
/// Body types are value structs with MSGPACK_DEFINE_MAP and a constant
/// `kType`, the message type of section 5 of the design page.
struct PeerMessage
{
  std::string mType;
  HostId mFrom;
  /// Start time of the sending process, milliseconds since the epoch.
  std::uint64_t mIncarnation = 0;
  /// Hybrid logical time of the sender.
  std::uint64_t mTime = 0;
  /// The body as msgpack.
  std::vector<char> mBody;

  bool operator==(const PeerMessage&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("type", mType),
                     MSGPACK_NVP("from", mFrom),
                     MSGPACK_NVP("incarnation", mIncarnation),
                     MSGPACK_NVP("time", mTime),
                     MSGPACK_NVP("body", mBody))

  /// The header fields other than the type are set when it is sent.
  template<typename T>
  static PeerMessage Of(const T& aBody)
  {
    return Of(T::kType, aBody);
  }

  /// For body types of modules that do not know the wire's message types.
  template<typename T>
  static PeerMessage Of(std::string_view aType, const T& aBody)
  {
    msgpack::sbuffer buf;
    msgpack::pack(buf, aBody);
    PeerMessage message;
    message.mType = std::string(aType);
    message.mBody.assign(buf.data(), buf.data() + buf.size());
    return message;
  }

  template<typename T>
  bool Is() const
  {
    return mType == T::kType;
  }

  /// The body, or kCorrupt when it is not a T.
  template<typename T>
  Result<T> As() const
  {
    return UnpackAs<T>(mBody.data(), mBody.size());
  }

  /// Unpacks exactly one value from the bytes, or fails with kCorrupt.
  template<typename T>
  static Result<T> UnpackAs(const char* aData, std::size_t aSize)
  {
    try {
      std::size_t offset = 0;
      const auto handle = msgpack::unpack(
        aData, aSize, offset, nullptr, nullptr, PeerUnpackLimit());
      if (offset != aSize) {
        return Failure(ErrorCode::kCorrupt, "bytes after the msgpack value");
      }
      T value{};
      handle.get().convert(value);
      return value;
    } catch (const std::exception& error) {
      return Failure(ErrorCode::kCorrupt,
                     std::string("not the expected msgpack: ") + error.what());
    }
  }
};

/// \brief First message on each connection, from both sides.
struct HelloMessage
{
  static constexpr std::string_view kType = "hello";
  /// Key that signs all frames of the sender on this connection.
  std::string mKeyId;
  /// Random, fresh for each connection.
  std::vector<char> mNonce;

  bool operator==(const HelloMessage&) const = default;
  MSGPACK_DEFINE_MAP(mKeyId, mNonce)
};

/// \brief First signed frame of a session; proves that the sender is live and
/// not a replay of an old hello. Also sent when a link is otherwise silent.
struct HeartbeatMessage
{
  static constexpr std::string_view kType = "heartbeat";
  bool mReady = true;

  bool operator==(const HeartbeatMessage&) const = default;
  MSGPACK_DEFINE_MAP(mReady)
};

} // namespace ragwortdeck
