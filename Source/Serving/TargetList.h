#pragma once

#include "Core/Settings.h"
#include "Serving/StoreVersion.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief A running target as described by the target list.
struct Target
{
  /// Mostly unique to one start of the target.
  std::string mId;
  std::string mService;
  Endpoint mEndpoint;
  std::string mFailureDomain;
  int mSlots = 1;
  /// Accepts no new requests and will stop soon.
  bool mLeaving = false;
  /// Remaining time of the slow phase after its start, in milliseconds, at the
  /// time when it was listed.
  std::int64_t mWarmUpMs = 0;
  /// When it started, in milliseconds of Unix time; 0 when not known. It may
  /// start again under the same id.
  std::int64_t mBorn = 0;
  bool operator==(const Target&) const = default;

private:
  /// The fields in the order in which hosts exchange them.
  template<typename Self>
  static auto Packed(Self& aSelf)
  {
    return msgpack::type::make_define_array(aSelf.mId,
                                            aSelf.mService,
                                            aSelf.mEndpoint.mAddress,
                                            aSelf.mEndpoint.mPort,
                                            aSelf.mFailureDomain,
                                            aSelf.mSlots,
                                            aSelf.mLeaving,
                                            aSelf.mWarmUpMs,
                                            aSelf.mBorn);
  }

public:
  template<typename Packer>
  void msgpack_pack(Packer& aPacker) const
  {
    Packed(*this).msgpack_pack(aPacker);
  }
  void msgpack_unpack(const msgpack::object& aObject)
  {
    Packed(*this).msgpack_unpack(aObject);
  }
};

/// \brief The target list at one version of the store.
struct TargetList
{
  StoreVersion mVersion;
  std::map<std::string, Target> mTargets;
  bool operator==(const TargetList&) const = default;
};

} // namespace ragwortdeck
