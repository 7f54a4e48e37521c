#pragma once

#include "Core/Clock.h"
#include "Serving/CrashReport.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Decides which parts of prompts crash engines, from the crashes that
/// all hosts report, and keeps requests with these parts from engines.
///
/// Each crash names the shared parts of all requests whose answers had just
/// begun on the engine, or were about to. The part to blame is in all crashes;
/// others are cleared by answers that engines write with them. So a part is
/// quarantined after kMinCrashes crashes without an answer since the first one.
///
/// Covers:
/// - Engines crash together for another reason. Crashes within kTogether have
///   one cause, and a part that many requests share has answers within kSettle.
/// - All engines crash for another reason, one after the other. A part that had
///   answers before is tested soon, after kFirstHoldOfSound.
/// - Messages are lost, or arrive late or twice. All state grows by joining
///   what is known: crashes by engine and time, and for each part the latest
///   answer. A crash is reported for kReportFor; quarantines, by all hosts.
/// - The part is sound after all, or was mended. After kHold one host, the
///   owner of the part, lets one request pass; each crash prolongs the time.
/// - The owner gets no such request. The number of hosts that may test doubles
///   every kTestTimeout, until a crash or an answer is known; after a short
///   hold it first doubles three times at kShortTestTimeout.
class PromptQuarantine
{
public:
  static constexpr std::size_t kMinCrashes = 3;
  static constexpr Duration kSettle = std::chrono::milliseconds(1500);
  static constexpr Duration kTogether = std::chrono::milliseconds(250);
  /// Reports of crashes of one engine within this time are of the same crash.
  static constexpr Duration kSameCrash = std::chrono::seconds(5);
  /// How long a crash keeps requests with its parts from being repeated.
  static constexpr Duration kSuspectFor = std::chrono::seconds(10);
  static constexpr Duration kReportFor = std::chrono::seconds(4);
  static constexpr Duration kForgetCrash = std::chrono::seconds(120);
  static constexpr Duration kHold = std::chrono::seconds(60);
  static constexpr Duration kLongestHold = std::chrono::seconds(600);
  /// First hold of a part with which engines wrote answers before. It grows by
  /// kHoldGrowthOfSound up to kHold.
  static constexpr Duration kFirstHoldOfSound = std::chrono::seconds(3);
  static constexpr int kHoldGrowthOfSound = 4;
  /// A test without a result is repeated after this time.
  static constexpr Duration kTestTimeout = std::chrono::seconds(15);
  /// Interval at which more hosts may test a part whose hold is short.
  static constexpr Duration kShortTestTimeout = std::chrono::seconds(2);
  /// A quarantine that was not tested for this long is dropped. The others are
  /// told of it for a shorter time, since those who have dropped it would learn
  /// of it anew.
  static constexpr Duration kForgetQuarantine = std::chrono::seconds(600);
  static constexpr Duration kReportQuarantine = std::chrono::seconds(300);
  /// Limits of what callers and other hosts can make this host remember.
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr std::size_t kMaxSound = 4096;
  static constexpr std::size_t kMaxQuarantined = 256;
  static constexpr std::size_t kMaxPartsOfCrash = 64;
  static constexpr std::size_t kMaxNameBytes = 64;
  static constexpr std::int64_t kMaxReportedCount = 1'000'000;

  using Parts = std::vector<std::string>;
  /// Whether this host is the one that tests a part. The names of parts with a
  /// number appended stand for further hosts.
  using IsOwner = std::function<bool(const std::string&)>;

  /// \brief Why a request may not be sent.
  struct Block
  {
    std::string mPart;
    std::int64_t mCrashes = 0;
    Duration mRetryAfter{ 0 };
    bool operator==(const Block&) const = default;
  };
  /// \brief A part that was quarantined or released.
  struct Change
  {
    std::string mPart;
    std::int64_t mCrashes = 0;
    /// Zero for a release.
    Duration mHold{ 0 };
    /// The engines of the crashes that this host knows.
    std::vector<std::string> mEngines;
    bool operator==(const Change&) const = default;
  };

  explicit PromptQuarantine(IsOwner aIsOwner)
    : mIsOwner(std::move(aIsOwner))
  {
  }

  /// This host saw aEngine crash at aAt.
  void OnCrash(const std::string& aEngine,
               const Parts& aParts,
               MonotonicTime aAt,
               MonotonicTime aNow);
  /// An engine began to write an answer at aBegan, and went on.
  void OnSound(const Parts& aParts, MonotonicTime aBegan, MonotonicTime aNow);
  /// Adds what another host reported.
  void Merge(const CrashReport& aReport, MonotonicTime aNow);
  /// What the other hosts are to be told now.
  CrashReport Report(MonotonicTime aNow) const;
  /// Whether other hosts may lack something that this host found out.
  bool HasNews() const { return mHasNews; }
  void ClearNews() { mHasNews = false; }

  /// Quarantines the parts that are found to crash engines, and drops what is
  /// old. Returns what changed since the last call.
  std::vector<Change> Update(MonotonicTime aNow);
  /// The quarantined part that keeps a request from all engines.
  std::optional<Block> Find(const Parts& aParts, MonotonicTime aNow) const;
  /// As Find(), for a request that is sent at once otherwise: it is the test of
  /// a part whose quarantine is over.
  std::optional<Block> FindAtSend(const Parts& aParts, MonotonicTime aNow);
  /// A part that may have crashed an engine before aEngine crashed at aAt, and
  /// after aAt - kSuspectFor.
  std::optional<std::string> FindSuspect(const Parts& aParts,
                                         const std::string& aEngine,
                                         MonotonicTime aAt) const;
  /// Crashes with the part since an engine last wrote an answer with it.
  std::size_t CountCrashes(const std::string& aPart) const;

private:
  struct Crash
  {
    std::string mEngine;
    MonotonicTime mAt;
  };
  struct Answer
  {
    MonotonicTime mBegan;
    /// This host saw it; the others have been told otherwise.
    bool mIsOwn = false;
  };
  struct OwnCrash
  {
    Crash mCrash;
    Parts mParts;
  };
  struct Quarantine
  {
    MonotonicTime mFirstAt;
    MonotonicTime mUntil;
    Duration mHold{ 0 };
    std::int64_t mCrashes = 0;
    /// Engines wrote answers with the part before the first crash.
    bool mWasSound = false;
    std::optional<MonotonicTime> mTestedAt;

    MonotonicTime LastCrash() const { return mUntil - mHold; }
    /// Interval at which more hosts may test the part, and callers return.
    Duration TestTimeout() const
    {
      return mHold < kHold ? kShortTestTimeout : kTestTimeout;
    }
    /// The hold after a crash in a test.
    Duration NextHold() const;
    /// Answers before the first crash are known now: shortens the hold, unless
    /// a test has prolonged it. It ends at aNow at the earliest, or many hosts
    /// could test the part at once. Returns whether it was shortened.
    bool LearnThatItWasSound(MonotonicTime aNow);
  };

  void Add(const Crash& aCrash, const Parts& aParts, MonotonicTime aNow);
  void AddTo(const std::string& aPart, const Crash& aCrash, MonotonicTime aNow);
  void AddSound(const std::string& aPart, const Answer& aAnswer);
  void AddQuarantine(const QuarantinedPart& aPart, MonotonicTime aNow);
  /// Tells the others of an answer that clears a part they may suspect.
  void TellIfSuspected(const std::string& aPart, MonotonicTime aNow);
  /// Crashes of aCrashes since an answer was written with aPart, by time.
  std::vector<Crash> Counted(const std::string& aPart,
                             const std::vector<Crash>& aCrashes) const;
  /// Whether an answer with aPart is known.
  bool WasSound(const std::string& aPart) const
  {
    return mSound.contains(aPart);
  }
  bool IsToBlame(const std::vector<Crash>& aCounted, MonotonicTime aNow) const;
  /// Whether this host may test aPart, whose quarantine is over.
  bool MayTest(const std::string& aPart,
               const Quarantine& aHeld,
               MonotonicTime aNow) const;
  std::optional<Block> BlockOf(const std::string& aPart,
                               MonotonicTime aNow) const;
  void Hold(const std::string& aPart, const Quarantine& aQuarantine);
  void Release(const std::string& aPart);
  Change ChangeOf(const std::string& aPart, const Quarantine& aHeld) const;

  IsOwner mIsOwner;
  /// Crashes by part.
  std::map<std::string, std::vector<Crash>> mSuspects;
  /// For each part, the last answer with it.
  std::map<std::string, Answer> mSound;
  std::map<std::string, Quarantine> mQuarantined;
  std::vector<OwnCrash> mOwnCrashes;
  /// Until when the others are told of an answer with a part.
  std::map<std::string, MonotonicTime> mToldSound;
  std::vector<Change> mChanges;
  bool mHasNews = false;
};

} // namespace ragwortdeck
