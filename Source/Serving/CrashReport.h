#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief An engine that crashed under requests whose answers had just begun.
struct EngineCrash
{
  std::string mEngine;
  /// Age when it was sent, since the clocks of hosts differ.
  std::int64_t mAgeMs = 0;
  /// The shared parts of these requests' prompts.
  std::vector<std::string> mParts;

  MSGPACK_DEFINE_ARRAY(mEngine, mAgeMs, mParts)
  bool operator==(const EngineCrash&) const = default;
};

/// \brief A part of a prompt with which an engine has written an answer.
struct SoundPart
{
  std::string mPart;
  /// How long ago the engine began to write.
  std::int64_t mAgeMs = 0;

  MSGPACK_DEFINE_ARRAY(mPart, mAgeMs)
  bool operator==(const SoundPart&) const = default;
};

/// \brief A part of a prompt that crashes engines.
struct QuarantinedPart
{
  std::string mPart;
  /// How long ago the first of its crashes was.
  std::int64_t mAgeMs = 0;
  /// Time until it is tested again; negative when it may be tested.
  std::int64_t mRemainingMs = 0;
  /// Time from the last crash to the test.
  std::int64_t mHoldMs = 0;
  std::int64_t mCrashes = 0;
  /// Engines had written answers with it before.
  bool mWasSound = false;

  MSGPACK_DEFINE_ARRAY(mPart,
                       mAgeMs,
                       mRemainingMs,
                       mHoldMs,
                       mCrashes,
                       mWasSound)
  bool operator==(const QuarantinedPart&) const = default;
};

/// \brief What one host tells the others of crashes and the prompts behind
/// them.
struct CrashReport
{
  std::vector<EngineCrash> mCrashes;
  std::vector<SoundPart> mSound;
  std::vector<QuarantinedPart> mQuarantined;

  bool IsEmpty() const
  {
    return mCrashes.empty() && mSound.empty() && mQuarantined.empty();
  }

  MSGPACK_DEFINE_ARRAY(mCrashes, mSound, mQuarantined)
  bool operator==(const CrashReport&) const = default;
};

} // namespace ragwortdeck
